"""Orders for machines that are late, refused, or given by two holders in turn."""

import unittest
from asyncio import Task, create_task, gather, get_running_loop, sleep
from random import Random
from typing import Any
from unittest.mock import patch

from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.gateways.machine_controls import (
    MachineControlError,
    MachineOrderOutcome,
)
from jujubebarrow.identifiers import PoolId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.runtimes.load_registries import ORDER_WINDOW_SECONDS, LoadRegistry
from jujubebarrow.runtimes.order_gates import CONCURRENT_ORDERS_COUNT
from jujubebarrow.runtimes.wave_stores import WaveStore
from jujubebarrow.standins.emulated_stores import EmulatedStore, SharedStore
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.fake_machines import STANDBY
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import (
    OTHER_ROUTE,
    POOL,
    Instance,
    JobCluster,
)
from jujubebarrow.tests.fakes.virtual_loops import LoopClock, run_virtual
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

OBJECTIVE_SECONDS = 1.0
"""Objective of a short job."""
MOVE_SECONDS = 1.5
MACHINE_LEASE_SECONDS = 3.0
"""Shortest time between the orders of two holders for one machine."""
MACHINE = MachineId("m-w1")
RESPONSE_SECONDS = 1.5
"""Timeout of an order."""
LATE_MOVE_SECONDS = 2.7
"""Time after which a move without a response is carried out; less than the lease."""
PEAK = StepSpec(count=48, needs=Resources(1000, 500), estimate=5.0)
SUSPENSION_SECONDS = 10.0
"""Seconds that suffice for a takeover, the machine lease and an order."""


def _find_owner(cluster: JobCluster, pool: PoolId) -> Instance:
    for instance in cluster.instances:
        if instance.node is not None and instance.node.owns(pool):
            return instance
    raise AssertionError(pool)


async def _submit_peak(cluster: JobCluster, submitter: int) -> None:
    behaviour = TaskBehaviour(seconds=2.0)
    await gather(
        *(
            cluster.submit(number, behaviour=behaviour, instance=submitter)
            for number in range(40)
        )
    )


def _list_times(cluster: JobCluster, event: str) -> list[float]:
    return [
        line["at"]
        for log in cluster.logs
        for line in log.lines
        if line["event"] == event and line.get("pool", STANDBY) == STANDBY
    ]


