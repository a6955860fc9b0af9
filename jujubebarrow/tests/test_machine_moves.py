"""Time from a shortage of machines to the orders that end it, in virtual time.

The tests guard against machines that reach a pool after its demand peak, because the
orders for them follow one another or because one plan lends too few.
"""

from asyncio import get_running_loop, sleep

from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, POOL, JobCluster
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

COMMIT_SECONDS = 0.008
"""Time of the platform's store for one transaction of a partition."""
ORDER_LIMIT_SECONDS = 0.6
NEEDED_COUNT = 30
SETTLE_SECONDS = 4.0
SEEDS = range(1, 5)

PEAK = StepSpec(count=280, needs=Resources(1000, 100), estimate=2.0)
BEHAVIOUR = TaskBehaviour(seconds=2.0)


class MachineMovesTest(JobCase):
    def measure_order_times(self, seed: int, lender_machines: int) -> list[float]:
        """Return the seconds from the shortage of the pool to each order, sorted."""
        shortage_at = 0.0

        async def scenario(cluster: JobCluster) -> None:
            nonlocal shortage_at
            cluster.store.commit_seconds = COMMIT_SECONDS
            await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
            # The seeds differ by the phase of the owners' periodic plans.
            await sleep(SETTLE_SECONDS + 0.06 * seed)
            await cluster.submit(1, (PEAK,), behaviour=BEHAVIOUR)
            shortage_at = get_running_loop().time()
            await sleep(4.0)

        cluster = self.run_scenario(
            scenario, seed=seed, workers=4, others=lender_machines
        )
        return sorted(
            line["at"] - shortage_at
            for log in cluster.logs
            for line in log.lines
            if line["event"] == "machine_moved"
            and line["target"] == POOL
            and line["answer"] == "done"
        )

    def check_orders(self, lender_machines: int) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                times = self.measure_order_times(seed, lender_machines)
                self.assertGreaterEqual(len(times), NEEDED_COUNT)
                self.assertLess(times[NEEDED_COUNT - 1], ORDER_LIMIT_SECONDS)

    def test_idle_machines_are_ordered_before_the_peak_is_over(self) -> None:
        self.check_orders(lender_machines=40)

    def test_orders_of_one_plan_do_not_wait_for_one_another(self) -> None:
        # Half of this pool is as much as needed, so that one plan lends all machines.
        self.check_orders(lender_machines=60)
