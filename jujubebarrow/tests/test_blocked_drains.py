"""Machines of a wave that cannot be emptied.

The tests guard against waves that keep workers from new tasks for machines whose tasks
can't be stopped, so that accepted jobs never start although the pool has capacity.
"""

from asyncio import sleep
from unittest.mock import patch

from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.fake_machines import FakeMachines
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

WAVE = 7
WAVE_SECONDS = 24.0
LABEL = "b"
LASTING_COUNT = 3
HALF_WORKER = Resources(1000, 9000)
"""Needs of a task of which a worker has room for one."""
SMALL = Resources(500, 500)
LATEST_JOB_SECONDS = 4.0
"""Time after which a job of 0.5 s has ended in a pool that has capacity for it."""


class BlockedDrainTest(JobCase):
    def test_wave_closes_no_label_that_jobs_require(self) -> None:
        """Guards against a wave that closes all workers with a label and empties none.

        The only absence that the lasting step tolerates is that of a lost worker.
        """

        async def scenario(cluster: JobCluster) -> None:
            await start_labelled_pool(cluster, labelled_count=LASTING_COUNT)
            lose_worker(cluster, WorkerId("w0"))
            await self._check_jobs_beside_wave(cluster, maintained_count=3)

        self.run_scenario(scenario, workers=6)

    def test_wave_closes_no_label_whose_tasks_lack_workers(self) -> None:
        """Guards against the same if the step has more tasks than the label workers."""

        async def scenario(cluster: JobCluster) -> None:
            await start_labelled_pool(cluster, labelled_count=LASTING_COUNT - 1)
            await self._check_jobs_beside_wave(cluster, maintained_count=4)

        self.run_scenario(scenario, workers=6)

    async def _check_jobs_beside_wave(
        self, cluster: JobCluster, maintained_count: int
    ) -> None:
        """Maintain all machines but the first while jobs require the label."""
        start_wave(cluster, list(cluster.workers)[1:])
        jobs = []
        step = StepSpec(count=2, needs=SMALL, label=LABEL)
        for number in range(int(2 * WAVE_SECONDS)):
            jobs.append(await cluster.submit(100 + number, (step,)))
            await sleep(0.5)
        await sleep(LATEST_JOB_SECONDS)
        phases = [await cluster.read_phase(job) for job in jobs]
        self.assertEqual(phases, ["completed"] * len(jobs))
        # Those without a task that must not be stopped.
        maintained = {machine for machine, _ in cluster.machines.maintenance_orders}
        self.assertEqual(len(maintained), maintained_count)

    def test_drain_behind_a_lost_machine_is_taken_back(self) -> None:
        """Guards against drains that go on for good once a machine does not come back.

        Each worker has a task of the step, which tolerates one absence. A kind of job
        that needs all remaining workers is not known when the drains begin.
        """

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            await submit_lasting(cluster, count=4)
            with patch.object(FakeMachines, "_restart", lambda *_: None):
                start_wave(cluster, list(cluster.workers)[1:])
                await sleep(WAVE_SECONDS)
            self.assertEqual(len(cluster.machines.maintenance_orders), 1)
            await self._check_gang(cluster, count=3)

        self.run_scenario(scenario, workers=4)

    def test_no_drain_begins_while_a_step_lacks_tasks(self) -> None:
        """Guards against drains that can't end since a task of the step is absent."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            await submit_lasting(cluster, count=4)
            lose_worker(cluster, WorkerId("w0"))
            start_wave(cluster, list(cluster.workers)[1:])
            await sleep(WAVE_SECONDS)
            self.assertEqual(cluster.machines.maintenance_orders, [])
            await self._check_gang(cluster, count=3)

        self.run_scenario(scenario, workers=4)

    async def _check_gang(self, cluster: JobCluster, count: int) -> None:
        gang = StepSpec(count=count, needs=SMALL, gang=True, most_per_worker=1)
        job = await cluster.submit(2, (gang,))
        is_done = await cluster.wait_for_phase(job, "completed", LATEST_JOB_SECONDS)
        self.assertTrue(is_done)

    def test_machine_is_drained_again_once_its_tasks_can_move(self) -> None:
        """Guards against a wave that gives a machine up with its first drain."""

        async def scenario(cluster: JobCluster) -> None:
            await start_labelled_pool(cluster, labelled_count=LASTING_COUNT)
            lost = WorkerId("w0")
            lose_worker(cluster, lost)
            start_wave(cluster, list(cluster.workers)[1:])
            await sleep(WAVE_SECONDS)
            cluster.workers[lost].restart()
            cluster.register_worker(lost)
            await sleep(WAVE_SECONDS)
            maintained = {machine for machine, _ in cluster.machines.maintenance_orders}
            self.assertEqual(len(maintained), 5)

        self.run_scenario(scenario, workers=6)


async def start_labelled_pool(cluster: JobCluster, labelled_count: int) -> None:
    """Give the first workers the label, and each of them a lasting task."""
    for name in list(cluster.workers)[:labelled_count]:
        cluster.workers[name].restart(labels=(LABEL, "r1"))
        cluster.register_worker(name)
    await sleep(4.0)
    await submit_lasting(cluster, LASTING_COUNT, LABEL)


async def submit_lasting(cluster: JobCluster, count: int, label: str = "") -> None:
    """Start long-running tasks, one on a worker, of which one may be absent."""
    step = StepSpec(
        count=count,
        needs=HALF_WORKER,
        label=label,
        long_running=True,
        most_per_worker=1,
        tolerated_absences=1,
    )
    await cluster.submit(1, (step,), behaviour=TaskBehaviour(is_long_running=True))
    await sleep(4.0)


def lose_worker(cluster: JobCluster, name: WorkerId) -> None:
    """End a worker that does not come back by itself."""
    cluster.workers[name].crash()
    cluster.unregister_worker(name)


def start_wave(cluster: JobCluster, names: list[WorkerId]) -> None:
    """Request the maintenance of workers' machines, all at a time."""
    wave = WaveRequest(
        wave=WAVE,
        machines=tuple(MachineId(f"m-{name}") for name in names),
        duration=WAVE_SECONDS,
        max_concurrent=len(names),
    )
    cluster.write_wave(wave)
