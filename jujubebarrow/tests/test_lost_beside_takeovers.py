"""Workers that are lost while the owner of their pool is killed.

The test guards against a long-running task that waits for a lease which nobody can have
renewed, as the process of the former owner is known to have ended.
"""

from asyncio import get_running_loop, sleep

from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SETTLE_SECONDS = 6.0
KILL_DELAYS_SECONDS = (0.0, 0.5, 1.0, 1.5, 2.0)
RESTART_SECONDS = 0.5
"""Time from the end of a killed process to its next start."""
ENTRY_EXPIRY_SECONDS = 4.0
"""Time after the loss of a worker in which its registration is removed."""
ABSENCE_SECONDS = 9.0
CALM_SECONDS = 7.0
WATCH_SECONDS = 30.0
LASTING = StepSpec(
    count=5, needs=Resources(1000, 500), long_running=True, most_per_worker=1
)


class LostBesideTakeoverTest(JobCase):
    def measure_excess(self, delay: float) -> float:
        """Lose a worker, and after some time the owner of its pool.

        Returns:
            Seconds from the time at which the absence of the worker's task counts to
            the next start of the task.
        """
        excess: list[float] = []

        async def scenario(cluster: JobCluster) -> None:
            await sleep(SETTLE_SECONDS)
            lasting = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (LASTING,), behaviour=lasting)
            await sleep(SETTLE_SECONDS)
            loop, owner = get_running_loop(), cluster.find_owner()
            assert owner is not None
            worker = next(w for w in cluster.workers.values() if w.running)
            lost_at = loop.time()
            worker.crash()
            loop.call_later(
                ENTRY_EXPIRY_SECONDS, cluster.unregister_worker, worker.worker
            )
            await sleep(delay)
            await owner.kill()
            await sleep(RESTART_SECONDS)
            await owner.start()
            counts_at = max(lost_at + ABSENCE_SECONDS, loop.time() + CALM_SECONDS)

            def runs_again() -> bool:
                workers = cluster.workers.values()
                return sum(len(each.running) for each in workers) == LASTING.count

            self.assertTrue(await cluster.wait_for(runs_again, WATCH_SECONDS))
            excess.append(loop.time() - counts_at)

        self.run_scenario(scenario, instances=3, workers=6)
        return excess[0]

    def test_task_of_a_lost_worker_runs_again_in_time_after_its_owner_was_killed(
        self,
    ) -> None:
        for delay in KILL_DELAYS_SECONDS:
            with self.subTest(delay=delay):
                self.assertLess(self.measure_excess(delay), 0.0)
