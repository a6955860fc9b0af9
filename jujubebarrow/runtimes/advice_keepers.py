"""Asks for the grants that a pool's steps need."""

from asyncio import Lock, sleep

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.gateways.advisors import AdviceError, Advisor
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.placements.advice_books import StepKey
from jujubebarrow.runtimes.owner_hooks import OwnerHooks

PERIOD = 0.02
"""Seconds between two looks at what is wanted."""
RETRY_SECONDS = 0.15
"""Pause after a question without an answer."""
ANSWER_MARGIN = 1.0
"""Seconds beyond the usual time of an answer until it counts as lost."""


class AdviceKeeper:
    """Asks one question at a time, as the service takes one from each instance.

    Args:
        coordinator: Decisions on the pool.
        advisor: Service.
        turn: Held while a question of this instance is under way.
        hooks: What the owner does on changes.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        coordinator: PoolCoordinator,
        advisor: Advisor,
        turn: Lock,
        hooks: OwnerHooks,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._coordinator = coordinator
        self._advisor = advisor
        self._turn = turn
        self._hooks = hooks
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def run(self) -> None:
        """Ask until cancelled."""
        book = self._coordinator.state.advice
        while True:
            for step, tasks in book.take_wanted().items():
                async with self._turn:
                    await self._ask(step, tasks)
            await sleep(PERIOD)

    async def _ask(self, step: StepKey, tasks: int) -> None:
        book = self._coordinator.state.advice
        job = self._coordinator.state.jobs.get(step[0])
        if job is None or job.phase.is_final:
            return
        now = self._clock.monotonic()
        lives = self._coordinator.demand.list_lives(now)
        asked = book.choose_workers(step, lives, tasks, now)
        if not asked:
            return
        queue = job.record.queue
        timeout = book.answer_time(queue, len(asked)) + ANSWER_MARGIN
        try:
            granted = await self._advisor.advise(
                step, [life[0] for life in asked], timeout
            )
        except AdviceError as error:
            self._metrics.count("advice", "failed")
            self._log.write("advice_failed", step=list(step), detail=str(error))
            await sleep(RETRY_SECONDS)
            return
        self._metrics.count("advice", "answered")
        # The grants' time counts from the answer; the question was before it.
        book.note(step, asked, granted, now + book.validity(queue))
        self._hooks.on_change()
