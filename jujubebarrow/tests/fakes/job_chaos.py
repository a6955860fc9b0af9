"""Random faults for a world of the job core, in virtual time."""

from asyncio import get_running_loop, sleep
from random import Random

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_worlds import Instance, JobWorld
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

LOAD_SECONDS = 25.0
HEAL_SECONDS = 60.0
UNKNOWN = (ErrorKind.RUN_UNKNOWN, ErrorKind.INTERNAL)


class Chaos:
    """Load, faults and cancellations drawn from one seed.

    Args:
        world: World.
        random: Source of what happens.
    """

    def __init__(self, world: JobWorld, random: Random):
        self.world = world
        self.random = random
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.faults = [
            self.kill_instance,
            self.stop_instance,
            self.store_down,
            self.store_slow,
            self.store_loses,
            self.store_turns_away,
            self.instance_alone,
            self.worker_crash,
            self.worker_reborn,
            self.worker_unreachable,
            self.workers_late,
            self.worker_still,
            self.worker_drains,
            self.wave,
            self.history,
        ]

    def pick_instance(self) -> Instance | None:
        alive = [i for i in self.world.instances if i.node is not None]
        return self.random.choice(alive) if len(alive) > 1 else None

    def pick_worker(self) -> WorkerId:
        return self.random.choice(sorted(self.world.workers))

    async def run(self) -> None:
        loop = get_running_loop()
        tasks = [loop.create_task(self.load())]
        for _ in range(self.random.randint(2, 6)):
            tasks.append(loop.create_task(self.break_later()))
        for task in tasks:
            await task
        await self.heal()

    async def break_later(self) -> None:
        await sleep(self.random.uniform(0.0, LOAD_SECONDS))
        await self.random.choice(self.faults)()

    async def load(self) -> None:
        until = get_running_loop().time() + LOAD_SECONDS
        number = 0
        while get_running_loop().time() < until:
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
        after = StepSpec(count=2, needs=Resources(1000, 500), estimate=0.5, after=(0,))
        steps = (step, after) if self.random.random() < 0.4 else (step,)
        behaviour = TaskBehaviour(seconds=self.random.uniform(0.2, 3.0))
        index = self.world.instances.index(instance)
        name = f"{number:016x}"
        try:
            job = await self.world.submit(number, steps, index, behaviour)
        except RefusalError as error:
            (self.unknown if error.kind in UNKNOWN else self.refused).add(name)
            return
        if self.random.random() < 0.1:
            await self.cancel(job, index)

    async def cancel(self, job: str, index: int) -> None:
        await sleep(self.random.uniform(0.0, 1.0))
        if self.world.instances[index].node is None:
            return
        try:
            await self.world.cancel(job, index)
        except RefusalError:
            # Perhaps stored: neither outcome may be held against the program.
            self.unknown.add(job)

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

    async def store_down(self) -> None:
        self.world.store.is_down = True
        await sleep(self.random.uniform(1.0, 6.0))
        self.world.store.is_down = False

    async def store_slow(self) -> None:
        self.world.store.slowness = self.random.uniform(0.05, 0.4)
        await sleep(self.random.uniform(1.0, 5.0))
        self.world.store.slowness = 0.0

    async def store_loses(self) -> None:
        self.world.store.lost_share = 0.3
        self.world.store.late_share = 0.1
        await sleep(self.random.uniform(1.0, 5.0))
        self.world.store.lost_share = self.world.store.late_share = 0.0

    async def store_turns_away(self) -> None:
        instance = self.pick_instance()
        if instance is not None:
            instance.store.is_refused = True
            await sleep(self.random.uniform(1.0, 8.0))
            instance.store.is_refused = False

    async def instance_alone(self) -> None:
        instance = self.pick_instance()
        if instance is not None:
            store, gateway = instance.store, instance.gateway
            store.is_cut = instance.is_alone = True
            gateway.is_cut = self.random.random() < 0.5
            await sleep(self.random.uniform(1.0, 8.0))
            if instance.node is not None and instance.store is store:
                store.is_cut = instance.is_alone = gateway.is_cut = False

    async def worker_crash(self) -> None:
        name = self.pick_worker()
        self.world.workers[name].crash()
        self.world.remove_entry(name)
        await sleep(self.random.uniform(3.0, 12.0))
        if name not in self.world.machines.down:
            self.world.workers[name].restart()
            self.world.write_entry(name)

    async def worker_reborn(self) -> None:
        name = self.pick_worker()
        if name not in self.world.machines.down:
            self.world.workers[name].restart()
            self.world.write_entry(name)

    async def worker_unreachable(self) -> None:
        name = self.pick_worker()
        gateways = [i.gateway for i in self.world.instances if i.node is not None]
        some = [g for g in gateways if self.random.random() < 0.7]
        for gateway in some:
            gateway.unreachable.add(name)
        await sleep(self.random.uniform(1.0, 10.0))
        for gateway in some:
            gateway.unreachable.discard(name)

    async def workers_late(self) -> None:
        for worker in self.world.workers.values():
            worker.late_share, worker.lost_share = 0.2, 0.1
        await sleep(self.random.uniform(1.0, 6.0))
        for worker in self.world.workers.values():
            worker.late_share = worker.lost_share = 0.0

    async def worker_still(self) -> None:
        worker = self.world.workers[self.pick_worker()]
        worker.stands_still = True
        await sleep(self.random.uniform(1.0, 5.0))
        worker.stands_still = False

    async def worker_drains(self) -> None:
        name = self.pick_worker()
        self.world.set_draining(name)
        await sleep(self.random.uniform(2.0, 4.0))
        await self._end_drain(name)

    async def _end_drain(self, name: WorkerId) -> None:
        worker = self.world.workers[name]
        worker.state = type(worker.state).READY
        if name not in self.world.machines.down:
            worker.restart()
            self.world.write_entry(name)

    async def wave(self) -> None:
        number = self.random.randint(1, 1000)
        names = tuple(MachineId(f"m-{name}") for name in sorted(self.world.workers)[:2])
        self.world.write_wave(
            WaveRequest(wave=number, machines=names, duration=20.0, most_at_once=1)
        )

    async def history(self) -> None:
        self.world.store.history_from = self.world.store.table.revision + 1
        self.world.store.history_cuts += 1
        await sleep(0.3)
        self.world.store.history_from = 0

    async def heal(self) -> None:
        for worker in self.world.workers.values():
            worker.stands_still = False
        for instance in self.world.instances:
            if instance.node is None:
                await instance.start()
        await sleep(HEAL_SECONDS)

    async def find_unfinished(self) -> list[str]:
        """Return accepted jobs that nobody cancelled and that are not completed."""
        unfinished = []
        for job in sorted(self.world.accepted):
            if job in self.world.cancelled_at or job in self.unknown:
                continue
            phase = await self.world.read_phase(job)
            if phase != "completed":
                unfinished.append(f"{job} {phase}")
        return unfinished

    def find_untrue_refusals(self) -> list[str]:
        """Return jobs that were refused as not run, and ran."""
        started = {run.task.job for run in self.world.runs()}
        return sorted(self.refused & started - self.world.accepted)
