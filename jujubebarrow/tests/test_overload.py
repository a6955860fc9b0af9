"""Tests of job order, pool demand and machine moves under overload."""

import unittest
from collections import Counter
from dataclasses import replace
from random import Random

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.arrival_rates import ArrivalRate
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.coordinators.job_demands import JobDemand
from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.identifiers import JobId, PoolId, QueueId, TeamId, ZoneId
from jujubebarrow.placements.job_orders import JobOrder
from jujubebarrow.placements.placers import choose_worker
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.pools.surplus_planners import plan_moves
from jujubebarrow.workloads.identifiers import FenceToken, RunNumber, WorkerId
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import WorkerEntry, WorkerState

POOL_CORES = 60.0
"""Capacity of the simulated pool; the load requests about twice as many cores."""
DEMAND_PEAK_SECONDS = 4.0
TICK_SECONDS = 0.05


def make_job(number: int, random: Random, at: float) -> JobProgress:
    step = StepSpec(
        count=max(1, round(random.lognormvariate(1.6, 0.6))),
        needs=Resources(1800, 100),
        estimate=random.lognormvariate(-0.3, 0.4),
    )
    record = JobRecord(
        job=JobId(f"{number:016x}"),
        queue=QueueId("print"),
        pool=PoolId("labels"),
        team=TeamId("a"),
        accepted=at,
        payload="",
        steps=(step,),
        target=0.6,
        stretch=1.6,
    )
    progress = JobProgress(record, at)
    progress.open_due_occurrences(at, 0.0)
    return progress


