"""Faults for clusters with long-running jobs, and the waits of the jobs' tasks."""

from asyncio import Task, get_running_loop, sleep
from collections.abc import Awaitable, Callable
from random import Random

from jujubebarrow.coordinators.worker_views import CLOCK_RATE
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.standins.emulated_workers import EmulatedWorker, TaskBehaviour
from jujubebarrow.tests.fakes.job_clusters import POOL, Instance, JobCluster
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import WorkerState

FAULT_SECONDS = 20.0
CALM_SECONDS = 7.0
"""Time without faults after which a wait counts; from the platform's rules."""
RESTART_SECONDS = 6.0
"""Time after the end of its last run in which a task may wait."""
WAIT_SECONDS = 3.0
"""Time for which a task then has to wait with room before the wait counts."""
POLL_SECONDS = 1.0
"""Time from the end of a lease until an unreachable worker was polled once more."""
REGISTRATION_SECONDS = 4.5
"""Time for which the registration of a worker that has crashed stays at most."""
WATCH_SECONDS = 20.0
WATCH_PERIOD_SECONDS = 0.1
FINITE_CPU = 1000
LONG_RUNNING_CPU = 2000


class LongRunningFaults:
    """Long-running jobs, faults that follow from one seed, and the check of waits.

    Args:
        cluster: Simulated cluster.
        random: Seeded source of all random choices.
        registrations_stay: Whether the registration of a lost worker may stay for good,
            which the platform's contract does not permit.
    """

    def __init__(
        self, cluster: JobCluster, random: Random, registrations_stay: bool = True
    ):
        self.cluster = cluster
        self.random = random
        self.registrations_stay = registrations_stay
        self.events: list[str] = []
        self.lost: set[WorkerId] = set()
        self.long_running: dict[TaskKey, int] = {}
        self._faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_owner,
            self.kill_all,
            self.isolate_owner,
            self.stop_store,
            self.lose_store_responses,
            self.slow_store,
            self.cut_workers_from_owner,
            self.cut_workers_from_all,
            self.cut_workers_from_all,
            self.restart_worker,
            self.lose_worker,
            self.drain_worker,
            self.lose_orders,
            self.stall_worker,
            self.restart_behind_a_cut,
            self.truncate_history,
            self.reject_store_calls,
        ]

    async def run(self) -> None:
        """Submit the jobs, inject the faults and wait until all faults are over."""
        for number in range(1, 3):
            width = self.random.randint(3, len(self._list_present()) - 1)
            step = StepSpec(
                count=width,
                needs=Resources(LONG_RUNNING_CPU, 500),
                long_running=True,
                most_per_worker=1,
            )
            behaviour = TaskBehaviour(is_long_running=True)
            job = await self.cluster.submit(number, (step,), behaviour=behaviour)
            for index in range(width):
                self.long_running[TaskKey(job, 0, 0, index)] = number
        await sleep(3.0)
        loop = get_running_loop()
        tasks: list[Task[None]] = [loop.create_task(self._submit_finite())]
        for _ in range(self.random.randint(2, 5)):
            delay = self.random.uniform(0.0, FAULT_SECONDS)
            fault = self.random.choice(self._faults)
            tasks.append(loop.create_task(self._inject(fault, delay)))
        for task in tasks:
            await task

    async def _inject(self, fault: Callable[[], Awaitable[None]], delay: float) -> None:
        await sleep(delay)
        begin = get_running_loop().time()
        await fault()
        name = getattr(fault, "__name__", "fault")
        end = get_running_loop().time()
        self.events.append(f"{begin:.2f} to {end:.2f} {name}")

    async def _submit_finite(self) -> None:
        deadline = get_running_loop().time() + FAULT_SECONDS
        number = 100
        while get_running_loop().time() < deadline:
            number += 1
            await sleep(self.random.uniform(0.2, 0.8))
            running = [i for i in self.cluster.instances if i.node is not None]
            if not running:
                continue
            index = self.cluster.instances.index(self.random.choice(running))
            needs = Resources(FINITE_CPU, 500)
            step = StepSpec(count=self.random.randint(1, 4), needs=needs, estimate=1.0)
            behaviour = TaskBehaviour(
                seconds=self.random.uniform(0.3, 2.0),
                is_failing=self.random.random() < 0.15,
            )
            try:
                await self.cluster.submit(number, (step,), index, behaviour)
            except RefusalError:
                continue

    def _pick_workers(self, most: int) -> list[EmulatedWorker]:
        names = sorted(self._list_present())
        chosen = self.random.sample(names, self.random.randint(1, most))
        return [self.cluster.workers[name] for name in chosen]

    def _list_present(self) -> list[WorkerId]:
        """Return the workers of the jobs' pool that are not gone for good."""
        return [
            worker.worker
            for worker in self.cluster.workers.values()
            if worker.pool == POOL and not self._is_gone(worker.worker)
        ]

    def _is_gone(self, worker: WorkerId) -> bool:
        return worker in self.lost or worker in self.cluster.machines.ended

    def _find_instance(self) -> Instance | None:
        return self.cluster.find_owner()

    async def kill_owner(self) -> None:
        owner = self._find_instance()
        if owner is not None:
            await owner.kill()
            await sleep(self.random.uniform(0.5, 5.0))
            if owner.node is None:
                await owner.start()

    async def kill_all(self) -> None:
        instances = [i for i in self.cluster.instances if i.node is not None]
        for instance in instances:
            await instance.kill()
        await sleep(self.random.uniform(0.5, 3.0))
        for instance in instances:
            if instance.node is None:
                await instance.start()

    async def isolate_owner(self) -> None:
        owner = self._find_instance()
        if owner is None:
            return
        store, gateway = owner.store, owner.gateway
        store.is_disconnected = owner.is_isolated = True
        gateway.is_disconnected = self.random.random() < 0.5
        await sleep(self.random.uniform(3.0, 10.0))
        if owner.node is not None and owner.store is store:
            store.is_disconnected = owner.is_isolated = gateway.is_disconnected = False

    async def stop_store(self) -> None:
        self.cluster.store.is_down = True
        await sleep(self.random.uniform(1.0, 8.0))
        self.cluster.store.is_down = False

    async def slow_store(self) -> None:
        self.cluster.store.extra_delay_seconds = self.random.uniform(0.05, 0.4)
        await sleep(self.random.uniform(1.0, 5.0))
        self.cluster.store.extra_delay_seconds = 0.0

    async def lose_store_responses(self) -> None:
        self.cluster.store.response_loss_probability = 0.3
        self.cluster.store.late_write_probability = 0.2
        await sleep(self.random.uniform(1.0, 6.0))
        self.cluster.store.response_loss_probability = 0.0
        self.cluster.store.late_write_probability = 0.0

    async def cut_workers_from_owner(self) -> None:
        owner = self._find_instance()
        if owner is None:
            return
        gateway = owner.gateway
        names = {worker.worker for worker in self._pick_workers(4)}
        gateway.unreachable |= names
        await sleep(self.random.uniform(3.0, 12.0))
        gateway.unreachable -= names

    async def cut_workers_from_all(self) -> None:
        names = {worker.worker for worker in self._pick_workers(4)}
        await self._cut_from_all(names, self.random.uniform(3.0, 12.0))

    async def _cut_from_all(self, names: set[WorkerId], seconds: float) -> None:
        deadline = get_running_loop().time() + seconds
        while get_running_loop().time() < deadline:
            # Also cuts off the instances that start during the fault.
            for instance in self.cluster.instances:
                if instance.node is not None:
                    instance.gateway.unreachable |= names
            await sleep(0.05)
        for instance in self.cluster.instances:
            if instance.node is not None:
                instance.gateway.unreachable -= names

    async def restart_behind_a_cut(self) -> None:
        """Restart workers while no instance reaches them; they register after it."""
        workers = self._pick_workers(3)
        for worker in workers:
            worker.crash()
        get_running_loop().call_later(
            self.random.uniform(0.0, 3.0), self._restart_if_down, workers
        )
        names = {worker.worker for worker in workers}
        await self._cut_from_all(names, self.random.uniform(1.0, 8.0))
        self._restart_if_down(workers)
        for name in names:
            if not self._is_gone(name):
                self.cluster.register_worker(name)

    def _restart_if_down(self, workers: list[EmulatedWorker]) -> None:
        for worker in workers:
            if not worker.is_up and not self._is_gone(worker.worker):
                worker.restart()

    async def truncate_history(self) -> None:
        store = self.cluster.store
        store.oldest_readable_revision = store.table.revision + 1
        store.history_truncation_count += 1
        await sleep(0.3)
        store.oldest_readable_revision = 0

    async def reject_store_calls(self) -> None:
        owner = self._find_instance()
        if owner is None:
            return
        store = owner.store
        store.is_rejecting_calls = True
        await sleep(self.random.uniform(1.0, 8.0))
        store.is_rejecting_calls = False

    async def restart_worker(self) -> None:
        for worker in self._pick_workers(2):
            worker.crash()
            await sleep(self.random.uniform(0.2, 3.0))
            if self._is_gone(worker.worker):
                continue
            worker.restart()
            self.cluster.register_worker(worker.worker)

    async def lose_worker(self) -> None:
        """Lose a worker for good."""
        if self.lost:
            return
        worker = self._pick_workers(1)[0]
        self.lost.add(worker.worker)
        worker.crash()
        if not self.registrations_stay:
            loop = get_running_loop()
            unregister = self.cluster.unregister_worker
            loop.call_later(REGISTRATION_SECONDS, unregister, worker.worker)
        if self.random.random() < 0.5:
            await sleep(self.random.uniform(0.0, 3.0))
            self.cluster.unregister_worker(worker.worker)

    async def drain_worker(self) -> None:
        worker = self._pick_workers(1)[0]
        self.cluster.set_draining(worker.worker)
        await sleep(self.random.uniform(2.0, 4.0))
        worker.state = WorkerState.READY
        if self._is_gone(worker.worker):
            return
        worker.restart()
        self.cluster.register_worker(worker.worker)

    async def lose_orders(self) -> None:
        workers = self._pick_workers(4)
        for worker in workers:
            worker.late_order_probability = 0.2
            worker.response_loss_probability = 0.2
        await sleep(self.random.uniform(1.0, 6.0))
        for worker in workers:
            worker.late_order_probability = worker.response_loss_probability = 0.0

    async def stall_worker(self) -> None:
        worker = self._pick_workers(1)[0]
        worker.is_stalled = True
        await sleep(self.random.uniform(1.0, 5.0))
        worker.is_stalled = False

    async def find_waits(self) -> list[str]:
        """Return the tasks that wait longer than allowed although there is room.

        Call when all faults are over.
        """
        now = get_running_loop().time
        calm_since, waits = now(), []
        since: dict[TaskKey, float] = {}
        reported: set[TaskKey] = set()
        while now() < calm_since + WATCH_SECONDS:
            for task in self.long_running:
                if not self._is_waiting_with_room(task):
                    since.pop(task, None)
                    reported.discard(task)
                    continue
                earliest = max(
                    since.setdefault(task, now()),
                    self._find_last_end(task) + RESTART_SECONDS,
                    calm_since + CALM_SECONDS - WAIT_SECONDS,
                )
                is_late = now() > earliest + WAIT_SECONDS
                may_lease_hold = now() < self._find_lease_limit(task)
                if is_late and not may_lease_hold and task not in reported:
                    reported.add(task)
                    waits.append(
                        f"{task} waits at {now():.2f}, last run ended at "
                        f"{self._find_last_end(task):.2f}, calm since {calm_since:.2f}"
                        f", state {self._describe(task)}"
                    )
            await sleep(WATCH_PERIOD_SECONDS)
        return waits

    def _describe(self, task: TaskKey) -> str:
        owner = self.cluster.find_owner()
        if owner is None or owner.node is None:
            return "no owner"
        pool_owner = owner.node.find_owner(POOL)
        assert pool_owner is not None
        state = pool_owner.coordinator.state
        job = state.jobs.get(task.job)
        found = job.find_task(task) if job is not None else None
        return f"owner {owner.name} since {state.owned_since:.2f}: {found}"

    def _find_lease_limit(self, task: TaskKey) -> float:
        """Return until when the owner can't know that the last run of a task is over.

        The worker is lost, and a former owner may have renewed its lease for some time
        after the present owner took over.
        """
        runs = [run for run in self.cluster.list_runs() if run.task == task]
        if not runs or max(runs, key=lambda run: run.run).worker not in self.lost:
            return 0.0
        owner = self.cluster.find_owner()
        pool_owner = owner.node.find_owner(POOL) if owner and owner.node else None
        if pool_owner is None:
            return 0.0
        state = pool_owner.coordinator.state
        options = state.options
        longest_wait = options.superseded_renewal + options.longest_lease / CLOCK_RATE
        return state.owned_since + longest_wait + POLL_SECONDS

    def _find_last_end(self, task: TaskKey) -> float:
        ends = [
            run.ended_at or 0.0 for run in self.cluster.list_runs() if run.task == task
        ]
        return max(ends, default=0.0)

    def _is_waiting_with_room(self, task: TaskKey) -> bool:
        running = {
            run.task: worker.worker
            for worker in self.cluster.workers.values()
            for run in worker.running
        }
        if task in running:
            return False
        used = {name for other, name in running.items() if other.job == task.job}
        return any(
            worker.is_up
            and worker.pool == POOL
            and worker.state is WorkerState.READY
            and worker.worker not in used
            and self.cluster.is_registered(worker.worker)
            and self._count_used_cpu(worker) + LONG_RUNNING_CPU <= worker.capacity.cpu
            for worker in self.cluster.workers.values()
        )

    def _count_used_cpu(self, worker: EmulatedWorker) -> int:
        return sum(
            LONG_RUNNING_CPU if run.task in self.long_running else FINITE_CPU
            for run in worker.running
        )