class AbsentGiverTest(JobCase):
    async def _kill_giver(self, cluster: JobCluster) -> Instance:
        """Kill the owner of the standby pool; return an instance that owns no pool."""
        await sleep(3.0)
        giver = _find_owner(cluster, STANDBY)
        owner = _find_owner(cluster, POOL)
        self.assertIsNot(giver, owner)
        await giver.kill()
        return next(one for one in cluster.instances if one not in (giver, owner))

    async def _measure_first_move(
        self, cluster: JobCluster, submitter: Instance
    ) -> float:
        """Return the seconds from the beginning of a peak to the first move."""
        began_at = get_running_loop().time()
        await _submit_peak(cluster, cluster.instances.index(submitter))
        await cluster.wait_for(lambda: bool(cluster.machines.moves), 20.0)
        return get_running_loop().time() - began_at

    def test_machines_reach_a_peak_while_the_owner_of_their_pool_is_away(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            submitter = await self._kill_giver(cluster)
            seconds = await self._measure_first_move(cluster, submitter)
            self.assertLess(seconds, OBJECTIVE_SECONDS)

        self.run_scenario(scenario, instances=10, workers=2, standby=2)

    def test_machines_reach_a_peak_that_begins_with_a_takeover_of_their_pool(
        self,
    ) -> None:
        # No worker of a pool that is switched off is registered, so that none answers.
        async def scenario(cluster: JobCluster) -> None:
            submitter = await self._kill_giver(cluster)
            former_count = len(_list_times(cluster, "pool_taken_over"))
            await cluster.wait_for(
                lambda: len(_list_times(cluster, "pool_taken_over")) > former_count,
                20.0,
            )
            seconds = await self._measure_first_move(cluster, submitter)
            self.assertLess(seconds, OBJECTIVE_SECONDS)

        self.run_scenario(scenario, instances=10, workers=2, standby=2)


class RefusedOrderTest(JobCase):
    def test_refused_order_does_not_count_as_a_machine_on_its_way(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            move = cluster.machines.move
            refused: list[MachineId] = []

            async def refuse_first(
                machine: MachineId, pool: PoolId, token: int
            ) -> MachineOrderOutcome:
                if not refused:
                    refused.append(machine)
                    return MachineOrderOutcome.TRY_LATER
                return await move(machine, pool, token)

            cluster.machines.move = refuse_first
            # The estimate is short, so that the pool needs exactly one machine.
            step = StepSpec(count=24, needs=Resources(1000, 500), estimate=0.02)
            await cluster.submit(1, (step,), behaviour=TaskBehaviour(seconds=9.0))
            await cluster.wait_for(lambda: bool(refused), 5.0)
            refused_at = get_running_loop().time()
            await cluster.wait_for(lambda: bool(cluster.machines.moves), 10.0)
            seconds = get_running_loop().time() - refused_at
            self.assertLess(seconds, OBJECTIVE_SECONDS)

        self.run_scenario(scenario, workers=2, standby=2)


class UnansweredOrderTest(JobCase):
    def test_move_without_response_kills_no_task_after_a_repeat_was_refused(
        self,
    ) -> None:
        for answer in (MachineOrderOutcome.TRY_LATER, MachineOrderOutcome.BUSY):

            async def scenario(
                cluster: JobCluster, answer: MachineOrderOutcome = answer
            ) -> None:
                await sleep(3.0)
                move = cluster.machines.move
                unanswered: dict[MachineId, Task[MachineOrderOutcome]] = {}

                async def move_late(
                    machine: MachineId, pool: PoolId, token: int
                ) -> MachineOrderOutcome:
                    await sleep(LATE_MOVE_SECONDS)
                    return await move(machine, pool, token)

                async def lose_first_response(
                    machine: MachineId, pool: PoolId, token: int
                ) -> MachineOrderOutcome:
                    if machine in unanswered:
                        return answer
                    unanswered[machine] = create_task(move_late(machine, pool, token))
                    await sleep(RESPONSE_SECONDS)
                    raise MachineControlError("no response")

                cluster.machines.move = lose_first_response
                await cluster.submit(1, (PEAK,), behaviour=TaskBehaviour(seconds=5.0))
                await cluster.wait_for(lambda: bool(unanswered), 5.0)
                await sleep(RESPONSE_SECONDS + 0.5)
                await cluster.submit(
                    2, (PEAK,), behaviour=TaskBehaviour(seconds=5.0), route=OTHER_ROUTE
                )
                await gather(*unanswered.values())
                self.assertGreater(len(cluster.machines.moves), 0)
                self.assertEqual(cluster.machines.killed_run_count, 0, answer)

            self.run_scenario(scenario, workers=2, others=6, has_other_queue=True)


class HoldersTest(JobCase):
    def test_two_holders_cannot_both_claim_a_machine(self) -> None:
        async def scenario() -> int:
            shared = SharedStore(Random(1))
            clock = LoopClock(get_running_loop())
            metrics = MetricsRegistry()
            registries = {
                holder: LoadRegistry(EmulatedStore(shared, metrics), clock, metrics)
                for holder in ("n0", "n1")
            }
            for registry in registries.values():
                await registry.refresh()
            claim_count = 0
            for holder, registry in registries.items():
                if not registry.can_order(MACHINE, holder, MACHINE_LEASE_SECONDS):
                    continue
                try:
                    await registry.claim_moves({MACHINE: POOL}, holder)
                except (StoreError, TransactionConflictError):
                    continue
                claim_count += 1
            return claim_count

        self.assertEqual(run_virtual(scenario()), 1)

    def test_wave_takes_no_machine_that_another_holder_has_just_moved(self) -> None:
        for offset in range(15):

            async def scenario(cluster: JobCluster, offset: int = offset) -> None:
                await sleep(3.0)
                step = StepSpec(count=8, needs=Resources(1000, 500), estimate=2.0)
                brief = TaskBehaviour(seconds=0.2)
                for number in range(6):
                    await cluster.submit(number, (step,), behaviour=brief)
                await sleep(0.2 * offset)
                names = tuple(MachineId(f"m-w{n}") for n in range(2, 5))
                cluster.write_wave(
                    WaveRequest(wave=7, machines=names, duration=30.0, max_concurrent=2)
                )
                await sleep(20.0)
                self.assertEqual(_find_early_turns(cluster), [])

            self.run_scenario(scenario, workers=2, standby=3)


def _find_early_turns(cluster: JobCluster) -> list[tuple[MachineId, float]]:
    """Return maintenance orders too soon after a move by another instance.

    Leaves out orders for a machine that is still moving, which the platform refuses.
    """
    moves, orders = (
        [
            (line["machine"], line["at"], log.name)
            for log in cluster.logs
            for line in log.lines
            if line["event"] == event
        ]
        for event in ("machine_moved", "maintenance_ordered")
    )
    return [
        (machine, round(ordered_at - moved_at, 3))
        for machine, moved_at, mover in moves
        for ordered, ordered_at, holder in orders
        if ordered == machine and holder != mover
        if MOVE_SECONDS <= ordered_at - moved_at < MACHINE_LEASE_SECONDS
    ]


class LatePermissionTest(JobCase):
    """Orders whose permission has ended while the process or the service was slow."""

    def test_suspended_holder_sends_no_order_after_its_successor(self) -> None:
        read = WaveStore.read

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            owner = _find_owner(cluster, POOL)
            assert owner.node is not None
            suspended: list[float] = []

            async def read_and_suspend(store: WaveStore, wave: WaveRequest) -> Any:
                stored = await read(store, wave)
                is_owner = owner.node and store is owner.node._wave_store
                if is_owner and stored.record.in_maintenance_count and not suspended:
                    suspended.append(get_running_loop().time())
                    self._set_suspended(owner, True)
                    await sleep(SUSPENSION_SECONDS)
                    self._set_suspended(owner, False)
                return stored

            with patch.object(WaveStore, "read", read_and_suspend):
                cluster.write_wave(
                    WaveRequest(
                        wave=7, machines=(MACHINE,), duration=30.0, max_concurrent=1
                    )
                )
                await sleep(SUSPENSION_SECONDS + 5.0)
            self.assertTrue(suspended)
            self.assertEqual(cluster.machines.maintenance_orders, [(MACHINE, 7)])
            self.assertEqual(cluster.machines.rejected_order_count, 0)

        for seed in range(1, 4):
            self.run_scenario(scenario, seed=seed, workers=2)

    def _set_suspended(self, instance: Instance, is_suspended: bool) -> None:
        instance.store.is_disconnected = is_suspended
        instance.gateway.is_disconnected = is_suspended
        instance.is_isolated = is_suspended

    def test_slow_machine_service_gets_no_order_after_the_window_of_its_claim(
        self,
    ) -> None:
        claim_moves = LoadRegistry.claim_moves
        claimed_at: dict[MachineId, float] = {}
        delays: list[float] = []

        async def record_claim(
            registry: LoadRegistry,
            targets: dict[MachineId, PoolId],
            holder: str,
            workers: dict[MachineId, WorkerId],
        ) -> Any:
            now = get_running_loop().time()
            claimed_at.update(dict.fromkeys(targets, now))
            return await claim_moves(registry, targets, holder, workers)

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            move = cluster.machines.move

            async def move_slowly(
                machine: MachineId, pool: PoolId, token: int
            ) -> MachineOrderOutcome:
                delays.append(get_running_loop().time() - claimed_at[machine])
                await sleep(1.0)
                return await move(machine, pool, token)

            cluster.machines.move = move_slowly
            step = StepSpec(count=300, needs=Resources(1000, 500), estimate=2.0)
            for number in range(3):
                await cluster.submit(
                    number, (step,), behaviour=TaskBehaviour(seconds=2.0)
                )
            await sleep(15.0)

        with patch.object(LoadRegistry, "claim_moves", record_claim):
            self.run_scenario(scenario, workers=24, standby=24)
        self.assertGreater(len(delays), CONCURRENT_ORDERS_COUNT)
        self.assertLessEqual(max(delays), ORDER_WINDOW_SECONDS)


class StaleLoadTest(unittest.TestCase):
    def test_loads_are_not_used_after_their_age_limit_while_reads_fail(self) -> None:
        async def scenario() -> dict[PoolId, PoolLoad]:
            shared = SharedStore(Random(1))
            metrics = MetricsRegistry()
            store = EmulatedStore(shared, metrics)
            clock = LoopClock(get_running_loop())
            registry = LoadRegistry(store, clock, metrics)
            await registry.refresh()
            await registry.write_load(
                PoolLoad(pool=POOL, demand=9, capacity=8, machines=1, movable=0)
            )
            await sleep(1.0)
            await registry.refresh()
            self.assertIn(POOL, registry.loads)
            store.is_rejecting_calls = True
            await sleep(10.0)
            # One pool's read fails; the next pool of the instance uses the copy.
            with self.assertRaises(StoreError):
                await registry.refresh()
            await registry.refresh()
            return dict(registry.loads)

        self.assertNotIn(POOL, run_virtual(scenario()))
