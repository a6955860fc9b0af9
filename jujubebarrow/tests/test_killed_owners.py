"""Starts of killed owners that workers execute after the end of their run.

The tests guard against a task that is executed again after its end was acknowledged,
since the next owner does not know of a start that the killed one had repeated.
"""

from asyncio import get_running_loop, sleep
from unittest.mock import patch

from jujubebarrow.standins import emulated_gateways
from jujubebarrow.standins.emulated_workers import EmulatedWorker, TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

NEEDS = Resources(1000, 500)
LATE_SECONDS = 12.0
"""Time after which the worker executes the start that got no response."""
KILL_DELAYS_SECONDS = (0.0, 0.05, 0.1, 0.15, 0.2)
"""Times from the execution of the repeated start to the loss of the owner."""


class LateFirstOrder:
    """Lets the first order to a worker be executed late, and no other one.

    Attributes:
        sent_at: Time in seconds at which that order reached the worker; 0 before that.
    """

    def __init__(self, worker: EmulatedWorker):
        self.sent_at = 0.0
        worker.draw_order_fault = self._draw  # type: ignore[method-assign]

    def _draw(self) -> str:
        if self.sent_at:
            return ""
        self.sent_at = get_running_loop().time()
        return "late"


class KilledOwnerTest(JobCase):
    def check_repeated_start(self, kill_delay: float) -> None:
        async def scenario(cluster: JobCluster) -> None:
            worker = cluster.workers[WorkerId("w0")]
            late = LateFirstOrder(worker)
            step = StepSpec(count=1, needs=NEEDS, estimate=1.0)
            await cluster.submit(1, (step,), behaviour=TaskBehaviour(seconds=4.0))
            while not worker.running:
                await sleep(0.001)
            await sleep(kill_delay)
            owner = cluster.find_owner()
            assert owner is not None
            await owner.kill()
            end = late.sent_at + LATE_SECONDS
            await sleep(end - 0.1 - get_running_loop().time())
            [run] = cluster.list_runs()
            self.assertIsNotNone(run.ended_at)
            worker.crash()
            await sleep(end - 0.001 - get_running_loop().time())
            worker.restart(worker.capacity, worker.labels, worker.pool)
            await sleep(0.5)
            self.assertEqual(len(cluster.list_runs()), 2)
            self.assertEqual(cluster.find_violations(), [])

        late_range = (LATE_SECONDS, LATE_SECONDS)
        with patch.object(
            emulated_gateways, "LATE_EXECUTION_RANGE_SECONDS", late_range
        ):
            self.run_scenario(scenario, workers=1)

    def test_next_owner_knows_of_the_start_that_was_repeated(self) -> None:
        for kill_delay in KILL_DELAYS_SECONDS:
            with self.subTest(kill_delay=kill_delay):
                self.check_repeated_start(kill_delay)
