"""Machines that are moved after a start to their worker got no response.

The tests guard against a start that the machine's next worker executes in another pool,
and against machines that stay with their pool although no worker can execute the start.
"""

import unittest
from asyncio import sleep

from jujubebarrow.gateways.machine_controls import Machine, MachineState
from jujubebarrow.identifiers import PoolId, ZoneId
from jujubebarrow.runtimes.order_senders import LATE_START_SECONDS
from jujubebarrow.runtimes.worker_id_observers import WorkerIdObserver
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, POOL, JobCluster
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SETTLE_SECONDS = 4.0
POLL_SECONDS = 0.1
PEAK = StepSpec(count=120, needs=Resources(1000, 100), estimate=2.0)
TASK = StepSpec(count=6, needs=Resources(1000, 100), estimate=2.0)
SEEDS = range(1, 6)


class MovedWorkerTest(JobCase):
    def run_moves(self, seed: int, has_late_starts: bool) -> JobCluster:
        """Cancel a job with unacknowledged starts while another pool needs machines."""

        async def scenario(cluster: JobCluster) -> None:
            await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
            await sleep(SETTLE_SECONDS)
            [route] = cluster.other_routes
            lenders = [
                worker
                for worker in cluster.workers.values()
                if worker.pool == OTHER_POOL
            ]
            for worker in lenders:
                worker.late_order_probability = 0.5 if has_late_starts else 0.0
            job = await cluster.submit(1, (TASK,), route=route)
            await sleep(1.0)
            for worker in lenders:
                worker.late_order_probability = 0.0
            await cluster.cancel(job, 0, route)
            behaviour = TaskBehaviour(seconds=2.0)
            await cluster.submit(2, (PEAK,), behaviour=behaviour)
            for _ in range(round((LATE_START_SECONDS + 2.0) / POLL_SECONDS)):
                await sleep(POLL_SECONDS)
                for worker in lenders:
                    # The new owner does not reach the workers that have moved.
                    worker.late_renewal_probability = float(worker.pool == POOL)

        return self.run_scenario(
            scenario, seed=seed, workers=2, others=4, has_other_queue=True
        )

    def count_moves(self, cluster: JobCluster) -> int:
        return sum(target == POOL for _, _, target in cluster.machines.moves)

    def test_late_starts_are_executed_in_no_other_pool(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.run_moves(seed, has_late_starts=True)
                self.assertEqual(cluster.find_violations(), [])

    def test_machines_without_late_starts_are_moved(self) -> None:
        cluster = self.run_moves(1, has_late_starts=False)
        self.assertGreater(self.count_moves(cluster), 0)


class WorkerIdObserverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.observer = WorkerIdObserver()

    def observe(
        self, pool: PoolId, worker: str, state: MachineState = MachineState.UP
    ) -> None:
        machine = Machine(
            machine=MachineId("m"),
            pool=pool,
            state=state,
            zone=ZoneId("z"),
            labels=(),
            worker=WorkerId(worker),
        )
        self.observer.observe([machine])

    def test_worker_may_keep_its_id_until_a_move_has_been_seen(self) -> None:
        self.observe(POOL, "a")
        self.observe(POOL, "b")
        self.assertTrue(self.observer.may_keep_id)
        self.assertFalse(self.observer.is_decided)

    def test_worker_with_another_id_after_a_move_executes_no_former_start(self) -> None:
        self.observe(POOL, "a")
        self.observe(OTHER_POOL, "b")
        self.assertFalse(self.observer.may_keep_id)

    def test_machine_on_the_move_shows_nothing(self) -> None:
        self.observe(POOL, "a")
        self.observe(OTHER_POOL, "a", MachineState.MOVING)
        self.observe(OTHER_POOL, "")
        self.assertFalse(self.observer.is_decided)
        self.observe(OTHER_POOL, "b")
        self.assertFalse(self.observer.may_keep_id)

    def test_worker_that_has_kept_its_id_once_may_keep_it_again(self) -> None:
        self.observe(POOL, "a")
        self.observe(OTHER_POOL, "a")
        self.observe(POOL, "b")
        self.assertTrue(self.observer.may_keep_id)
