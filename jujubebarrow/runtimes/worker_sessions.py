"""Renews the leases of the runs on one worker and reads the worker's report."""

import builtins
from asyncio import Event, sleep, wait_for

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.active_runs import RunStage
from jujubebarrow.coordinators.evacuations import OPERATING_PERCENT
from jujubebarrow.coordinators.orders import RenewalOrder
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.gateways.worker_gateways import (
    WorkerFencedError,
    WorkerGateway,
    WorkerSilentError,
)
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.owner_hooks import OwnerHooks
from jujubebarrow.workloads.worker_reports import RenewalReport

LONG_WAIT_SECONDS = 1.5
"""Seconds for which a worker may delay its response until a run finishes; below the
2 s that the workers allow."""
SHORT_WAIT_SECONDS = 0.4
"""Seconds for which a worker with finite runs, which finish soon, may delay its
response: a lost response then hides finished runs, and keeps new tasks from the worker,
for at most half a task's duration."""
RENEWAL_SPACING_SECONDS = 0.12
"""Minimum seconds between two renewals, so that runs that finish at nearly the same
time are reported together."""
FRESH_CONTACT_SECONDS = 2 * RENEWAL_SPACING_SECONDS
"""Age up to which a response shows that the next one may be delayed."""
FIRST_RETRY_SECONDS = 0.03
"""Seconds before the retry after a first failed renewal; short, because two messages in
a row are rarely lost."""
RETRY_SECONDS = 0.3
"""Seconds before each further retry, and between two checks whether leases can be
renewed."""
STORE_WAIT_SECONDS = 1.0
"""Seconds to wait until finished runs are stored before the lease is renewed anyway."""
POLL_SECONDS = 0.02
"""Seconds between two checks whether finished runs have been stored."""


