"""Tasks with a late start on a worker whose machine has been moved.

The tests guard against tasks that wait for a worker which can't execute anything any
more, although the order that has ended the worker is known.
"""

from asyncio import get_running_loop, sleep
from dataclasses import replace

from jujubebarrow.identifiers import JobId
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, JobCluster
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SETTLE_SECONDS = 4.0
EVEN_SECONDS = 20.0
"""Time in which a peak ends and its machines are spread evenly again."""
LATE_SECONDS = 1.0
RESTART_LIMIT_SECONDS = 2.0
"""Time from the order for a machine to the next start of a task of its worker."""
MOVE_SECONDS = 0.5
"""Time in which the machines are moved."""
WATCH_SECONDS = 12.0
PEAK = StepSpec(count=120, needs=Resources(1000, 100), estimate=2.0)
PEAK_BEHAVIOUR = TaskBehaviour(seconds=2.0)
TASKS = StepSpec(needs=Resources(1000, 100), most_per_worker=1, estimate=1.0)
SEEDS = range(1, 4)


def find_late_starts(cluster: JobCluster, job: JobId) -> list[tuple[str, str]]:
    """Return the tasks of a job that wait for a worker, each with the worker."""
    return [
        (line["task"], line["worker"])
        for log in cluster.logs
        for line in log.lines
        if line["event"] == "late_start_possible" and line["task"].startswith(job)
    ]


def measure_wait(cluster: JobCluster, task: str, since: float) -> float:
    """Return the seconds from a time until the next start of a task, or until now."""
    starts = [run.started_at for run in cluster.list_runs() if str(run.task) == task]
    later = [start for start in starts if start > since]
    return min(later, default=get_running_loop().time()) - since


class EndedWorkerTest(JobCase):
    def measure_waits(
        self, seed: int, tasks: StepSpec, behaviour: TaskBehaviour
    ) -> dict[str, float]:
        """Move machines whose workers have late starts of tasks that are not done.

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
            if tasks.long_running:
                # Machines with long-running tasks are not moved.
                others = replace(tasks, count=len(lenders) - 1)
                await cluster.submit(5, (others,), behaviour=behaviour, route=route)
                await sleep(LATE_SECONDS)
            for worker in lenders:
                worker.late_order_probability = 1.0
            step = replace(tasks, count=1 if tasks.long_running else len(lenders))
            job = await cluster.submit(2, (step,), behaviour=behaviour, route=route)
            await sleep(LATE_SECONDS)
            await cluster.wait_for(
                lambda: len(find_late_starts(cluster, job)) >= step.count / 2,
                WATCH_SECONDS,
            )
            for worker in lenders:
                worker.late_order_probability = 0.0
            await cluster.submit(3, (PEAK,), behaviour=PEAK_BEHAVIOUR)
            await sleep(MOVE_SECONDS)
            for number in range(len(lenders)):
                # Has room for a task, whatever the other workers may start late.
                cluster.add_worker(WorkerId(f"x{number}"), OTHER_POOL)
            await sleep(WATCH_SECONDS)
            lines = [line for log in cluster.logs for line in log.lines]
            moved_at = {
                line["worker"]: line["at"]
                for line in lines
                if line["event"] == "machine_moved" and line["answer"] == "done"
            }
            for task, worker in find_late_starts(cluster, job):
                if worker in moved_at:
                    waits[task] = measure_wait(cluster, task, moved_at[worker])

        self.run_scenario(
            scenario, seed=seed, workers=2, others=10, has_other_queue=True
        )
        return waits

    def check_waits(self, tasks: StepSpec, behaviour: TaskBehaviour) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                waits = self.measure_waits(seed, tasks, behaviour)
                self.assertTrue(waits)
                self.assertLess(max(waits.values()), RESTART_LIMIT_SECONDS)

    def test_task_waits_for_no_worker_whose_machine_was_moved(self) -> None:
        self.check_waits(TASKS, TaskBehaviour(is_failing=True))

    def test_lasting_task_waits_for_no_worker_whose_machine_was_moved(self) -> None:
        lasting = replace(TASKS, long_running=True)
        self.check_waits(lasting, TaskBehaviour(is_long_running=True))
