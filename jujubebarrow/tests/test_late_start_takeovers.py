"""Starts without a response on workers that are gone, under one owner after another.

The test guards against a task that each new owner lets wait anew, although nobody can
execute its former start any more.
"""

from asyncio import get_running_loop, sleep

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.worker_views import CLOCK_RATE
from jujubebarrow.identifiers import JobId
from jujubebarrow.runtimes.lease_recorders import LATE_STARTS_MARGIN_SECONDS
from jujubebarrow.runtimes.order_senders import LATE_START_SECONDS
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import LEASE_SECONDS, POOL, JobCluster
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

STEP = StepSpec(needs=Resources(1000, 500))
WARM_UP = StepSpec(count=4, needs=Resources(1000, 500), most_per_worker=1)
CUT_SECONDS = 6.0
TAKEOVER_COUNT = 6
START_SECONDS = 1.0
"""Time in which a task that need not wait any more is planned and started."""
RENEWAL_SECONDS = 2.0
"""Time for which a superseded owner renews leases."""
WAIT_LIMIT_SECONDS = (
    LATE_START_SECONDS
    + LATE_STARTS_MARGIN_SECONDS
    + RENEWAL_SECONDS
    + LATE_START_SECONDS
    + LEASE_SECONDS / CLOCK_RATE
    + START_SECONDS
)
"""Time until neither the start nor a renewal can be executed, and its run has ended."""


def _set_unreachable(cluster: JobCluster, names: set[WorkerId]) -> None:
    for instance in cluster.instances:
        instance.gateway.unreachable = set(names)


def _find_run(cluster: JobCluster, job: JobId) -> ActiveRun:
    owner = cluster.find_owner()
    assert owner is not None and owner.node is not None
    pool_owner = owner.node.find_owner(POOL)
    assert pool_owner is not None
    return next(iter(pool_owner.coordinator.state.jobs[job].active_runs()))


async def _submit_to_unreachable_worker(cluster: JobCluster) -> ActiveRun:
    """Return a run whose start gets no response; only its worker stays unreachable."""
    await sleep(2.0)
    # No start is sent to a worker that has not responded shortly before.
    await cluster.submit(2, (WARM_UP,), behaviour=TaskBehaviour(seconds=0.3))
    await sleep(0.5)
    _set_unreachable(cluster, set(cluster.workers))
    job = await cluster.submit(1, (STEP,))
    await sleep(0.3)
    run = _find_run(cluster, job)
    assert run.is_start_sent
    _set_unreachable(cluster, {run.worker})
    return run


async def _replace_owner(cluster: JobCluster) -> None:
    owner = cluster.find_owner()
    if owner is not None:
        await owner.kill()
        await sleep(0.5)
        await owner.start()
    await cluster.wait_for(lambda: cluster.find_owner() is not None, 10.0)


class LateStartTakeoverTest(JobCase):
    def _find_wait(self, gone_seconds: float, owner_seconds: float) -> float:
        """Return how long a task waits whose start got no response.

        The worker responds once more, without the run, and then leaves.

        Args:
            gone_seconds: Time until the owner is replaced for the first time.
            owner_seconds: Time after which each further owner is replaced.
        """
        waits = []

        async def scenario(cluster: JobCluster) -> None:
            run = await _submit_to_unreachable_worker(cluster)
            sent_at = get_running_loop().time()
            await sleep(1.0)
            cluster.unregister_worker(run.worker)
            await sleep(CUT_SECONDS)
            cluster.register_worker(run.worker)
            _set_unreachable(cluster, set())
            await sleep(1.0)
            cluster.workers[run.worker].crash()
            cluster.unregister_worker(run.worker)
            await sleep(gone_seconds)

            def is_started() -> bool:
                runs = [each for each in cluster.list_runs() if each.task == run.task]
                return any(each.run > run.run for each in runs)

            for _ in range(TAKEOVER_COUNT):
                await _replace_owner(cluster)
                if await cluster.wait_for(is_started, owner_seconds):
                    break
            await cluster.wait_for(is_started, 40.0)
            waits.append(get_running_loop().time() - sent_at)

        self.run_scenario(scenario, workers=4, instances=4)
        return waits[0]

    def test_takeovers_do_not_prolong_the_wait_for_a_gone_worker(self) -> None:
        for gone_seconds in (0.2, 2.0, 5.0):
            for owner_seconds in (5.0, 9.0):
                with self.subTest(gone=gone_seconds, owner=owner_seconds):
                    wait = self._find_wait(gone_seconds, owner_seconds)
                    self.assertLess(wait, WAIT_LIMIT_SECONDS)
