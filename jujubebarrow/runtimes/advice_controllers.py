"""Requests the placement advice that a pool's steps need."""

from asyncio import Lock, sleep

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.gateways.advisors import AdviceError, Advisor
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.placements.advice_registries import StepKey
from jujubebarrow.runtimes.owner_hooks import OwnerHooks

POLL_PERIOD_SECONDS = 0.02
"""Time between two checks for steps that need advice."""
RETRY_SECONDS = 0.15
"""Delay after a failed request before the next request."""
RESPONSE_MARGIN_SECONDS = 1.0
"""Time that a request may take beyond the usual response time before it fails."""


class AdviceController:
    """Requests advice for one step at a time.

    The advice service accepts only one request at a time from each instance.

    Args:
        coordinator: Makes the scheduling decisions of the pool.
        advisor: Client for the placement advice service.
        lock: Lock that this instance holds while one of its requests is in progress.
        hooks: Callbacks into the pool's owner.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        coordinator: PoolCoordinator,
        advisor: Advisor,
        lock: Lock,
        hooks: OwnerHooks,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._coordinator = coordinator
        self._advisor = advisor
        self._lock = lock
        self._hooks = hooks
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def run(self) -> None:
        """Request advice until cancelled."""
        registry = self._coordinator.state.advice
        while True:
            for step, task_count in registry.pop_requested().items():
                async with self._lock:
                    await self._request_advice(step, task_count)
            await sleep(POLL_PERIOD_SECONDS)

    async def _request_advice(self, step: StepKey, task_count: int) -> None:
        registry = self._coordinator.state.advice
        job = self._coordinator.state.jobs.get(step[0])
        if job is None or job.phase.is_final:
            return
        now = self._clock.monotonic()
        incarnations = self._coordinator.demand.list_incarnations(now)
        requested = registry.choose_workers(step, incarnations, task_count, now)
        if not requested:
            return
        queue = job.record.queue
        timeout = (
            registry.expected_response_time(queue, len(requested))
            + RESPONSE_MARGIN_SECONDS
        )
        try:
            granted = await self._advisor.advise(
                step, [incarnation[0] for incarnation in requested], timeout
            )
        except AdviceError as error:
            self._metrics.count("advice", "failed")
            self._log.write("advice_failed", step=list(step), detail=str(error))
            await sleep(RETRY_SECONDS)
            return
        self._metrics.count("advice", "answered")
        # The tickets become valid when the service responds. Counting their validity
        # from the earlier time of the request never puts the expiry too late.
        registry.record_response(
            step, requested, granted, now + registry.validity(queue)
        )
        self._hooks.on_change()