class DemandPeak:
    """Simulates one demand peak on one pool, task by task.

    Args:
        seed: Seed of the random jobs.
        by_arrival: Whether jobs start in the order of their arrival instead of their
            rank.
    """

    def __init__(self, seed: int, by_arrival: bool):
        random = Random(seed)
        self.jobs = []
        at = 0.0
        while at < DEMAND_PEAK_SECONDS:
            self.jobs.append(make_job(len(self.jobs), random, at))
            at += random.expovariate(12.0)
        self.order = JobOrder()
        for job in self.jobs:
            self.order.record_job(job)
        self.by_arrival = by_arrival
        self.done_at: dict[str, float] = {}
        self.running: list[tuple[float, JobProgress]] = []

    def simulate(self) -> None:
        now = 0.0
        waiting = {id(job): job.record.steps[0].count for job in self.jobs}
        while now < 5 * DEMAND_PEAK_SECONDS:
            for end, job in [item for item in self.running if item[0] <= now]:
                self.running.remove((end, job))
                is_running = any(other is job for _, other in self.running)
                if not is_running and not waiting[id(job)]:
                    self.done_at[job.record.job] = now
            self._start_tasks(now, waiting)
            now += TICK_SECONDS

    def _start_tasks(self, now: float, waiting: dict[int, int]) -> None:
        arrived = [
            job for job in self.jobs if job.accepted_at <= now and waiting[id(job)]
        ]
        if self.by_arrival:
            arrived.sort(key=lambda job: job.accepted_at)
        else:
            arrived.sort(key=lambda job: self.order.rank(job, now))
        for job in arrived:
            step = job.record.steps[0]
            while waiting[id(job)]:
                used = sum(other.record.steps[0].needs.cpu for _, other in self.running)
                if used + step.needs.cpu > POOL_CORES * 1000:
                    return
                waiting[id(job)] -= 1
                self.running.append((now + step.estimate, job))

    def share_of_met_objectives(self, jobs: list[JobProgress]) -> float:
        met_count = sum(
            self.done_at.get(job.record.job, 1e9) - job.accepted_at <= job.objective
            for job in jobs
        )
        return met_count / len(jobs)

    def largest_jobs(self) -> list[JobProgress]:
        jobs = sorted(self.jobs, key=lambda job: job.estimated_work)
        return jobs[-max(1, len(jobs) // 10) :]


class JobOrderTest(unittest.TestCase):
    def test_order_by_value_meets_more_objectives_than_order_by_arrival(self) -> None:
        for seed in range(1, 6):
            by_value, by_arrival = DemandPeak(seed, False), DemandPeak(seed, True)
            by_value.simulate()
            by_arrival.simulate()
            self.assertGreater(
                by_value.share_of_met_objectives(by_value.jobs),
                by_arrival.share_of_met_objectives(by_arrival.jobs),
                seed,
            )

    def test_long_running_jobs_come_first(self) -> None:
        random = Random(1)
        finite_job = make_job(1, random, 0.0)
        step = StepSpec(long_running=True)
        record = JobRecord(
            job=JobId("f" * 16),
            queue=QueueId("recon"),
            pool=PoolId("labels"),
            team=TeamId(""),
            accepted=0.0,
            payload="",
            steps=(step,),
        )
        long_running_job = JobProgress(record, 5.0)
        order = JobOrder()
        self.assertLess(order.rank(long_running_job, 5.0), order.rank(finite_job, 5.0))


def make_load(
    name: str, demand: float, machines: int, movable: int, standby: bool = False
) -> PoolLoad:
    return PoolLoad(
        pool=PoolId(name),
        demand=int(demand * 1000),
        capacity=0 if standby else machines * 32000,
        machines=machines,
        movable=movable,
        is_standby=standby,
    )


class SurplusTest(unittest.TestCase):
    def plan(
        self, *loads: PoolLoad, under_way: dict[PoolId, int] | None = None
    ) -> list[tuple[PoolId, PoolId]]:
        return plan_moves({load.pool: load for load in loads}, under_way or {})

    def test_pools_with_low_demand_lend_to_the_pool_at_its_peak(self) -> None:
        moves = self.plan(
            make_load("a", 300, 6, 6), make_load("b", 10, 6, 4), make_load("c", 5, 6, 6)
        )
        self.assertEqual({target for _, target in moves}, {"a"})
        self.assertEqual(len(moves), 3)

    def test_running_machines_move_before_standby_machines(self) -> None:
        # Running machines are already paid for; standby machines are switched off.
        moves = self.plan(
            make_load("a", 220, 6, 0),
            make_load("b", 10, 6, 4),
            make_load("off", 0, 0, 6, standby=True),
        )
        self.assertEqual(moves, [("b", "a")])

    def test_small_pool_gets_the_machines_for_its_peak_at_once(self) -> None:
        # The demand peak is three times an equal share; the pool has two machines.
        moves = self.plan(
            make_load("a", 576, 2, 0),
            make_load("b", 10, 12, 12),
            make_load("c", 10, 10, 10),
        )
        self.assertEqual({target for _, target in moves}, {"a"})
        self.assertGreaterEqual(len(moves), 10)

    def test_pools_keep_machines_for_their_own_peak(self) -> None:
        moves = self.plan(
            make_load("a", 576, 12, 0),
            make_load("b", 0, 4, 4),
            make_load("c", 0, 8, 8),
        )
        self.assertNotIn(("b", "a"), moves)

    def test_late_backlog_gets_only_machines_that_no_other_pool_needs(self) -> None:
        late = replace(make_load("late", 20, 4, 0), backlog=400_000)
        calm = make_load("calm", 10, 12, 12)
        self.assertEqual(set(self.plan(late, calm)), {("calm", "late")})
        peak = make_load("peak", 576, 4, 0)
        moves = self.plan(late, calm, peak)
        self.assertEqual({target for _, target in moves}, {"peak"})

    def test_incoming_machines_are_counted(self) -> None:
        loads = (make_load("a", 220, 6, 0), make_load("b", 10, 6, 4))
        self.assertEqual(self.plan(*loads, under_way={PoolId("a"): 1}), [])

    def test_pool_that_needs_its_capacity_lends_no_machine(self) -> None:
        moves = self.plan(make_load("a", 300, 6, 6), make_load("b", 150, 6, 4))
        self.assertEqual(moves, [])

    def test_pool_without_machines_gets_one(self) -> None:
        moves = self.plan(make_load("a", 20, 0, 0), make_load("b", 10, 6, 4))
        self.assertEqual(moves, [("b", "a")])

    def test_pool_does_not_lend_its_last_machines(self) -> None:
        moves = self.plan(make_load("a", 300, 6, 0), make_load("b", 0, 2, 2))
        self.assertEqual(moves, [])

    def test_pool_at_the_end_of_its_peak_lends_what_it_does_not_use(self) -> None:
        ending = make_load("ending", 1700, 110, 60)
        moves = self.plan(
            ending, make_load("peak", 3270, 28, 0), make_load("c", 30, 16, 16)
        )
        self.assertGreaterEqual(moves.count(("ending", "peak")), 35)

    def test_pool_without_jobs_retains_no_machines_for_a_peak(self) -> None:
        unused = replace(make_load("unused", 0, 30, 30), is_used=False)
        moves = self.plan(
            unused, make_load("peak", 3270, 28, 0), make_load("c", 30, 25, 25)
        )
        self.assertEqual(moves.count(("unused", "peak")), 28)

    def test_machines_of_a_past_peak_are_spread_before_the_next_one(self) -> None:
        past = make_load("past", 50, 90, 90)
        moves = self.plan(past, make_load("b", 20, 15, 15), make_load("c", 30, 15, 15))
        self.assertEqual(Counter(target for _, target in moves), {"b": 25, "c": 25})
        self.assertEqual({source for source, _ in moves}, {"past"})

    def test_pool_at_its_peak_gives_nothing_away_for_a_short_dip_of_its_demand(
        self,
    ) -> None:
        dip = replace(make_load("peak", 220, 15, 11), recent_demand=860_000)
        self.assertEqual(self.plan(dip, make_load("b", 32, 4, 0)), [])
        # A pool that is short of machines itself still gets what is free.
        short = make_load("b", 500, 4, 0)
        self.assertGreaterEqual(self.plan(dip, short).count(("peak", "b")), 3)

    def test_no_machine_moves_while_every_pool_has_enough(self) -> None:
        moves = self.plan(make_load("a", 100, 6, 6), make_load("b", 10, 6, 4))
        self.assertEqual(moves, [])


class ArrivalRateTest(unittest.TestCase):
    def test_arrival_rate_exceeds_the_capacity_within_a_second_of_a_rise(self) -> None:
        # 12 jobs per second arrive with work for about 100 cores; the pool has 60. The
        # arrival rate must show a rise before the waiting tasks exceed the pool.
        for seed in range(1, 6):
            peak = DemandPeak(seed, by_arrival=False)
            rate = ArrivalRate()
            for job in peak.jobs:
                now = job.accepted_at
                rate.add_work(job.estimated_work, now)
                if rate.compute_required_cores(now) > POOL_CORES:
                    break
            self.assertLess(now, 1.0, seed)
            self.assertEqual(rate.compute_required_cores(now + 2.0), 0.0)

    def test_rise_is_expected_to_go_on_while_machines_are_on_their_way(self) -> None:
        # The rate grows by 10 jobs a second each second; a job has one core-second.
        rate = ArrivalRate()
        now, number = 0.0, 0
        while now < 2.0:
            number += 1
            now = (number / 5) ** 0.5
            rate.add_work(1.0, now)
        self.assertGreaterEqual(rate.compute_required_cores(now), 10 * (now + 1.0))

    def test_steady_rate_is_expected_to_stay(self) -> None:
        rate = ArrivalRate()
        for number in range(40):
            rate.add_work(1.0, number / 20)
        self.assertLessEqual(rate.compute_required_cores(39 / 20), 24.0)


class JobDemandTest(unittest.TestCase):
    """Guards against a late backlog that keeps machines from a pool at its peak.

    After an outage, one pool has a backlog of jobs that are already late. A backlog
    that counts in full makes that pool keep machines that the other pool needs.
    """

    def setUp(self) -> None:
        options = CoordinatorOptions(
            lease=6.0,
            longest_lease=6.0,
            accepted_lease=6.0,
            superseded_renewal=2.0,
            stop_grace=0.2,
            early_start=0.1,
        )
        state = PoolState(PoolId("labels"), FenceToken(1), options, 0.0)
        self.demand = JobDemand(state, JobOrder())
        random = Random(1)
        for number in range(40):
            job = make_job(number, random, 0.0)
            state.add_job(job)
        self.requested = sum(
            job.record.steps[0].count * 1800 for job in state.jobs.values()
        )

    def test_jobs_in_time_count_in_full(self) -> None:
        self.assertEqual(self.demand.count_demand(0.1), self.requested)

    def test_late_backlog_keeps_no_machines_from_other_pools(self) -> None:
        backlog = self.demand.count_demand(4.0)
        self.assertLess(backlog, 0.1 * self.requested)
        loads = {
            PoolId("late"): make_load("late", backlog / 1000, 16, 16),
            PoolId("peak"): make_load("peak", 300, 4, 0),
        }
        self.assertGreaterEqual(len(plan_moves(loads, {})), 4)

    def test_jobs_without_remaining_value_add_no_demand(self) -> None:
        self.assertEqual(self.demand.count_demand(60.0), 0)


class PlacementTest(unittest.TestCase):
    def test_finite_tasks_prefer_workers_with_long_running_tasks(self) -> None:
        # The other workers become empty when the finite tasks end and can be lent.
        pinned = WorkerView(WorkerId("pinned"), 0.0, FenceToken(1))
        empty = WorkerView(WorkerId("empty"), 0.0, FenceToken(1))
        for worker in (pinned, empty):
            worker.entry = WorkerEntry(
                worker=worker.worker,
                started_at_ms=1,
                pool=PoolId("p"),
                address="",
                zone=ZoneId("z"),
                state=WorkerState.READY,
                capacity=Resources(32000, 65536),
            )
        long_running_run = ActiveRun(
            task=TaskKey(JobId("1" * 16), 0, 0, 0),
            run=RunNumber(1),
            incarnation=pinned.incarnation,
            reserved=Resources(3000, 4000),
            usage=Resources(3000, 4000),
            is_long_running=True,
        )
        pinned.add_run(long_running_run)
        step = StepSpec(needs=Resources(1800, 2500))
        chosen = choose_worker(step, [empty, pinned], Counter(), None)
        self.assertIs(chosen, pinned)
        pinned.remove_run(long_running_run, 0.0)
        chosen = choose_worker(step, [pinned, empty], Counter(), pinned.worker)
        self.assertIs(chosen, empty)

    def test_lost_worker_does_not_delay_most_jobs(self) -> None:
        workers = []
        for number in range(20):
            worker = WorkerView(WorkerId(f"w{number}"), 0.0, FenceToken(1))
            worker.entry = WorkerEntry(
                worker=worker.worker,
                started_at_ms=1,
                pool=PoolId("p"),
                address="",
                zone=ZoneId("z"),
                state=WorkerState.READY,
                capacity=Resources(32000, 65536),
            )
            workers.append(worker)
        step = StepSpec(count=8, needs=Resources(3100, 1000))
        hit_count = 0
        for number in range(10):
            run_counts: Counter[WorkerId] = Counter()
            for index in range(step.count):
                chosen = choose_worker(step, workers, run_counts, None)
                assert chosen is not None
                run_counts[chosen.worker] += 1
                run = ActiveRun(
                    task=TaskKey(JobId(f"{number:016x}"), 0, 0, index),
                    run=RunNumber(1),
                    incarnation=chosen.incarnation,
                    reserved=step.needs,
                    usage=step.needs,
                )
                chosen.add_run(run)
            hit_count += run_counts[WorkerId("w0")] > 0
        self.assertLessEqual(hit_count, 2)


if __name__ == "__main__":
    unittest.main()
