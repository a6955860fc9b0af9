"""Order of jobs and moves of machines, under the load that they answer."""

import unittest
from random import Random

from jujubebarrow.coordinators.arrival_rates import ArrivalRate
from jujubebarrow.coordinators.job_ledgers import JobLedger
from jujubebarrow.identifiers import JobId, PoolId, QueueId, TeamId
from jujubebarrow.placements.job_orders import JobOrder, objective, work
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.pools.surplus_planners import plan_moves
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

CORES = 60.0
"""Cores of the played pool; the load asks for about twice as much."""
TURN_SECONDS = 4.0
TICK = 0.05


def make_job(number: int, random: Random, at: float) -> JobLedger:
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
    ledger = JobLedger(record, at)
    ledger.open_due(at, 0.0)
    return ledger


class Turn:
    """One turn of the demand against one pool, task by task."""

    def __init__(self, seed: int, by_arrival: bool):
        random = Random(seed)
        self.jobs = []
        at = 0.0
        while at < TURN_SECONDS:
            self.jobs.append(make_job(len(self.jobs), random, at))
            at += random.expovariate(12.0)
        self.order = JobOrder()
        for job in self.jobs:
            self.order.learn(job)
        self.by_arrival = by_arrival
        self.done_at: dict[str, float] = {}
        self.running: list[tuple[float, JobLedger]] = []

    def play(self) -> None:
        now = 0.0
        waiting = {id(job): job.record.steps[0].count for job in self.jobs}
        while now < 5 * TURN_SECONDS:
            for end, job in [item for item in self.running if item[0] <= now]:
                self.running.remove((end, job))
                still = any(other is job for _, other in self.running)
                if not still and not waiting[id(job)]:
                    self.done_at[job.record.job] = now
            self._fill(now, waiting)
            now += TICK

    def _fill(self, now: float, waiting: dict[int, int]) -> None:
        present = [job for job in self.jobs if job.known_at <= now and waiting[id(job)]]
        if self.by_arrival:
            present.sort(key=lambda job: job.known_at)
        else:
            present.sort(key=lambda job: self.order.rank(job, now))
        for job in present:
            step = job.record.steps[0]
            while waiting[id(job)]:
                used = sum(other.record.steps[0].needs.cpu for _, other in self.running)
                if used + step.needs.cpu > CORES * 1000:
                    return
                waiting[id(job)] -= 1
                self.running.append((now + step.estimate, job))

    def share_in_time(self, jobs: list[JobLedger]) -> float:
        good = sum(
            self.done_at.get(job.record.job, 1e9) - job.known_at <= objective(job)
            for job in jobs
        )
        return good / len(jobs)

    def largest(self) -> list[JobLedger]:
        jobs = sorted(self.jobs, key=work)
        return jobs[-max(1, len(jobs) // 10) :]


class JobOrderTest(unittest.TestCase):
    def test_more_callers_are_served_in_time_than_by_arrival(self) -> None:
        for seed in range(1, 6):
            by_worth, by_arrival = Turn(seed, False), Turn(seed, True)
            by_worth.play()
            by_arrival.play()
            self.assertGreater(
                by_worth.share_in_time(by_worth.jobs),
                by_arrival.share_in_time(by_arrival.jobs),
                seed,
            )

    def test_long_running_jobs_come_first(self) -> None:
        random = Random(1)
        usual = make_job(1, random, 0.0)
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
        lasting = JobLedger(record, 5.0)
        order = JobOrder()
        self.assertLess(order.rank(lasting, 5.0), order.rank(usual, 5.0))


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

    def test_calm_pools_lend_to_the_one_whose_turn_it_is(self) -> None:
        moves = self.plan(
            make_load("a", 300, 6, 6), make_load("b", 10, 6, 4), make_load("c", 5, 6, 6)
        )
        self.assertEqual({target for _, target in moves}, {"a"})
        self.assertEqual(len(moves), 3)

    def test_machines_that_are_paid_for_go_before_those_that_are_off(self) -> None:
        moves = self.plan(
            make_load("a", 220, 6, 0),
            make_load("b", 10, 6, 4),
            make_load("off", 0, 0, 6, standby=True),
        )
        self.assertEqual(moves, [("b", "a")])

    def test_a_small_pool_gets_what_its_turn_asks_for_at_once(self) -> None:
        # The load: a turn of three times an equal share on a pool with two machines.
        moves = self.plan(
            make_load("a", 576, 2, 0),
            make_load("b", 10, 12, 12),
            make_load("c", 10, 10, 10),
        )
        self.assertEqual({target for _, target in moves}, {"a"})
        self.assertGreaterEqual(len(moves), 10)

    def test_pools_keep_machines_for_their_own_turn(self) -> None:
        moves = self.plan(
            make_load("a", 576, 12, 0),
            make_load("b", 0, 4, 4),
            make_load("c", 0, 8, 8),
        )
        self.assertNotIn(("b", "a"), moves)

    def test_machines_on_their_way_are_counted(self) -> None:
        loads = (make_load("a", 220, 6, 0), make_load("b", 10, 6, 4))
        self.assertEqual(self.plan(*loads, under_way={PoolId("a"): 1}), [])

    def test_a_busy_pool_lends_nothing(self) -> None:
        moves = self.plan(make_load("a", 300, 6, 6), make_load("b", 150, 6, 4))
        self.assertEqual(moves, [])

    def test_a_pool_that_has_lost_all_machines_gets_some(self) -> None:
        moves = self.plan(make_load("a", 20, 0, 0), make_load("b", 10, 6, 4))
        self.assertEqual(moves, [("b", "a")])

    def test_no_pool_lends_its_last_machines(self) -> None:
        moves = self.plan(make_load("a", 300, 6, 0), make_load("b", 0, 2, 2))
        self.assertEqual(moves, [])

    def test_nothing_moves_while_nobody_is_short(self) -> None:
        moves = self.plan(make_load("a", 100, 6, 6), make_load("b", 10, 6, 4))
        self.assertEqual(moves, [])


class ArrivalRateTest(unittest.TestCase):
    def test_a_rise_shows_before_the_tasks_that_wait_exceed_the_pool(self) -> None:
        # The load: 12 jobs a second with about 100 cores' work, on 60 cores.
        for seed in range(1, 6):
            turn = Turn(seed, by_arrival=False)
            rate = ArrivalRate()
            for job in turn.jobs:
                now = job.known_at
                rate.note(work(job), now)
                if rate.measure(now) > CORES:
                    break
            self.assertLess(now, 1.0, seed)
            self.assertEqual(rate.measure(now + 2.0), 0.0)


if __name__ == "__main__":
    unittest.main()
