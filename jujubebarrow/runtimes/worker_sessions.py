"""Keeps the leases on one worker and reads its lists."""

import builtins
from asyncio import Event, sleep, wait_for

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.active_runs import RunStage
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.gateways.worker_gateways import (
    WorkerFencedError,
    WorkerGateway,
    WorkerSilentError,
)
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.owner_hooks import OwnerHooks

LONGEST_WAIT = 1.5
"""Seconds that a worker may wait for an end to answer; below its 2 s."""
SHORT_WAIT = 0.4
"""The same for a worker with tasks that end soon: an answer that is lost then hides
their ends, and keeps new tasks away, for half a task's time and no longer."""
SPACING = 0.12
"""Least seconds between two looks at a worker; joins ends that come together."""
FIRST_RETRY_SECONDS = 0.03
"""Pause after the first look without an answer; most are lost singly."""
RETRY_SECONDS = 0.3
"""Pause after further ones."""
STORE_PATIENCE = 1.0
"""Seconds to wait for ends to be stored before the lease is extended anyway."""
POLL_SECONDS = 0.02
"""Pause between two looks at whether ends have been stored."""


class WorkerSession:
    """One loop a worker, for as long as it has runs or ends to follow.

    Args:
        worker: Worker.
        coordinator: Decisions on the pool.
        gateway: Workers.
        hooks: What the owner does on changes.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        worker: WorkerLedger,
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
        self._told = 0
        self._busy = Event()

    def follows(self, worker: WorkerLedger) -> bool:
        """Return whether this session is about a ledger."""
        return self._worker is worker

    def wake(self) -> None:
        """Look at the worker again, as it has got something to do."""
        self._busy.set()

    @property
    def _is_idle(self) -> bool:
        worker = self._worker
        return (
            worker.is_contacted
            and not worker.runs
            and not worker.has_unrecorded_ends
            and self._told >= worker.acknowledged
        )

    async def run(self) -> None:
        """Follow the worker until it is forgotten."""
        workers = self._coordinator.state.workers
        while workers.get(self._worker.worker) is self._worker:
            if self._is_idle:
                self._busy.clear()
                await self._wait_until_busy()
                continue
            if not self._worker.address or not self._hooks.may_hold():
                await sleep(RETRY_SECONDS)
                continue
            await self._look()

    async def _wait_until_busy(self) -> None:
        try:
            await wait_for(self._busy.wait(), LONGEST_WAIT)
        except builtins.TimeoutError:
            return

    async def _look(self) -> None:
        sent_at = self._clock.monotonic()
        order = self._coordinator.make_hold(self._worker, self._choose_wait(), sent_at)
        try:
            report = await self._gateway.hold(order)
        except WorkerFencedError:
            self._hooks.on_displaced()
            return
        except WorkerSilentError as error:
            is_first = not self._worker.failed_since
            self._note_silence(str(error))
            await sleep(FIRST_RETRY_SECONDS if is_first else RETRY_SECONDS)
            return
        now = self._clock.monotonic()
        if self._worker.failed_since:
            seconds = round(now - self._worker.failed_since, 3)
            self._log.write(
                "worker_regained", worker=self._worker.worker, seconds=seconds
            )
        self._told = order.acknowledged if report.born == self._worker.born else 0
        for stray in self._coordinator.note_hold(self._worker, report, sent_at, now):
            self._hooks.on_stray(stray)
        self._hooks.on_change()
        await self._wait_for_store()
        spent = self._clock.monotonic() - sent_at
        await sleep(max(0.0, SPACING - spent))

    def _choose_wait(self) -> float:
        worker = self._worker
        waiting = any(
            run.stage in (RunStage.INHERITED, RunStage.STOPPING)
            for run in worker.runs.values()
        )
        if worker.failed_since or not worker.is_contacted or not worker.runs or waiting:
            return 0.0
        if worker.has_unrecorded_ends:
            return 0.0
        if self._coordinator.demand.ends_soon(worker):
            return SHORT_WAIT
        return LONGEST_WAIT

    def _note_silence(self, detail: str) -> None:
        self._metrics.count("hold_failed")
        if not self._worker.failed_since:
            self._log.write(
                "worker_silent",
                worker=self._worker.worker,
                detail=detail,
                runs=len(self._worker.runs),
            )
        self._coordinator.note_hold_failed(self._worker, self._clock.monotonic())
        self._hooks.on_change()

    async def _wait_for_store(self) -> None:
        until = self._clock.monotonic() + STORE_PATIENCE
        while self._worker.has_unrecorded_ends and self._clock.monotonic() < until:
            await sleep(POLL_SECONDS)
