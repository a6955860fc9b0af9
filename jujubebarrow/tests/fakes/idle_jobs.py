"""Finds accepted jobs that have room for their waiting tasks and run none."""

from asyncio import get_running_loop, sleep
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.identifiers import JobId, PoolId
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.worker_reports import WorkerState

PERIOD_SECONDS = 0.1
IDLE_SECONDS = 3.0
"""Longest time for which a task may wait with room."""
ROOM_COUNT = 2
"""Runs of a waiting task for which the pool must have room."""


@dataclass(slots=True)
class _PoolRoom:
    """Resources of the workers of a pool that accept tasks."""

    total: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    free: list[Resources] = field(default_factory=list)

    def add_worker(self, capacity: Resources, running: Resources) -> None:
        self.total = self.total.plus(capacity)
        self.used = self.used.plus(running)
        self.free.append(capacity.minus(running))

    def has_room(self, step: StepSpec) -> bool:
        """Return whether the tasks that have to start together fit several times."""
        needed = ROOM_COUNT * (step.count if step.gang else 1)
        return sum(step.needs.count_fitting(free, needed) for free in self.free) >= (
            needed
        )


def _is_half_used(used: Resources, total: Resources) -> bool:
    return any(2 * part >= most > 0 for part, most in zip(used, total, strict=True))


class IdleJobWatch:
    """Watches for jobs that run nothing although their pool is mostly free.

    Args:
        cluster: Simulated cluster.
        limit: Upper limit of the only team; a resource whose limit is 0 is not limited.
    """

    def __init__(self, cluster: JobCluster, limit: Resources = NO_RESOURCES):
        self._cluster = cluster
        self._limit = limit
        self._idle_since: dict[JobId, float] = {}
        self._longest: dict[JobId, tuple[float, str]] = {}

    async def watch(self, seconds: float) -> None:
        """Look at all jobs again and again for some time."""
        deadline = get_running_loop().time() + seconds
        while get_running_loop().time() < deadline:
            self._look()
            await sleep(PERIOD_SECONDS)

    def find_idle_jobs(self) -> list[str]:
        """Return the jobs that were idle too long."""
        return [
            f"{job} idle for {seconds:.1f} s: {detail}"
            for job, (seconds, detail) in self._longest.items()
            if seconds >= IDLE_SECONDS
        ]

    def _look(self) -> None:
        now = get_running_loop().time()
        idle = self._list_idle()
        for job in list(self._idle_since):
            if job not in idle:
                del self._idle_since[job]
        for job, detail in idle.items():
            seconds = now - self._idle_since.setdefault(job, now)
            if seconds >= self._longest.get(job, (0.0, ""))[0]:
                self._longest[job] = (seconds, detail)

    def _list_idle(self) -> dict[JobId, str]:
        active: Counter[JobId] = Counter()
        used = NO_RESOURCES
        pools: defaultdict[PoolId, _PoolRoom] = defaultdict(_PoolRoom)
        for worker in self._cluster.workers.values():
            running = NO_RESOURCES
            for run in worker.running if worker.is_up else ():
                active[run.task.job] += 1
                running = running.plus(self._cluster.find_step(run.task).needs)
            used = used.plus(running)
            if (
                worker.is_up
                and worker.state is WorkerState.READY
                and self._cluster.is_registered(worker.worker)
            ):
                pools[worker.pool].add_worker(worker.capacity, running)
        if _is_half_used(used, self._limit):
            return {}
        found: dict[JobId, str] = {}
        for pool, room in pools.items():
            if not _is_half_used(room.used, room.total):
                found |= self._list_idle_of_pool(pool, room, active)
        return found

    def _list_idle_of_pool(
        self, pool: PoolId, room: "_PoolRoom", active: Counter[JobId]
    ) -> dict[JobId, str]:
        state = self._find_state(pool)
        if state is None:
            return {JobId(f"pool {pool}"): "no owner"}
        return {
            name: self._describe(state, name, number, step)
            for name, job in state.jobs.items()
            if not active[name] and name not in self._cluster.cancelled_at
            for _, number, step in job.startable_steps()
            if room.has_room(step.spec)
        }

    def _describe(self, state: PoolState, name: JobId, number: int, step: Any) -> str:
        now = get_running_loop().time()
        tasks = [
            f"#{index} blocked {task.blocked_until - now:.1f} flying "
            f"{task.in_flight_starts} late "
            f"{ {w: round(e - now, 1) for w, e in task.late_starts.items()} } "
            f"losses {task.losses}/{task.crashes}"
            for index, task in enumerate(step.tasks)
            if task.active is None and not task.is_done
        ]
        tasks += [
            f"#{index} active {task.active.stage.value}@{task.active.worker}"
            for index, task in enumerate(step.tasks)
            if task.active is not None
        ]
        workers = [
            f"{w.worker} free {w.free[:2]} unreserved {w.unreserved[:2]} "
            f"accepts {w.can_accept_tasks(now)} cordoned {w.is_cordoned} "
            f"silent {bool(w.unresponsive_since)} susp {w.has_unproven_suspect} "
            f"paused {w.score.is_paused(now)} seen {w.has_seen_token} "
            f"orphans {w.has_orphans} "
            f"late {w.late_starts_reserved[:2]} {w.late_starts_end - now:.1f}"
            for w in state.workers.values()
            if w.entry is not None
        ]
        return (
            f"at {now:.1f} pool {state.pool} owned {now - state.owned_since:.1f} "
            f"step {number} {step.spec.needs[:2]} gang {step.spec.gang} "
            f"lasts {step.spec.long_running} {tasks}; {workers}"
        )

    def _find_state(self, pool: PoolId) -> PoolState | None:
        instance = self._cluster.find_owner(pool)
        if instance is None or instance.node is None:
            return None
        owner = instance.node.find_owner(pool)
        return owner.coordinator.state if owner is not None else None
