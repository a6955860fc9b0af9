"""Upper limits of teams that are divided over pools.

The tests guard against a part of a limit that no pool uses and that is withheld from a
pool whose tasks wait, and against pools that together exceed a limit.
"""

import unittest
from asyncio import get_running_loop, sleep
from random import Random
from typing import Any
from unittest.mock import patch

from jujubebarrow.limits.grant_planners import GrantRequest, plan_grant
from jujubebarrow.standins.emulated_stores import EmulatedStore, SharedStore
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_machines import STANDBY
from jujubebarrow.tests.fakes.grant_pools import GrantedTask, GrantPool
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import POOL, TEAM, JobCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.tests.test_job_counts import commit
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources

GRANT_KEY = make_key(TableName.GRANTS, TEAM, "grant")
LIMIT = Resources(4000, 8000)
WAIT_LIMIT_SECONDS = 3.0
"""Seconds that a task may wait although its team's limit has room for the task."""
FORMER_TOKEN = 1
POOL_COUNT = 5
RUN_SECONDS = 60.0
FAULTS_END_SECONDS = 25.0


def _read_grants(cluster: JobCluster) -> dict[str, list[int]]:
    rows = cluster.store.table.read(GRANT_KEY).rows
    return (rows[0].value or {})["pools"] if rows else {}


async def _restart_all(cluster: JobCluster, grants: dict[str, list[int]]) -> None:
    """Stop all instances, limit the team, store former grants, and start anew."""
    for instance in cluster.instances:
        await instance.kill()
    cluster.write_fleet(2, LIMIT)
    commit(cluster, {GRANT_KEY: {"pools": grants}})
    for instance in cluster.instances:
        await instance.start()
    await cluster.wait_for(lambda: cluster.find_owner() is not None, 10.0)


class ConflictingCommits:
    """Lets another write change the grants before each pool's first write of them."""

    def __init__(self) -> None:
        self._pools_with_conflict: set[str] = set()
        self._try_commit = EmulatedStore.try_commit

    async def __call__(
        self, store: EmulatedStore, transaction: Transaction
    ) -> CommitResult:
        written = transaction.writes.get(GRANT_KEY)
        table = store._shared.table
        rows = table.read(GRANT_KEY).rows
        if written is not None and rows:
            stored = (rows[0].value or {})["pools"]
            changed = {
                pool
                for pool, grant in written["pools"].items()
                if stored.get(pool) != grant
            } - self._pools_with_conflict
            if changed:
                self._pools_with_conflict |= changed
                table.commit(
                    Transaction(writes={GRANT_KEY: rows[0].value}, nonce="other")
                )
        return await self._try_commit(store, transaction)


