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
"""Pause after a failed request."""
ANSWER_MARGIN_SECONDS = 1.0
"""Time beyond the usual response time after which a request counts as failed."""


class AdviceController:
    """Requests advice for one step at a time.

    The service accepts only one request at a time from each instance.

    Args:
        coordinator: Coordinator of the pool.
        advisor: Client for the placement advice service.
        lock: Held while a request of this instance is in progress.
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
            for step, tasks in registry.take_requested().items():
                async with self._lock:
                    await self._request_advice(step, tasks)
            await sleep(POLL_PERIOD_SECONDS)

    async def _request_advice(self, step: StepKey, tasks: int) -> None:
        registry = self._coordinator.state.advice
        job = self._coordinator.state.jobs.get(step[0])
        if job is None or job.phase.is_final:
            return
        now = self._clock.monotonic()
        incarnations = self._coordinator.demand.list_incarnations(now)
        requested = registry.choose_workers(step, incarnations, tasks, now)
        if not requested:
            return
        queue = job.record.queue
        timeout = registry.answer_time(queue, len(requested)) + ANSWER_MARGIN_SECONDS
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
        # The tickets' validity starts with the service's answer; counting from the
        # earlier time before the request never overestimates the expiry.
        registry.record_answer(step, requested, granted, now + registry.validity(queue))
        self._hooks.on_change()
