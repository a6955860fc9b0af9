"""Tasks with a late start on a worker that a former owner of the pool has ended.

The test guards against a successor that waits for a worker which can't execute anything
any more, although its predecessor knew that.
"""

from asyncio import get_running_loop, sleep
from dataclasses import replace

from jujubebarrow.runtimes.lease_recorders import LATE_STARTS_MARGIN_SECONDS
from jujubebarrow.runtimes.order_senders import LATE_START_SECONDS
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, JobCluster
from jujubebarrow.tests.test_ended_workers import (
    EVEN_SECONDS,
    LATE_SECONDS,
    PEAK,
    PEAK_BEHAVIOUR,
    SEEDS,
    SETTLE_SECONDS,
    TASKS,
    WATCH_SECONDS,
    find_late_starts,
    measure_wait,
)
from jujubebarrow.workloads.identifiers import WorkerId

RECORD_SECONDS = 1.0
"""Time in which an owner stores what a successor has to wait for."""
SUCCESSOR_SECONDS = 30.0
"""Time in which a successor starts all tasks, late starts or not."""
RESTART_SECONDS = 1.0
"""Time in which a task that need not wait any more is planned and started."""
WAIT_LIMIT_SECONDS = LATE_START_SECONDS + LATE_STARTS_MARGIN_SECONDS + RESTART_SECONDS
"""Time until no present worker can execute any start of the killed owner."""


def _find_ends(cluster: JobCluster, since: float) -> dict[WorkerId, float]:
    """Return the workers that are known to have ended after a time, with the times."""
    return {
        line["worker"]: line["at"]
        for log in cluster.logs
        for line in log.lines
        if line["event"] == "worker_ended" and line["at"] >= since
    }


class EndedWorkerTakeoverTest(JobCase):
    def test_successor_waits_for_no_worker_whose_machine_was_moved(self) -> None:
        """Guards against an end that only the owner which ordered it knows."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                waits = self._measure_waits(seed)
                self.assertTrue(waits)
                self.assertLess(max(waits.values()), WAIT_LIMIT_SECONDS)

    def _measure_waits(self, seed: int) -> dict[str, float]:
        """Kill the owner some time after its orders have ended workers.

        Returns:
            Seconds from the move of its worker's machine to the next start of a task.
        """
        waits: dict[str, float] = {}

        async def scenario(cluster: JobCluster) -> None:
            cluster.machines.renames_workers = True
            await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
            await sleep(SETTLE_SECONDS)
            [route] = cluster.other_routes
            # Shows that workers get another id.
            await cluster.submit(1, (PEAK,), behaviour=PEAK_BEHAVIOUR)
            await cluster.submit(4, route=route)
            await sleep(EVEN_SECONDS)
            lenders = [
                worker
                for worker in cluster.workers.values()
                if worker.pool == OTHER_POOL and worker.is_up
            ]
            for worker in lenders:
                worker.late_order_probability = 1.0
            step = replace(TASKS, count=len(lenders))
            behaviour = TaskBehaviour(is_failing=True)
            job = await cluster.submit(2, (step,), behaviour=behaviour, route=route)
            await sleep(LATE_SECONDS)
            await cluster.wait_for(
                lambda: len(find_late_starts(cluster, job)) >= step.count / 2,
                WATCH_SECONDS,
            )
            for worker in lenders:
                worker.late_order_probability = 0.0
            start = get_running_loop().time()
            await cluster.submit(3, (PEAK,), behaviour=PEAK_BEHAVIOUR)
            await cluster.wait_for(lambda: _find_ends(cluster, start), WATCH_SECONDS)
            await sleep(RECORD_SECONDS)
            owner = cluster.find_owner(OTHER_POOL)
            assert owner is not None
            killed_at = get_running_loop().time()
            await owner.kill()
            for number in range(len(lenders)):
                # Has room for a task, whatever the other workers may start late.
                cluster.add_worker(WorkerId(f"x{number}"), OTHER_POOL)
            await sleep(SUCCESSOR_SECONDS)
            ends = _find_ends(cluster, start)
            for task, worker in find_late_starts(cluster, job):
                # The task waited for its former worker only, which has ended.
                if ends.get(worker, killed_at) < killed_at:
                    wait = measure_wait(cluster, task, ends[worker])
                    if ends[worker] + wait > killed_at:
                        waits[task] = wait

        self.run_scenario(
            scenario, seed=seed, workers=2, others=10, has_other_queue=True, instances=4
        )
        return waits
