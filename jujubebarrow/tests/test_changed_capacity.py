"""Workers whose capacity shrinks and grows again while they run."""

import unittest
from asyncio import sleep
from collections.abc import Callable
from dataclasses import replace

from jujubebarrow.coordinators.active_runs import RunStage
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.standins.emulated_workers import EmulatedWorker, TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import CAPACITY, JobCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.tests.test_planning_work import make_full_pool, make_record
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources
from jujubebarrow.workloads.step_specs import StepSpec

SMALL = Resources(1000, 500)
ANNOUNCEMENT_SECONDS = 0.1
"""Time from the registration of a capacity to its use by the owner."""


def set_capacity(
    cluster: JobCluster, worker: EmulatedWorker, capacity: Resources
) -> None:
    worker.capacity = capacity
    cluster.register_worker(worker.worker)


class ChangedCapacityTest(JobCase):
    def test_no_start_exceeds_a_reduced_capacity(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            worker = cluster.workers[WorkerId("w0")]
            most = 0
            for number in range(30):
                await cluster.submit(
                    number,
                    (StepSpec(count=4, needs=SMALL),),
                    behaviour=TaskBehaviour(seconds=1.5),
                )
                if number == 5:
                    set_capacity(cluster, worker, Resources(2000, 16000))
                    reduced_at = cluster.instances[0].clock.monotonic()
                await sleep(0.2)
            for run in worker.run_history:
                if run.started_at < reduced_at + ANNOUNCEMENT_SECONDS:
                    continue
                beside = [
                    other
                    for other in worker.run_history
                    if other.started_at <= run.started_at
                    and (other.ended_at is None or other.ended_at > run.started_at)
                ]
                most = max(most, len(beside))
            self.assertEqual(most, 2)
            set_capacity(cluster, worker, CAPACITY)

        for seed in range(1, 6):
            self.run_scenario(scenario, seed=seed, workers=2)

    def test_grown_capacity_is_used_at_once(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            worker = cluster.workers[WorkerId("w0")]
            set_capacity(cluster, worker, NO_RESOURCES)
            await sleep(0.5)
            await cluster.submit(
                1,
                (StepSpec(count=8, needs=SMALL),),
                behaviour=TaskBehaviour(seconds=5.0),
            )
            await sleep(0.5)
            self.assertEqual(worker.running, [])
            set_capacity(cluster, worker, CAPACITY)
            await sleep(ANNOUNCEMENT_SECONDS + 0.1)
            self.assertEqual(len(worker.running), 8)

        self.run_scenario(scenario, workers=1)


class ReducedWorkerTest(unittest.TestCase):
    def _check(self, check: Callable[[PoolCoordinator], None]) -> None:
        async def main() -> None:
            check(make_full_pool(2))

        run_virtual(main())

    def test_start_that_was_not_sent_before_the_reduction_is_not_sent(self) -> None:
        def check(coordinator: PoolCoordinator) -> None:
            run = next(iter(coordinator.state.workers[WorkerId("w0")].runs.values()))
            run.stage = RunStage.RECORDED
            reduce_worker(coordinator, Resources(16000, 65536))
            self.assertIsNone(coordinator.orders.make_start(run, 0.3))
            self.assertFalse(coordinator.orders.is_active(run))

        self._check(check)

    def test_start_that_still_fits_after_the_reduction_is_sent(self) -> None:
        def check(coordinator: PoolCoordinator) -> None:
            worker = coordinator.state.workers[WorkerId("w0")]
            runs = list(worker.runs.values())
            for run in runs:
                run.stage = RunStage.RECORDED
            reduce_worker(coordinator, Resources(16000, 65536))
            sent = [coordinator.orders.make_start(run, 0.3) for run in runs]
            self.assertEqual(sum(order is not None for order in sent), 5)

        self._check(check)

    def test_reduced_worker_hides_no_room_of_another(self) -> None:
        def check(coordinator: PoolCoordinator) -> None:
            reduce_worker(coordinator, NO_RESOURCES)
            free_worker = coordinator.state.workers[WorkerId("w1")]
            for run in list(free_worker.runs.values()):
                job = coordinator.state.jobs[run.task.job]
                task = job.find_task(run.task)
                assert task is not None
                coordinator.state.release_run(job, task, 0.2)
                job.record_done(run.task)
            coordinator.add_job(make_record(500, 10), None, 0.2)
            self.assertEqual(len(coordinator.plan(0.3, 0.3)), 10)
            self.assertGreaterEqual(coordinator.demand.count_demand(0.3), 0)

        self._check(check)


def reduce_worker(coordinator: PoolCoordinator, capacity: Resources) -> None:
    worker = coordinator.state.workers[WorkerId("w0")]
    assert worker.entry is not None
    entry = replace(worker.entry, capacity=capacity)
    coordinator.handle_registration(entry, 0.2)


if __name__ == "__main__":
    unittest.main()
