"""Cost of the ownership of duties by the number of instances, and its safety.

Guards against costs of an instance that grow with the fleet: every instance would then
be too slow in a fleet that is large enough. Guards against two instances that act on
one duty.
"""

import unittest
from asyncio import get_running_loop, sleep
from random import Random
from unittest.mock import patch

from jujubebarrow.ownerships import lease_observers
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.runtimes import lease_renewers
from jujubebarrow.runtimes.heartbeat_watchers import SPARE_SUFFIX
from jujubebarrow.tests.fakes.ownership_fleets import Member, OwnershipFleet
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

SIZES = (30, 100, 300)
SETTLED_SECONDS = 25.0
"""Time in which surplus claimants of the first start have left."""
MEASURED_SECONDS = 10.0
STARTED_SECONDS = 3.0
IDLE_CALLS_LIMIT_RATE = 2.0
"""Calls a second of an instance that owns nothing, without those for its callers."""
IDLE_ROWS_LIMIT_RATE = 30.0
GROWTH_LIMIT_RATIO = 1.5
"""Largest ratio of a cost at 300 instances to the cost at 30."""
CLAIMANTS_LIMIT_COUNT = 25
OWNER_LOSS_LIMIT_SECONDS = 3.4
"""A lease, the longest age of the last read, and a poll of the owners."""
CLAIMANTS_LOSS_LIMIT_SECONDS = 6.0
"""A lease, two reads of the other instances, and the time over which they join."""
RESTART_LIMIT_SECONDS = 1.0
SEEDS = range(1, 13)
FAULT_ROUNDS_COUNT = 12
ISOLATED_SHARE = 0.4
UNAVAILABLE_SHARE = 0.2
WATCH_SECONDS = 8.0
"""Time after the faults; the last late write takes effect after 6 s."""


def _sum(members: list[Member], name: str) -> float:
    return sum(getattr(member.store, name) for member in members) / len(members)


class FleetSizeTest(unittest.TestCase):
    def test_idle_instance_costs_the_same_in_any_fleet(self) -> None:
        calls, rows, starts = {}, {}, {}

        async def measure(size: int) -> None:
            fleet = OwnershipFleet(size)
            await fleet.start()
            await sleep(STARTED_SECONDS)
            starts[size] = _sum(fleet.members, "row_count")
            await sleep(SETTLED_SECONDS)
            self.assertLess(len(fleet.claimants), CLAIMANTS_LIMIT_COUNT)
            idle = [member for member in fleet.members if not member.is_claimant]
            before = _sum(idle, "call_count"), _sum(idle, "row_count")
            await sleep(MEASURED_SECONDS)
            calls[size] = (_sum(idle, "call_count") - before[0]) / MEASURED_SECONDS
            rows[size] = (_sum(idle, "row_count") - before[1]) / MEASURED_SECONDS
            await fleet.kill()

        for size in SIZES:
            run_virtual(measure(size))
        self.assertLess(calls[SIZES[-1]], IDLE_CALLS_LIMIT_RATE)
        self.assertLess(rows[SIZES[-1]], IDLE_ROWS_LIMIT_RATE)
        for cost in (calls, rows):
            self.assertLess(cost[SIZES[-1]], GROWTH_LIMIT_RATIO * cost[SIZES[0]])
        self.assertLess(starts[SIZES[-1]], 2 * starts[SIZES[0]])

    def test_lost_owners_are_replaced_as_soon_in_any_fleet(self) -> None:
        async def scenario(size: int) -> None:
            fleet = OwnershipFleet(size)
            await fleet.start()
            await sleep(SETTLED_SECONDS)
            owner = next(member for member in fleet.members if member.duties)
            await owner.kill()
            seconds = await fleet.wait_until_served(30.0)
            self.assertLess(seconds, OWNER_LOSS_LIMIT_SECONDS, size)
            await sleep(10.0)
            if len(fleet.claimants) < size - 1:
                await fleet.kill(fleet.claimants)
                seconds = await fleet.wait_until_served(30.0)
                self.assertLess(seconds, CLAIMANTS_LOSS_LIMIT_SECONDS, size)
            await sleep(10.0)
            await fleet.kill()
            await sleep(0.6)
            await fleet.start()
            seconds = await fleet.wait_until_served(30.0)
            self.assertLess(seconds, RESTART_LIMIT_SECONDS, size)
            await fleet.kill()

        for size in (7, 42, 97):
            run_virtual(scenario(size))

    def test_zone_that_is_lost_has_no_majority_of_the_claimants(self) -> None:
        async def scenario() -> None:
            fleet = OwnershipFleet(97)
            await fleet.start()
            await sleep(SETTLED_SECONDS)
            zones = [member.zone for member in fleet.claimants]
            self.assertEqual(len(set(zones)), fleet.zone_count)
            self.assertLess(2 * max(map(zones.count, zones)), len(zones))
            await fleet.kill()

        run_virtual(scenario())

    def test_instances_know_others_that_relay_calls(self) -> None:
        async def scenario() -> None:
            fleet = OwnershipFleet(60)
            await fleet.start()
            await sleep(SETTLED_SECONDS)
            for member in fleet.members:
                self.assertGreater(len(member.peers), 8)
                if member.duties:
                    self.assertEqual(len(member.peers), 59)
            await fleet.kill(fleet.members[10:40])
            await sleep(15.0)
            names = {member.name for member in fleet.members[10:40]}
            for member in fleet.members[:10] + fleet.members[40:]:
                self.assertEqual(names.intersection(member.peers), set())
            await fleet.kill()

        run_virtual(scenario())


