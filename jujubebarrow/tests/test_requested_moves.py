"""Tests of the machines that pools request for their waiting steps."""

import unittest
from typing import Any
from unittest.mock import patch

from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.coordinators.job_demands import JobDemand
from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.identifiers import JobId, PoolId, QueueId, TeamId, ZoneId
from jujubebarrow.placements.drain_limits import StepKind
from jujubebarrow.placements.job_orders import JobOrder
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.pools.request_planners import plan_requested_moves
from jujubebarrow.pools.surplus_planners import plan_moves
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.worker_reports import WorkerEntry, WorkerState

LABEL = "b"
LARGE_COUNT = 200
"""Workers, and jobs of each kind, of a large pool at its demand peak."""


class RequestedMoveTest(unittest.TestCase):
    def test_running_pool_lends_before_a_standby_pool(self) -> None:
        loads = make_loads(
            make_load("short", requested_labels=(LABEL,)),
            make_load("idle", offered_labels=(LABEL,)),
            make_load("off", is_standby=True, offered_labels=(LABEL,)),
        )
        self.assertEqual(plan_requested_moves(loads, {}), [("idle", "short", LABEL)])

    def test_pool_that_needs_its_machines_lends_none(self) -> None:
        loads = make_loads(
            make_load("short", requested_labels=("", LABEL)),
            make_load("busy", demand=30000, offered_labels=(LABEL,)),
            make_load("late", backlog=30000, offered_labels=(LABEL,)),
            make_load("peak", recent_demand=30000, offered_labels=(LABEL,)),
            make_load("one", machines=1, capacity=8000, offered_labels=(LABEL,)),
        )
        self.assertEqual(plan_requested_moves(loads, {}), [])

    def test_machines_that_move_already_are_not_requested_again(self) -> None:
        loads = make_loads(
            make_load("short", machines=2, capacity=16000, requested_labels=("", "")),
            make_load("idle", machines=6, capacity=48000, movable=6),
        )
        self.assertEqual(plan_requested_moves(loads, {}), [("idle", "short", "")] * 2)
        self.assertEqual(
            plan_requested_moves(loads, {PoolId("short"): 1}), [("idle", "short", "")]
        )

    def test_machines_planned_for_another_pool_are_not_lent_twice(self) -> None:
        loads = make_loads(
            make_load("short", requested_labels=("", "")),
            make_load("idle", machines=3, capacity=24000, movable=3),
        )
        self.assertEqual(
            plan_requested_moves(loads, {}, [PoolId("idle")]), [("idle", "short", "")]
        )

    def test_pools_that_lack_machines_do_not_swap_them(self) -> None:
        """Guards against machines that two gangs send to each other's pool for good."""
        loads = make_loads(
            make_load("a", requested_labels=("",)),
            make_load("b", requested_labels=("",)),
        )
        self.assertEqual(plan_requested_moves(loads, {}), [("b", "a", "")])

    def test_gang_larger_than_the_fleet_draws_no_machines(self) -> None:
        loads = make_loads(
            make_load("short", requested_labels=("",) * 4),
            make_load("idle"),
        )
        self.assertEqual(plan_requested_moves(loads, {}), [])

    def test_machines_of_a_waiting_gang_are_not_evened_out(self) -> None:
        """Guards against machines that go back while a gang waits for the last one."""
        waiting = make_load(
            "waiting", machines=7, capacity=56000, movable=7, requested_labels=("",)
        )
        rest = make_load("rest", machines=1, capacity=8000, movable=1)
        self.assertEqual(plan_moves(make_loads(waiting, rest), {}), [])

    def test_stored_load_keeps_its_labels(self) -> None:
        load = make_load("a", requested_labels=("", LABEL), offered_labels=("c",))
        document = load.to_document()
        self.assertEqual(PoolLoad.from_document(load.pool, document), load)


class LackingWorkerTest(unittest.TestCase):
    def setUp(self) -> None:
        options = CoordinatorOptions(
            lease=6.0,
            longest_lease=6.0,
            accepted_lease=6.0,
            superseded_renewal=2.0,
            stop_grace=0.2,
            early_start=0.1,
        )
        self.state = PoolState(PoolId("labels"), FenceToken(1), options, 0.0)
        self.demand = JobDemand(self.state, JobOrder())

    def test_gang_lacks_the_workers_over_which_it_has_to_spread(self) -> None:
        self._add_workers(2)
        self._add_job(
            StepSpec(count=7, needs=Resources(100, 100), gang=True, most_per_worker=2)
        )
        self.assertEqual(self.demand.count_lacking_workers(), {"": 2})

    def test_step_lacks_one_worker_with_its_label(self) -> None:
        self._add_workers(2)
        self._add_job(StepSpec(count=7, needs=Resources(100, 100), label="c"))
        self._add_job(StepSpec(count=7, needs=Resources(100, 100), label=LABEL))
        self.assertEqual(self.demand.count_lacking_workers(), {"c": 1})

    def test_measure_looks_at_few_workers_for_each_job(self) -> None:
        """Guards against a measure whose work is that of all jobs times all workers."""
        self._add_workers(LARGE_COUNT)
        for number in range(LARGE_COUNT):
            for label in ("", LABEL):
                needs = Resources(100 + number, 100)
                self._add_job(StepSpec(count=4, needs=needs, gang=True, label=label))
        looks = 0
        count_places = StepKind.count_places

        def count(kind: StepKind, worker: WorkerView) -> int:
            nonlocal looks
            looks += 1
            return count_places(kind, worker)

        with patch.object(StepKind, "count_places", count):
            self.assertEqual(self.demand.count_lacking_workers(), {})
        self.assertLess(looks, LARGE_COUNT)

    def _add_workers(self, count: int) -> None:
        for number in range(count):
            worker = self.state.ensure_worker(WorkerId(f"w{number}"))
            worker.entry = WorkerEntry(
                worker=worker.worker,
                started_at_ms=1,
                pool=self.state.pool,
                address="",
                zone=ZoneId("z"),
                labels=(LABEL, "r1"),
                state=WorkerState.READY,
                capacity=Resources(32000, 65536),
            )

    def _add_job(self, step: StepSpec) -> None:
        record = JobRecord(
            job=JobId(f"{len(self.state.jobs):016x}"),
            queue=QueueId("print"),
            pool=self.state.pool,
            team=TeamId("a"),
            accepted=0.0,
            payload="",
            steps=(step,),
            target=0.6,
            stretch=1.6,
        )
        job = JobProgress(record, 0.0)
        job.open_due_occurrences(0.0, 0.1)
        self.state.add_job(job)


def make_load(name: str, **fields: Any) -> PoolLoad:
    defaults = {"demand": 0, "capacity": 32000, "machines": 4, "movable": 4}
    return PoolLoad(pool=PoolId(name), **(defaults | fields))


def make_loads(*loads: PoolLoad) -> dict[PoolId, PoolLoad]:
    return {load.pool: load for load in loads}
