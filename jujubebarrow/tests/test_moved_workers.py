"""Machines that are moved after a start to their worker got no response.

The tests guard against a start that the machine's next worker executes in another pool,
and against machines that stay with their pool although no worker can execute the start.
"""

import unittest
from asyncio import sleep

from jujubebarrow.gateways.machine_controls import Machine, MachineState
from jujubebarrow.identifiers import PoolId, ZoneId
from jujubebarrow.runtimes.order_senders import LATE_START_SECONDS
from jujubebarrow.runtimes.worker_id_observers import (
    REMEMBERED_WORKERS_COUNT,
    WorkerIdObserver,
)
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, POOL, JobCluster
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.worker_reports import WorkerEntry, WorkerState

SETTLE_SECONDS = 4.0
POLL_SECONDS = 0.1
PEAK = StepSpec(count=120, needs=Resources(1000, 100), estimate=2.0)
TASK = StepSpec(count=6, needs=Resources(1000, 100), estimate=2.0)
SEEDS = range(1, 6)


def make_machine(
    pool: PoolId, worker: str, state: MachineState = MachineState.UP
) -> Machine:
    return Machine(
        machine=MachineId("m"),
        pool=pool,
        state=state,
        zone=ZoneId("z"),
        labels=(),
        worker=WorkerId(worker),
    )


class MovedWorkerTest(JobCase):
    def run_moves(
        self, seed: int, has_late_starts: bool, shows_other_move: bool = False
    ) -> JobCluster:
        """Cancel a job with unacknowledged starts while another pool needs machines.

        Args:
            seed: Seed of the cluster.
            has_late_starts: Whether starts are executed late.
            shows_other_move: Whether the lists show another machine in another pool
                with another worker than before.
        """

        async def scenario(cluster: JobCluster) -> None:
            if shows_other_move:
                cluster.machines.other_machines = [make_machine(OTHER_POOL, "x1")]
            await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
            await sleep(SETTLE_SECONDS)
            if shows_other_move:
                cluster.machines.other_machines = [make_machine(POOL, "x2")]
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

    def test_move_of_a_worker_that_may_have_restarted_before_proves_nothing(
        self,
    ) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.run_moves(
                    seed, has_late_starts=True, shows_other_move=True
                )
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
        self.observer.observe([make_machine(pool, worker, state)])

    def record_move(self, worker: str, pool: PoolId) -> None:
        self.observer.record_move(MachineId("m"), WorkerId(worker), pool)

    def register(self, worker: str, started_at_ms: int) -> None:
        entry = WorkerEntry(
            worker=WorkerId(worker),
            started_at_ms=started_at_ms,
            pool=POOL,
            address=worker,
            zone=ZoneId("z"),
            state=WorkerState.READY,
            remaining=0.0,
            capacity=Resources(1000, 100),
            labels=(),
        )
        self.observer.observe_registration(entry)

    def test_worker_may_keep_its_id_until_a_move_has_been_seen(self) -> None:
        self.observe(POOL, "a")
        self.observe(POOL, "b")
        self.assertTrue(self.observer.may_keep_id)
        self.assertFalse(self.observer.is_decided)

    def test_worker_with_another_id_after_a_move_executes_no_former_start(self) -> None:
        self.observe(POOL, "a")
        self.record_move("a", OTHER_POOL)
        self.observe(OTHER_POOL, "b")
        self.assertFalse(self.observer.may_keep_id)

    def test_worker_of_a_list_before_the_move_may_have_restarted_meanwhile(
        self,
    ) -> None:
        self.observe(POOL, "a")
        self.observe(OTHER_POOL, "b")
        self.assertTrue(self.observer.may_keep_id)
        self.assertFalse(self.observer.is_decided)

    def test_worker_that_was_replaced_before_its_recorded_move_proves_nothing(
        self,
    ) -> None:
        self.observe(POOL, "a")
        self.record_move("a", OTHER_POOL)
        self.observe(POOL, "b")
        self.observe(OTHER_POOL, "c")
        self.assertFalse(self.observer.is_decided)

    def test_later_claim_without_a_known_worker_proves_nothing(self) -> None:
        self.observe(POOL, "a")
        self.record_move("a", OTHER_POOL)
        self.record_move("", OTHER_POOL)
        self.observe(OTHER_POOL, "b")
        self.assertFalse(self.observer.is_decided)

    def test_move_to_a_third_pool_proves_nothing(self) -> None:
        self.observe(POOL, "a")
        self.record_move("a", OTHER_POOL)
        self.observe(PoolId("third"), "b")
        self.assertTrue(self.observer.may_keep_id)

    def test_worker_that_restarts_under_its_id_may_keep_it_in_a_move(self) -> None:
        self.observe(POOL, "a")
        self.record_move("a", OTHER_POOL)
        self.observe(OTHER_POOL, "b")
        self.register("c", 1)
        self.register("c", 1)
        self.assertFalse(self.observer.may_keep_id)
        self.register("c", 2)
        self.assertTrue(self.observer.may_keep_id)

    def test_remembered_workers_are_limited(self) -> None:
        self.register("a", 1)
        for number in range(REMEMBERED_WORKERS_COUNT):
            self.register(f"w{number}", 1)
        self.register("a", 2)
        self.assertFalse(self.observer.is_decided)

    def test_machine_on_the_move_shows_nothing(self) -> None:
        self.observe(POOL, "a")
        self.record_move("a", OTHER_POOL)
        self.observe(OTHER_POOL, "a", MachineState.MOVING)
        self.observe(OTHER_POOL, "")
        self.assertFalse(self.observer.is_decided)
        self.observe(OTHER_POOL, "b")
        self.assertFalse(self.observer.may_keep_id)

    def test_worker_that_has_kept_its_id_once_may_keep_it_again(self) -> None:
        self.observe(POOL, "a")
        self.observe(OTHER_POOL, "a")
        self.record_move("a", POOL)
        self.observe(POOL, "b")
        self.assertTrue(self.observer.may_keep_id)
