"""Random load and faults for a simulated cluster in virtual time."""

from asyncio import get_running_loop, sleep
from random import Random

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_clusters import Instance, JobCluster
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

LOAD_SECONDS = 25.0
RECOVERY_SECONDS = 60.0
UNKNOWN_OUTCOME_KINDS = (ErrorKind.RUN_UNKNOWN, ErrorKind.INTERNAL)


class FaultInjector:
    """Creates load, faults and cancellations that follow from one seed.

    Args:
        cluster: Simulated cluster that receives the load and the faults.
        random: Seeded source of all random choices.
    """

    def __init__(self, cluster: JobCluster, random: Random):
        self.cluster = cluster
        self.random = random
        self.refused_jobs: set[str] = set()
        self.unknown_jobs: set[str] = set()
        self.faults = [
            self.kill_instance,
            self.stop_instance,
            self.stop_store,
            self.slow_store,
            self.lose_store_responses,
            self.reject_store_calls,
            self.isolate_instance,
            self.crash_worker,
            self.restart_worker,
            self.disconnect_worker,
            self.delay_workers,
            self.stall_worker,
            self.drain_worker,
            self.start_wave,
            self.truncate_history,
        ]

    def pick_instance(self) -> Instance | None:
        running = [i for i in self.cluster.instances if i.node is not None]
        return self.random.choice(running) if len(running) > 1 else None

    def pick_worker(self) -> WorkerId:
        return self.random.choice(sorted(self.cluster.workers))

    async def run(self) -> None:
        loop = get_running_loop()
        tasks = [loop.create_task(self.submit_load())]
        for _ in range(self.random.randint(2, 6)):
            tasks.append(loop.create_task(self.inject_fault_later()))
        for task in tasks:
            await task
        await self.recover()

    async def inject_fault_later(self) -> None:
        await sleep(self.random.uniform(0.0, LOAD_SECONDS))
        await self.random.choice(self.faults)()

    async def submit_load(self) -> None:
        deadline = get_running_loop().time() + LOAD_SECONDS
        number = 0
        while get_running_loop().time() < deadline:
            number += 1
            await self.submit(number)
            await sleep(self.random.uniform(0.1, 0.8))

    async def submit(self, number: int) -> None:
        instance = self.pick_instance()
        if instance is None:
            return
        step = StepSpec(
            count=self.random.randint(1, 4),
            needs=Resources(1000, 500),
            estimate=0.5,
        )
        dependent = StepSpec(
            count=2, needs=Resources(1000, 500), estimate=0.5, after=(0,)
        )
        steps = (step, dependent) if self.random.random() < 0.4 else (step,)
        behaviour = TaskBehaviour(seconds=self.random.uniform(0.2, 3.0))
        index = self.cluster.instances.index(instance)
        name = f"{number:016x}"
        try:
            job = await self.cluster.submit(number, steps, index, behaviour)
        except RefusalError as error:
            (
                self.unknown_jobs
                if error.kind in UNKNOWN_OUTCOME_KINDS
                else self.refused_jobs
            ).add(name)
            return
        if self.random.random() < 0.1:
            await self.cancel(job, index)

    async def cancel(self, job: str, index: int) -> None:
        await sleep(self.random.uniform(0.0, 1.0))
        if self.cluster.instances[index].node is None:
            return
        try:
            await self.cluster.cancel(job, index)
        except RefusalError:
            # The cancellation may have been stored, so the job may be cancelled or run.
            self.unknown_jobs.add(job)

    async def kill_instance(self) -> None:
        instance = self.pick_instance()
        if instance is not None:
            await instance.kill()
            await sleep(self.random.uniform(0.5, 6.0))
            await instance.start()

    async def stop_instance(self) -> None:
        instance = self.pick_instance()
        if instance is not None:
            await instance.stop()
            await sleep(self.random.uniform(0.5, 3.0))
            await instance.start()

    async def stop_store(self) -> None:
        self.cluster.store.is_down = True
        await sleep(self.random.uniform(1.0, 6.0))
        self.cluster.store.is_down = False

    async def slow_store(self) -> None:
        self.cluster.store.extra_delay_seconds = self.random.uniform(0.05, 0.4)
        await sleep(self.random.uniform(1.0, 5.0))
        self.cluster.store.extra_delay_seconds = 0.0

    async def lose_store_responses(self) -> None:
        self.cluster.store.response_loss_probability = 0.3
        self.cluster.store.late_write_probability = 0.1
        await sleep(self.random.uniform(1.0, 5.0))
        self.cluster.store.response_loss_probability = (
            self.cluster.store.late_write_probability
        ) = 0.0

    async def reject_store_calls(self) -> None:
        instance = self.pick_instance()
        if instance is not None:
            instance.store.is_rejecting_calls = True
            await sleep(self.random.uniform(1.0, 8.0))
            instance.store.is_rejecting_calls = False

    async def isolate_instance(self) -> None:
        instance = self.pick_instance()
        if instance is not None:
            store, gateway = instance.store, instance.gateway
            store.is_disconnected = instance.is_isolated = True
            gateway.is_disconnected = self.random.random() < 0.5
            await sleep(self.random.uniform(1.0, 8.0))
            if instance.node is not None and instance.store is store:
                store.is_disconnected = instance.is_isolated = (
                    gateway.is_disconnected
                ) = False

    async def crash_worker(self) -> None:
        name = self.pick_worker()
        self.cluster.workers[name].crash()
        self.cluster.unregister_worker(name)
        await sleep(self.random.uniform(3.0, 12.0))
        if name not in self.cluster.machines.down:
            self.cluster.workers[name].restart()
            self.cluster.register_worker(name)

    async def restart_worker(self) -> None:
        name = self.pick_worker()
        if name not in self.cluster.machines.down:
            self.cluster.workers[name].restart()
            self.cluster.register_worker(name)

    async def disconnect_worker(self) -> None:
        name = self.pick_worker()
        gateways = [i.gateway for i in self.cluster.instances if i.node is not None]
        affected = [g for g in gateways if self.random.random() < 0.7]
        for gateway in affected:
            gateway.unreachable.add(name)
        await sleep(self.random.uniform(1.0, 10.0))
        for gateway in affected:
            gateway.unreachable.discard(name)

    async def delay_workers(self) -> None:
        for worker in self.cluster.workers.values():
            worker.late_order_probability, worker.response_loss_probability = 0.2, 0.1
        await sleep(self.random.uniform(1.0, 6.0))
        for worker in self.cluster.workers.values():
            worker.late_order_probability = worker.response_loss_probability = 0.0

    async def stall_worker(self) -> None:
        worker = self.cluster.workers[self.pick_worker()]
        worker.is_stalled = True
        await sleep(self.random.uniform(1.0, 5.0))
        worker.is_stalled = False

    async def drain_worker(self) -> None:
        name = self.pick_worker()
        self.cluster.set_draining(name)
        await sleep(self.random.uniform(2.0, 4.0))
        await self._end_drain(name)

    async def _end_drain(self, name: WorkerId) -> None:
        worker = self.cluster.workers[name]
        worker.state = type(worker.state).READY
        if name not in self.cluster.machines.down:
            worker.restart()
            self.cluster.register_worker(name)

    async def start_wave(self) -> None:
        number = self.random.randint(1, 1000)
        names = tuple(
            MachineId(f"m-{name}") for name in sorted(self.cluster.workers)[:2]
        )
        self.cluster.write_wave(
            WaveRequest(wave=number, machines=names, duration=20.0, max_concurrent=1)
        )

    async def truncate_history(self) -> None:
        self.cluster.store.oldest_readable_revision = (
            self.cluster.store.table.revision + 1
        )
        self.cluster.store.history_truncation_count += 1
        await sleep(0.3)
        self.cluster.store.oldest_readable_revision = 0

    async def recover(self) -> None:
        for worker in self.cluster.workers.values():
            worker.is_stalled = False
        for instance in self.cluster.instances:
            if instance.node is None:
                await instance.start()
        await sleep(RECOVERY_SECONDS)

    async def find_unfinished(self) -> list[str]:
        """Return the accepted jobs that are not completed, with their phase.

        Skips cancelled jobs and jobs with unknown outcome.
        """
        unfinished = []
        for job in sorted(self.cluster.accepted):
            if job in self.cluster.cancelled_at or job in self.unknown_jobs:
                continue
            phase = await self.cluster.read_phase(job)
            if phase != "completed":
                unfinished.append(f"{job} {phase}")
        return unfinished

    def find_false_refusals(self) -> list[str]:
        """Return the jobs that were refused as not run although tasks ran."""
        started = {run.task.job for run in self.cluster.list_runs()}
        return sorted(self.refused_jobs & started - self.cluster.accepted)