class SingleOwnerTest(unittest.TestCase):
    """Random faults; each duty has at most one owner that may act."""

    def _run_faults(self, seed: int, size: int, isolates: bool = False) -> list[object]:
        async def scenario() -> list[object]:
            fleet = OwnershipFleet(size, seed)
            random = Random(seed)
            other_random = Random(seed)
            await fleet.start()
            doubled: list[object] = []
            for _ in range(FAULT_ROUNDS_COUNT):
                await self._change_faults(fleet, random)
                if isolates:
                    # Live members that do not answer the probes of the others, and
                    # partitions of heartbeats that do not answer.
                    fleet.shared.unavailable_partitions.clear()
                    for member in fleet.members:
                        member.is_isolated = other_random.random() < ISOLATED_SHARE
                        for name in (member.name, member.name + SPARE_SUFFIX):
                            if other_random.random() < UNAVAILABLE_SHARE:
                                fleet.shared.unavailable_partitions.add(name)
                doubled += await fleet.watch(random.uniform(0.2, 4.0))
            self._end_faults(fleet)
            await fleet.start([one for one in fleet.members if one.service is None])
            doubled += await fleet.watch(WATCH_SECONDS)
            await fleet.wait_until_served(OWNER_LOSS_LIMIT_SECONDS)
            unserved = [name for name, one in fleet.list_owners().items() if not one]
            await fleet.kill()
            return [*doubled, *unserved]

        return run_virtual(scenario())

    async def _change_faults(self, fleet: OwnershipFleet, random: Random) -> None:
        shared = fleet.shared
        shared.extra_delay_seconds = random.choice((0.0, 0.0, 0.05, 0.2))
        shared.response_loss_probability = random.choice((0.0, 0.0, 0.1))
        shared.late_write_probability = random.choice((0.0, 0.0, 0.1))
        shared.is_down = random.random() < 0.15
        for member in fleet.members:
            if member.service is None:
                if random.random() < 0.5:
                    get_running_loop().create_task(member.start())
            elif random.random() < 0.1 + 0.2 * bool(member.duties):
                if random.random() < 0.5:
                    await member.kill()
                else:
                    member.store.is_disconnected = not member.store.is_disconnected

    def _end_faults(self, fleet: OwnershipFleet) -> None:
        shared = fleet.shared
        shared.extra_delay_seconds = shared.response_loss_probability = 0.0
        shared.late_write_probability = 0.0
        shared.is_down = False
        shared.unavailable_partitions.clear()
        for member in fleet.members:
            if member.service is not None:
                member.store.is_disconnected = False

    def test_no_duty_has_two_owners_that_may_act(self) -> None:
        for seed in SEEDS:
            self.assertEqual(self._run_faults(seed, 24), [], seed)

    def test_no_duty_has_two_owners_that_may_act_beside_unanswered_probes(self) -> None:
        for seed in SEEDS:
            self.assertEqual(self._run_faults(seed, 24, isolates=True), [], seed)

    def test_proof_fails_if_the_end_of_a_revoked_lease_is_not_waited_for(self) -> None:
        with patch.object(
            LeaseObserver, "find_revoked_leases_end", lambda self: float("-inf")
        ):
            found = (self._run_faults(seed, 24, isolates=True) for seed in SEEDS)
            self.assertTrue(any(found))

    def test_proof_fails_if_the_lease_outlasts_the_observed_silence(self) -> None:
        with patch.object(lease_renewers, "LEASE_SECONDS", 4.0):
            self.assertTrue(any(self._run_faults(seed, 24) for seed in SEEDS))

    def test_proof_fails_if_a_live_instance_counts_as_lost(self) -> None:
        with patch.object(lease_observers, "EXPIRY_MARGIN_SECONDS", -1.5):
            self.assertTrue(any(self._run_faults(seed, 24) for seed in SEEDS))