class WorkerSession:
    """Loop that renews the leases on one worker while the worker has active runs.

    The loop also renews while finished runs of the worker are not yet stored and
    acknowledged, until the worker has seen the owner's token, while a response is
    needed, and while the worker is unresponsive: such a worker gets no tasks, so
    nothing else would show that it responds again.

    Args:
        worker: Coordinator's view of the worker.
        coordinator: Makes the scheduling decisions of the pool.
        gateway: Sends orders to the workers.
        hooks: Callbacks into the pool's owner.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        worker: WorkerView,
        coordinator: PoolCoordinator,
        gateway: WorkerGateway,
        hooks: OwnerHooks,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._worker = worker
        self._coordinator = coordinator
        self._gateway = gateway
        self._hooks = hooks
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._wake_event = Event()

    def is_for(self, worker: WorkerView) -> bool:
        """Return whether this session serves the given view of a worker."""
        return self._worker is worker

    @property
    def _serves_present_worker(self) -> bool:
        workers = self._coordinator.state.workers
        return workers.get(self._worker.worker) is self._worker

    def _is_outdated(self, renewal: RenewalOrder) -> bool:
        """Return whether a renewal was not made for the present incarnation."""
        is_present = self._worker.is_present_token(renewal.token)
        return not self._serves_present_worker or not is_present

    def wake(self) -> None:
        """End the wait of an idle session, because the worker has active runs."""
        self._wake_event.set()

    @property
    def _is_idle(self) -> bool:
        worker = self._worker
        return (
            worker.has_seen_token
            and not worker.unresponsive_since
            and not worker.runs
            and not self._may_start_late
            and not worker.needs_contact
            and not worker.has_orphans
            and not worker.has_unrecorded_finished_runs
            and not worker.has_unconfirmed_acknowledgement
        )

    @property
    def _may_start_late(self) -> bool:
        return self._worker.may_start_late(self._clock.monotonic())

    @property
    def _can_poll(self) -> bool:
        worker = self._worker
        is_token_valid = not worker.is_refusing and not worker.needs_higher_token
        return bool(worker.address) and is_token_valid

    async def run(self) -> None:
        """Renew the leases until the coordinator removes the worker."""
        while self._serves_present_worker:
            if self._is_idle:
                self._wake_event.clear()
                await self._wait_for_wake()
                continue
            if not self._can_poll or not self._hooks.can_renew_leases():
                await sleep(RETRY_SECONDS)
                continue
            await self._renew_lease()

    async def _wait_for_wake(self) -> None:
        try:
            await wait_for(self._wake_event.wait(), LONG_WAIT_SECONDS)
        except builtins.TimeoutError:
            return

    async def _renew_lease(self) -> None:
        sent_at = self._clock.monotonic()
        renewal = self._coordinator.make_renewal(
            self._worker, self._choose_wait_seconds(), sent_at
        )
        try:
            report = await self._exchange(renewal, sent_at)
        except WorkerFencedError:
            if not self._is_outdated(renewal):
                self._coordinator.state.record_refusal(
                    self._worker, renewal.token, self._clock.monotonic()
                )
                self._hooks.on_change()
            return
        except WorkerSilentError as error:
            if self._is_outdated(renewal):
                return
            is_first_failure = not self._worker.unresponsive_since
            self._record_failed_renewal(str(error))
            await sleep(FIRST_RETRY_SECONDS if is_first_failure else RETRY_SECONDS)
            return
        if self._is_outdated(renewal):
            # A former incarnation may have responded.
            return
        now = self._clock.monotonic()
        if self._worker.unresponsive_since:
            seconds = round(now - self._worker.unresponsive_since, 3)
            self._log.write(
                "worker_regained", worker=self._worker.worker, seconds=seconds
            )
        if report.born == self._worker.started_at_ms:
            self._worker.confirm_acknowledgement(renewal.acknowledged)
        for order in self._coordinator.handle_renewal_report(
            self._worker, report, sent_at, now
        ):
            self._hooks.on_orphaned_run(order)
        self._hooks.on_change()
        if self._is_outdated(renewal):
            # The report has shown a restart; the new token has to be seen at once.
            return
        await self._wait_for_store()
        elapsed = self._clock.monotonic() - sent_at
        await sleep(max(0.0, RENEWAL_SPACING_SECONDS - elapsed))

    async def _exchange(self, renewal: RenewalOrder, sent_at: float) -> RenewalReport:
        self._worker.begin_renewal(sent_at)
        try:
            return await self._gateway.renew_lease(renewal)
        finally:
            self._worker.end_renewal()

    def _choose_wait_seconds(self) -> float:
        worker = self._worker
        contact_at = worker.last_contact_at
        now = self._clock.monotonic()
        if contact_at is None or now - contact_at > FRESH_CONTACT_SECONDS:
            # The worker may have restarted since and would delay its response.
            return 0.0
        if worker.has_seen_token and self._may_start_late and not worker.runs:
            return 0.0 if worker.unresponsive_since else SHORT_WAIT_SECONDS
        has_inherited_or_stopping_run = any(
            run.stage in (RunStage.INHERITED, RunStage.STOPPING)
            for run in worker.runs.values()
        )
        if (
            worker.unresponsive_since
            or not worker.has_seen_token
            or not worker.runs
            or worker.has_orphans
            or has_inherited_or_stopping_run
        ):
            return 0.0
        if worker.has_unrecorded_finished_runs:
            return 0.0
        if self._coordinator.demand.has_finite_runs(worker) or self._may_start_late:
            return SHORT_WAIT_SECONDS
        if any(
            run.progress_percent < OPERATING_PERCENT for run in worker.runs.values()
        ):
            # Evacuations wait until a restarted long-running task is operating.
            return SHORT_WAIT_SECONDS
        return LONG_WAIT_SECONDS

    def _record_failed_renewal(self, detail: str) -> None:
        self._metrics.count("hold_failed")
        if not self._worker.unresponsive_since:
            self._log.write(
                "worker_silent",
                worker=self._worker.worker,
                detail=detail,
                runs=len(self._worker.runs),
            )
        self._coordinator.handle_renewal_failure(self._worker, self._clock.monotonic())
        self._hooks.on_change()

    async def _wait_for_store(self) -> None:
        deadline = self._clock.monotonic() + STORE_WAIT_SECONDS
        while (
            self._worker.has_unrecorded_finished_runs
            and self._clock.monotonic() < deadline
        ):
            await sleep(POLL_SECONDS)
