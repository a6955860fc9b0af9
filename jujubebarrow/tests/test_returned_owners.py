"""Tasks on a worker that a former owner reaches and its successor does not.

The successor starts the tasks elsewhere once the leases that the former owner may have
renewed are over. The tests guard against a former owner that renews them later, and
against a successor that counts them as over too early.
"""

from asyncio import sleep

from jujubebarrow.runtimes.order_senders import LATE_START_SECONDS
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import Instance, JobCluster
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

NEEDS = Resources(1000, 500)
SHARED_WORKER = WorkerId("w0")
OTHER_WORKER = WorkerId("w1")
TASK_SECONDS = 60.0
OBSERVED_SECONDS = 13.0 + LATE_START_SECONDS
"""Time from the cut in which the successor starts the tasks elsewhere."""
SLOWEST_CLOCK_RATE = 0.98
CUT_TENTHS = range(50, 80, 2)
"""Times for which the owner is cut off from the store, in tenths of a second."""
MEND_SECONDS = (10.8, 11.0, 11.2)
"""Times from the cut at which the successor reaches the worker, about when leases end
that no late order of the former owner has extended."""
SUBMISSION_DELAY_SECONDS = 1.5


def set_store_cut(instance: Instance, is_cut: bool) -> None:
    instance.store.is_disconnected = instance.is_isolated = is_cut


async def submit_tasks(cluster: JobCluster, instance: int, count: int) -> None:
    for number in range(1, count + 1):
        is_long_running = number % 2 == 0
        step = StepSpec(count=1, needs=NEEDS, long_running=is_long_running)
        behaviour = TaskBehaviour(TASK_SECONDS, is_long_running)
        await cluster.submit(number, (step,), instance, behaviour)


async def occupy_shared_worker(cluster: JobCluster) -> tuple[Instance, Instance]:
    """Run tasks on one worker, then add an idle one; return owner and successor."""
    owner = cluster.find_owner()
    assert owner is not None
    index = cluster.instances.index(owner)
    cluster.unregister_worker(OTHER_WORKER)
    await sleep(1.0)
    await submit_tasks(cluster, index, 8)
    await sleep(1.0)
    cluster.register_worker(OTHER_WORKER)
    await sleep(3.0)
    return owner, cluster.instances[1 - index]


class ReturnedOwnerTest(JobCase):
    def test_returned_owner_prolongs_no_run_that_its_successor_gives_up(self) -> None:
        for tenths in CUT_TENTHS:
            with self.subTest(tenths=tenths):
                cluster = self._run_return(tenths / 10, OBSERVED_SECONDS, 0)
                self.assertEqual(max(cluster.count_starts().values()), 2)

    def test_returned_owner_leaves_no_run_on_a_worker_that_counts_as_free(self) -> None:
        late = tuple(seconds + LATE_START_SECONDS for seconds in MEND_SECONDS)
        for tenths in CUT_TENTHS:
            for mend_seconds in (*MEND_SECONDS, *late):
                with self.subTest(tenths=tenths, mend_seconds=mend_seconds):
                    self._run_return(tenths / 10, mend_seconds, 16)

    def _run_return(
        self, cut_seconds: float, mend_seconds: float, task_count: int
    ) -> JobCluster:
        async def scenario(cluster: JobCluster) -> None:
            owner, successor = await occupy_shared_worker(cluster)
            successor.gateway.unreachable.add(SHARED_WORKER)
            set_store_cut(owner, True)
            await sleep(cut_seconds)
            set_store_cut(owner, False)
            await sleep(SUBMISSION_DELAY_SECONDS)
            await self._submit_more(cluster, successor, task_count)
            await sleep(mend_seconds - SUBMISSION_DELAY_SECONDS - cut_seconds)
            successor.gateway.unreachable.discard(SHARED_WORKER)
            await sleep(OBSERVED_SECONDS - mend_seconds)

        return self.run_scenario(scenario, instances=2, workers=2)

    async def _submit_more(
        self, cluster: JobCluster, instance: Instance, count: int
    ) -> None:
        step = StepSpec(count=1, needs=NEEDS)
        behaviour = TaskBehaviour(4.0)
        index = cluster.instances.index(instance)
        for number in range(100, 100 + count):
            await cluster.submit(number, (step,), index, behaviour)


class EarlySuccessorTest(JobCase):
    def test_started_instance_waits_for_the_last_lease_of_the_owner(self) -> None:
        for tenths in range(8):
            for phase in range(5):
                with self.subTest(tenths=tenths, phase=phase):
                    cluster = self._run_start(tenths / 10, phase / 10)
                    self.assertEqual(max(cluster.count_starts().values()), 2)

    def _run_start(self, start_seconds: float, phase_seconds: float) -> JobCluster:
        async def scenario(cluster: JobCluster) -> None:
            for worker in cluster.workers.values():
                worker.clock_rate = SLOWEST_CLOCK_RATE
            owner, successor = await occupy_shared_worker(cluster)
            await successor.kill()
            await sleep(2.0 + phase_seconds)
            set_store_cut(owner, True)
            await sleep(start_seconds)
            await successor.start()
            successor.gateway.unreachable.add(SHARED_WORKER)
            await sleep(OBSERVED_SECONDS)

        return self.run_scenario(scenario, instances=2, workers=2)
