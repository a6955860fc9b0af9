"""Faults for clusters with long-running jobs whose machines move between pools."""

from asyncio import get_running_loop, sleep
from random import Random

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.long_running_faults import LongRunningFaults
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

PEAK_BEHAVIOUR = TaskBehaviour(seconds=2.0)
FIRST_PEAK_NUMBER = 900
FIRST_PEAK_DELAY_SECONDS = 4.0


class MovedMachineFaults(LongRunningFaults):
    """Long-running jobs, and machines that are moved to another pool and back.

    A machine that is moved gets a worker with another id.

    Args:
        cluster: Simulated cluster with a second pool that has a queue.
        random: Seeded source of all random choices.
    """

    def __init__(self, cluster: JobCluster, random: Random):
        super().__init__(cluster, random, registrations_stay=False)
        cluster.machines.renames_workers = True
        self._peak_count = 0
        self._faults += [self.need_machines, self.need_machines, self.lose_move_answers]

    async def run(self) -> None:
        """Submit the jobs, inject the faults and wait until all faults are over."""
        peak = self._inject(self.need_machines, FIRST_PEAK_DELAY_SECONDS)
        task = get_running_loop().create_task(peak)
        await super().run()
        await task

    async def need_machines(self) -> None:
        """Let the other pool need machines."""
        self._peak_count += 1
        number = FIRST_PEAK_NUMBER + self._peak_count
        count = self.random.randint(40, 160)
        step = StepSpec(count=count, needs=Resources(1000, 100), estimate=2.0)
        index = self.random.randrange(len(self.cluster.instances))
        if self.cluster.instances[index].node is None:
            return
        [route] = self.cluster.other_routes
        try:
            await self.cluster.submit(
                number, (step,), index, PEAK_BEHAVIOUR, route=route
            )
        except RefusalError:
            return
        await sleep(self.random.uniform(1.0, 5.0))

    async def lose_move_answers(self) -> None:
        """Let orders for moves be executed without an answer."""
        self.cluster.machines.loses_move_answers = True
        await sleep(self.random.uniform(1.0, 6.0))
        self.cluster.machines.loses_move_answers = False
