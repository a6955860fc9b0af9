"""Jobs of all kinds, and faults of workers, instances and the store together."""

from asyncio import get_running_loop, sleep
from random import Random

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.identifiers import JobId
from jujubebarrow.standins.emulated_workers import EmulatedWorker, TaskBehaviour
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.late_order_faults import (
    LATE_EXECUTION_SECONDS,
    LOSS_PROBABILITY,
    ORDER_PROBABILITY,
    RENEWAL_PROBABILITY,
    LateOrderFaults,
)
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.worker_reports import WorkerState

FAULT_SECONDS = 30.0
SLOWEST_CLOCK_RATE = 0.98
WAVE_SECONDS = 20.0
CANCELLATION_SHARE = 0.2
FAILING_SHARE = 0.1
REPEATED_SHARE = 0.15
OCCURRENCE_LIMIT = 3
LONG_RUNNING_SHARE = 0.15
GANG_SHARE = 0.2
CHECKPOINT_SHARE = 0.4


class MixedFaults(LateOrderFaults):
    """Late orders and restarts beside faults of the owners, the store and machines.

    Args:
        cluster: Simulated cluster.
        random: Seeded source of all random choices.
        postpones_leases: Whether the lease of an order that is executed late has its
            full length from then on.
    """

    def __init__(
        self, cluster: JobCluster, random: Random, postpones_leases: bool = False
    ):
        super().__init__(cluster, random, postpones_leases=postpones_leases)
        self._withdrawn: set[WorkerId] = set()
        self._wave_count = 0

    async def run(self) -> None:
        """Inject faults for some time, then wait until late orders are executed."""
        for worker in self.cluster.workers.values():
            worker.clock_rate = self.random.choice((1.0, SLOWEST_CLOCK_RATE))
            worker.late_order_probability = ORDER_PROBABILITY
            worker.response_loss_probability = LOSS_PROBABILITY
            worker.late_renewal_probability = RENEWAL_PROBABILITY
            worker.late_leases_begin_on_arrival = self._postpones_leases
        loop = get_running_loop()
        faults = (
            self._restart_workers,
            self._restart_workers,
            self._cut_workers,
            self._drop_registrations,
            self._drain_worker,
            self._disturb_owner,
            self._disturb_store,
            self._request_wave,
        )
        tasks = [loop.create_task(self._repeat(fault)) for fault in faults]
        await self._submit_load()
        for task in tasks:
            await task
        for worker in self.cluster.workers.values():
            worker.late_order_probability = worker.response_loss_probability = 0.0
            worker.late_renewal_probability = 0.0
        await sleep(LATE_EXECUTION_SECONDS)

    async def _submit_load(self) -> None:
        loop = get_running_loop()
        deadline = loop.time() + FAULT_SECONDS
        number = 0
        while loop.time() < deadline:
            number += 1
            await sleep(self.random.uniform(0.2, 0.8))
            index = self._pick_instance()
            if index is None:
                continue
            route = self._choose((self.cluster.route, *self.cluster.other_routes))
            steps, behaviour = self._draw_steps()
            is_repeated = self.random.random() < REPEATED_SHARE
            try:
                job = await self.cluster.submit(
                    number,
                    steps,
                    index,
                    behaviour,
                    route=route,
                    occurrences=self.random.randint(2, OCCURRENCE_LIMIT)
                    if is_repeated
                    else 0,
                    interval=self.random.uniform(0.5, 4.0) if is_repeated else 0.0,
                )
            except RefusalError:
                continue
            if self.random.random() < CANCELLATION_SHARE:
                delay_seconds = self.random.uniform(0.0, 10.0)
                loop.create_task(self._cancel_later(job, route, delay_seconds))

    def _pick_instance(self) -> int | None:
        running = [
            index
            for index, instance in enumerate(self.cluster.instances)
            if instance.node is not None and not instance.is_isolated
        ]
        return self.random.choice(running) if running else None

    async def _cancel_later(self, job: JobId, route: QueueRoute, delay: float) -> None:
        await sleep(delay)
        index = self._pick_instance()
        if index is not None:
            try:
                await self.cluster.cancel(job, index, route)
            except RefusalError:
                return

    def _draw_steps(self) -> tuple[tuple[StepSpec, ...], TaskBehaviour]:
        """Choose the steps of a job and the behaviour of its tasks."""
        behaviour = TaskBehaviour(
            seconds=self.random.uniform(0.5, 6.0),
            is_failing=self.random.random() < FAILING_SHARE,
        )
        if self.random.random() < CHECKPOINT_SHARE:
            behaviour.checkpoint_seconds = self.random.uniform(0.3, 1.5)
        if self.random.random() < LONG_RUNNING_SHARE:
            behaviour.is_long_running = True
            return (self._draw_step(behaviour, 0),), behaviour
        gang_sizes = {}
        steps: list[StepSpec] = []
        for number in range(self.random.randint(1, 3)):
            step = self._draw_step(behaviour, number)
            if step.gang:
                gang_sizes[number] = step.count
            steps.append(step)
        behaviour.gang_sizes = gang_sizes
        return tuple(steps), behaviour

    def _draw_step(self, behaviour: TaskBehaviour, number: int) -> StepSpec:
        is_gang = not behaviour.is_long_running and self.random.random() < GANG_SHARE
        cpu = self.random.choice((500, 1000, 3000))
        return StepSpec(
            count=self.random.randint(2 if is_gang else 1, 4),
            needs=Resources(cpu, self.random.choice((500, 2000, 7000)), 0),
            estimate=1.0,
            after=tuple(
                earlier for earlier in range(number) if self.random.random() < 0.7
            ),
            gang=is_gang,
            same_rack=is_gang and self.random.random() < 0.5,
            most_per_worker=self.random.choice((0, 1, 2)),
            checkpoints=behaviour.checkpoint_seconds > 0,
            long_running=behaviour.is_long_running,
            speculative=self.random.random() < 0.1,
            tolerated_absences=(
                self.random.choice((0, 1)) if behaviour.is_long_running else 0
            ),
        )

    def _pick_present_worker(self) -> EmulatedWorker | None:
        """Choose a worker that no other fault has taken down or out of service."""
        names = self.cluster.workers.keys() - self._withdrawn
        names -= self.cluster.machines.down
        workers = [self.cluster.workers[name] for name in sorted(names)]
        workers = [worker for worker in workers if worker.is_up]
        return self.random.choice(workers) if workers else None

    async def _restart_workers(self) -> None:
        worker = self._pick_present_worker()
        if worker is None:
            return
        worker.crash()
        await sleep(self.random.uniform(0.1, 3.0))
        await self._bring_back(worker)

    async def _bring_back(self, worker: EmulatedWorker) -> None:
        if worker.worker in self.cluster.machines.down or worker.is_up:
            return
        worker.state = WorkerState.READY
        worker.restart()
        await sleep(self.random.choice((0.0, self.random.uniform(0.0, 1.5))))
        if worker.is_up:
            self.cluster.register_worker(worker.worker)

    async def _drop_registrations(self) -> None:
        worker = self._pick_present_worker()
        if worker is None:
            return
        self.cluster.unregister_worker(worker.worker)
        await sleep(self.random.uniform(0.5, 4.0))
        if worker.is_up:
            self.cluster.register_worker(worker.worker)

    async def _drain_worker(self) -> None:
        """Drain a worker; it stays, or leaves and comes back under its id."""
        worker = self._pick_present_worker()
        if worker is None:
            return
        self._withdrawn.add(worker.worker)
        worker.remaining_seconds = self.random.uniform(1.0, 4.0)
        self.cluster.set_draining(worker.worker)
        await sleep(worker.remaining_seconds + self.random.uniform(0.0, 1.0))
        worker.state = WorkerState.READY
        worker.remaining_seconds = 0.0
        if self.random.random() < 0.8:
            worker.crash()
            if self.random.random() < 0.5:
                self.cluster.unregister_worker(worker.worker)
            await sleep(self.random.uniform(0.2, 4.0))
            await self._bring_back(worker)
        elif worker.is_up:
            self.cluster.register_worker(worker.worker)
        self._withdrawn.discard(worker.worker)

    async def _disturb_owner(self) -> None:
        """Kill, freeze or cut off an owner, also from its workers."""
        pool = self.random.choice([route.pool for route in self._list_routes()])
        owner = self.cluster.find_owner(pool)
        if owner is None or owner.is_isolated:
            return
        fault = self.random.choice(("kill", "freeze", "cut"))
        seconds = self.random.uniform(0.5, 12.0)
        if fault == "kill":
            await owner.kill()
            await sleep(self.random.uniform(0.5, 4.0))
            await owner.start()
        elif fault == "freeze":
            owner.freeze()
            await sleep(seconds)
            owner.thaw()
        else:
            owner.store.is_disconnected = owner.is_isolated = True
            owner.gateway.is_disconnected = self.random.random() < 0.5
            await sleep(seconds)
            owner.store.is_disconnected = owner.is_isolated = False
            owner.gateway.is_disconnected = False
        await sleep(self.random.uniform(0.0, 6.0))

    def _list_routes(self) -> tuple[QueueRoute, ...]:
        return (self.cluster.route, *self.cluster.other_routes)

    async def _disturb_store(self) -> None:
        store = self.cluster.store
        fault = self.random.choice(("stop", "lose", "slow"))
        seconds = self.random.uniform(0.5, 6.0)
        if fault == "stop":
            store.is_down = True
        elif fault == "lose":
            store.response_loss_probability = 0.3
            store.late_write_probability = 0.2
        else:
            store.extra_delay_seconds = self.random.uniform(0.05, 0.4)
        await sleep(seconds)
        store.is_down = False
        store.response_loss_probability = store.late_write_probability = 0.0
        store.extra_delay_seconds = 0.0
        await sleep(self.random.uniform(0.0, 5.0))

    async def _request_wave(self) -> None:
        """Request the maintenance of some machines while no other wave is open."""
        await sleep(self.random.uniform(0.0, 5.0))
        self._wave_count += 1
        names = self.random.sample(sorted(self.cluster.workers), 2)
        self.cluster.write_wave(
            WaveRequest(
                wave=self._wave_count,
                machines=tuple(MachineId(f"m-{name}") for name in names),
                duration=WAVE_SECONDS,
                max_concurrent=1,
            )
        )
        await sleep(WAVE_SECONDS)
