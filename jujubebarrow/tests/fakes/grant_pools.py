"""Pool that starts tasks of one limited team as far as its grant allows."""

from asyncio import Task, create_task, get_running_loop, sleep
from dataclasses import dataclass

from jujubebarrow.identifiers import PoolId, TeamId
from jujubebarrow.limits.grant_registries import GrantRegistry
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.grant_controllers import GrantController
from jujubebarrow.runtimes.grant_watchers import GrantWatcher
from jujubebarrow.standins.emulated_stores import EmulatedStore, SharedStore
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.virtual_loops import LoopClock
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.resources import Resources

PLAN_PERIOD_SECONDS = 0.1


@dataclass(eq=False)
class GrantedTask:
    """Task of a team; ends_at is the time in seconds, or None until it starts."""

    needs: Resources
    seconds: float
    ends_at: float | None = None


class GrantPool:
    """Pool with one owner at a time, each with a grant controller of its own."""

    def __init__(self, name: str, team: TeamId, limit: Resources, store: SharedStore):
        self.name = PoolId(name)
        self.tasks: list[GrantedTask] = []
        self._team = team
        self._limit = limit
        self._store = store
        self._loops: list[Task[None]] = []

    def open(self, token: int) -> None:
        """Start an owner, which inherits the running tasks."""
        loop = get_running_loop()
        metrics = MetricsRegistry()
        clock, log = LoopClock(loop), ListLog(self.name)
        store = EmulatedStore(self._store, metrics)
        self.registry = GrantRegistry()
        self.registry.set_limits({self._team: self._limit})
        for task in self.tasks:
            if task.ends_at is not None:
                self.registry.add_usage(self._team, task.needs)
        watcher = GrantWatcher(store, clock, log, metrics)
        controller = GrantController(
            self.name,
            FenceToken(token),
            self.registry,
            store,
            watcher,
            self._plan,
            self._stop,
            clock,
            log,
            metrics,
        )
        self._watcher = watcher
        watcher.open()
        self._loops = [create_task(controller.run()), create_task(self._run())]

    async def close(self) -> None:
        self._stop()
        await self._watcher.close()

    def set_limit(self, limit: Resources) -> None:
        """Apply another upper limit, also for later owners."""
        self._limit = limit
        self.registry.set_limits({self._team: limit})

    def _stop(self) -> None:
        for loop in self._loops:
            loop.cancel()
        self._loops = []

    async def _run(self) -> None:
        while True:
            self._plan()
            await sleep(PLAN_PERIOD_SECONDS)

    def _plan(self) -> None:
        now = get_running_loop().time()
        for task in [task for task in self.tasks if task.ends_at is not None]:
            if task.ends_at is not None and task.ends_at <= now:
                self.tasks.remove(task)
                self.registry.remove_usage(self._team, task.needs)
        self.registry.clear_requests()
        for task in self.tasks:
            if task.ends_at is None and self.registry.request_start(
                self._team, task.needs
            ):
                task.ends_at = now + task.seconds
                self.registry.add_usage(self._team, task.needs)