class GrantTakeoverTest(JobCase):
    def test_grant_of_a_former_owner_is_released_after_a_conflict_at_takeover(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            commits = ConflictingCommits()

            async def try_commit(
                store: EmulatedStore, transaction: Transaction
            ) -> CommitResult:
                return await commits(store, transaction)

            with patch.object(EmulatedStore, "try_commit", try_commit):
                await _restart_all(cluster, {STANDBY: [FORMER_TOKEN, *LIMIT]})
                job = await cluster.submit(1)
                self.assertTrue(await cluster.wait_for_phase(job, "completed", 8.0))

        self.run_scenario(scenario)

    def test_grant_of_a_pool_that_left_the_configuration_is_released(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await _restart_all(cluster, {"removed": [FORMER_TOKEN, *LIMIT]})
            job = await cluster.submit(1)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 30.0))

        self.run_scenario(scenario)

    def test_grant_whose_write_had_no_response_is_released(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await _restart_all(cluster, {})
            await sleep(2.0)
            cluster.store.response_loss_keys = {GRANT_KEY}
            job = await cluster.submit(1)
            await cluster.wait_for(
                lambda: any(_read_grants(cluster).get(POOL, [0])[1:]), 5.0
            )
            await cluster.cancel(job)
            await sleep(4.0)
            cluster.store.response_loss_keys = set()
            await sleep(WAIT_LIMIT_SECONDS)
            self.assertFalse(any(_read_grants(cluster)[POOL][1:]))

        self.run_scenario(scenario)

    def test_team_whose_limit_was_lowered_keeps_to_the_new_limit(self) -> None:
        for tenths in range(0, 40, 5):
            self._lower_limit(tenths / 10)

    def _lower_limit(self, offset_seconds: float) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await _restart_all(cluster, {})
            await sleep(2.0 + offset_seconds)
            for number in range(4):
                await cluster.submit(number, behaviour=TaskBehaviour(seconds=0.3))
            await cluster.wait_for(lambda: len(cluster.list_runs()) >= 4, 5.0)
            cluster.write_fleet(3, Resources(1000, 2000))
            lowered_at = get_running_loop().time()
            await sleep(1.0)
            for number in range(4, 10):
                await cluster.submit(number, behaviour=TaskBehaviour(seconds=2.0))
            await sleep(20.0)
            runs = [r for r in cluster.list_runs() if r.started_at > lowered_at + 1.0]
            for run in runs:
                active_count = sum(
                    other.started_at <= run.started_at < (other.ended_at or 1e18)
                    for other in runs
                )
                self.assertEqual(active_count, 1, run)

        self.run_scenario(scenario)

    def test_runs_of_a_team_that_is_limited_later_count_in_the_other_pools(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1, behaviour=TaskBehaviour(seconds=20.0))
            await cluster.wait_for(lambda: len(cluster.list_runs()) == 2, 5.0)
            cluster.write_fleet(2, LIMIT)
            await sleep(2.0)
            self.assertGreaterEqual(_read_grants(cluster)[POOL][1:], [2000, 1000, 0])

        self.run_scenario(scenario)

    def test_pool_whose_workers_are_full_takes_no_limit_for_its_backlog(self) -> None:
        limit = Resources(80_000, 160_000)
        capacity = Resources(24_000, 48_000)

        async def scenario(cluster: JobCluster) -> None:
            cluster.write_fleet(2, limit)
            for number in range(60):
                await cluster.submit(number, behaviour=TaskBehaviour(seconds=4.0))
            for _ in range(20):
                await sleep(0.2)
                granted = Resources(*_read_grants(cluster)[POOL][1:])
                rounding = Resources(2 * limit.cpu // 12, 2 * limit.memory // 12)
                self.assertTrue(granted.fits(capacity.plus(rounding)), granted)

        self.run_scenario(scenario)


class AwaitedGrantTest(JobCase):
    def _find_wait(self, offset_seconds: float) -> float:
        waits = []

        async def scenario(cluster: JobCluster) -> None:
            await _restart_all(cluster, {})
            await sleep(2.0 + offset_seconds)
            registry = next(
                instance.node.find_owner(STANDBY).coordinator.state.grants
                for instance in cluster.instances
                if instance.node is not None and instance.node.owns(STANDBY)
            )
            registry.set_granted(TEAM, LIMIT)
            grants = _read_grants(cluster)
            grants[STANDBY] = [grants[STANDBY][0], *LIMIT]
            commit(cluster, {GRANT_KEY: {"pools": grants}})
            submitted_at = get_running_loop().time()
            await cluster.submit(1)
            await cluster.wait_for(lambda: cluster.list_runs(), 20.0)
            waits.append(cluster.list_runs()[0].started_at - submitted_at)

        self.run_scenario(scenario)
        return waits[0]

    def test_grant_that_another_pool_does_not_use_delays_no_start_for_seconds(
        self,
    ) -> None:
        for tenths in range(0, 40, 5):
            wait = self._find_wait(tenths / 10)
            self.assertLess(wait, WAIT_LIMIT_SECONDS / 2, tenths)


class GrantPlanTest(unittest.TestCase):
    def test_pools_that_wait_hold_no_part_that_is_too_small_for_a_run(self) -> None:
        request = GrantRequest(Resources(3000, 100), 1)
        plan = plan_grant(
            LIMIT, Resources(2000, 0), Resources(500, 100), [request], False
        )
        self.assertTrue(plan.is_waiting)
        self.assertEqual(plan.granted, Resources(500, 100))

    def test_run_larger_than_the_limit_makes_no_other_pool_release_grants(self) -> None:
        request = GrantRequest(Resources(4001, 100), 1)
        plan = plan_grant(LIMIT, NO_RESOURCES, NO_RESOURCES, [request], False)
        self.assertFalse(plan.is_waiting)
        self.assertEqual(plan.granted, NO_RESOURCES)

    def test_pool_keeps_no_headroom_while_another_pool_waits(self) -> None:
        used = Resources(100, 100)
        plan = plan_grant(LIMIT, NO_RESOURCES, used, [], True)
        self.assertEqual(plan.granted, used)
        self.assertFalse(plan.is_waiting)

    def test_resource_without_a_limit_does_not_count(self) -> None:
        request = GrantRequest(Resources(1000, 10**6), 2)
        plan = plan_grant(
            Resources(4000, 0), NO_RESOURCES, NO_RESOURCES, [request], True
        )
        self.assertEqual(plan.granted, Resources(2000, 0))


class GrantLivenessTest(unittest.TestCase):
    def test_random_faults_withhold_no_unused_part_and_exceed_no_limit(self) -> None:
        for seed in range(1, 13):
            with self.subTest(seed=seed):
                run_virtual(self._run_pools(Random(seed)))

    async def _run_pools(self, random: Random) -> None:
        store = SharedStore(random)
        pools = [
            GrantPool(f"p{number}", TEAM, LIMIT, store) for number in range(POOL_COUNT)
        ]
        token = 1
        for pool in pools:
            token += 1
            pool.open(token)
        loop = get_running_loop()
        started_at = loop.time()
        waiting_since: dict[Any, float] = {}
        while loop.time() < started_at + RUN_SECONDS:
            await sleep(0.05)
            elapsed = loop.time() - started_at
            is_faulty = elapsed < FAULTS_END_SECONDS
            store.response_loss_probability = 0.1 * is_faulty
            store.late_write_probability = 0.1 * is_faulty
            store.is_down = is_faulty and 10.0 < elapsed < 12.0
            if random.random() < 0.15:
                busy = pools[int(elapsed / 7.0) % POOL_COUNT]
                pool = busy if random.random() < 0.7 else random.choice(pools)
                needs = Resources(random.randrange(100, 2000), random.randrange(1, 900))
                pool.tasks.append(GrantedTask(needs, random.uniform(0.3, 6.0)))
            if is_faulty and random.random() < 0.01:
                pool = random.choice(pools)
                token += 1
                await pool.close()
                pool.open(token)
            used = NO_RESOURCES
            for task in [task for pool in pools for task in pool.tasks]:
                if task.ends_at is not None:
                    used = used.plus(task.needs)
            self.assertTrue(used.fits(LIMIT), used)
            self._check_waits(pools, used, waiting_since, elapsed)
        for pool in pools:
            await pool.close()

    def _check_waits(
        self,
        pools: list[GrantPool],
        used: Resources,
        waiting_since: dict[Any, float],
        elapsed: float,
    ) -> None:
        for pool in pools:
            for task in pool.tasks:
                has_room = task.ends_at is None and used.plus(task.needs).fits(LIMIT)
                if not has_room or elapsed < FAULTS_END_SECONDS:
                    waiting_since.pop(task, None)
                    continue
                since = waiting_since.setdefault(task, elapsed)
                self.assertLess(elapsed - since, WAIT_LIMIT_SECONDS, pool.name)
