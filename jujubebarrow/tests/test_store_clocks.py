"""Conversion of times that another instance has stored.

The monotonic clocks of instances can differ by hours. Without a conversion to the
store's clock, a new instance would misjudge the machine leases and wave deadlines that
other instances have stored.
"""

import unittest
from asyncio import get_running_loop, sleep
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.identifiers import PoolId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.load_registries import LoadRegistry
from jujubebarrow.runtimes.wave_stores import WaveStore
from jujubebarrow.standins.emulated_stores import EmulatedStore, SharedStore
from jujubebarrow.tests.fakes.fake_documents import FakeReader
from jujubebarrow.tests.fakes.virtual_loops import LoopClock, run_virtual
from jujubebarrow.workloads.identifiers import MachineId

MACHINE = MachineId("m-1")
MACHINE_LEASE_SECONDS = 3.0


class ShiftedClock(LoopClock):
    """Clock of a machine that is two hours ahead of the store's clock."""

    def monotonic(self) -> float:
        return super().monotonic() + 7200.0


def simulate(scenario: Callable[[SharedStore], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        await scenario(SharedStore(Random(1)))

    run_virtual(main())


def make_load_registry(shared: SharedStore, clock: LoopClock) -> LoadRegistry:
    metrics = MetricsRegistry()
    return LoadRegistry(EmulatedStore(shared, metrics), clock, metrics)


class StoreClocksTest(unittest.TestCase):
    def test_new_instance_does_not_wait_for_expired_machine_lease(self) -> None:
        async def scenario(shared: SharedStore) -> None:
            clock = LoopClock(get_running_loop())
            first = make_load_registry(shared, clock)
            await first.refresh()
            await first.claim_move(MACHINE, PoolId("labels"), "n0")
            await sleep(1.0)
            before_expiry = make_load_registry(shared, ShiftedClock(get_running_loop()))
            await before_expiry.refresh()
            self.assertFalse(
                before_expiry.can_order(MACHINE, "n1", MACHINE_LEASE_SECONDS)
            )
            self.assertEqual(before_expiry.count_incoming(), {PoolId("labels"): 1})
            await sleep(3.0)
            after_expiry = make_load_registry(shared, ShiftedClock(get_running_loop()))
            await after_expiry.refresh()
            self.assertTrue(
                after_expiry.can_order(MACHINE, "n1", MACHINE_LEASE_SECONDS)
            )
            self.assertEqual(after_expiry.count_incoming(), {})

        simulate(scenario)

    def test_new_instance_restores_the_deadline_of_a_wave(self) -> None:
        async def scenario(shared: SharedStore) -> None:
            wave = WaveRequest(
                wave=7, machines=(MACHINE,), duration=30.0, max_concurrent=1
            )
            metrics = MetricsRegistry()
            store = EmulatedStore(shared, metrics)
            clock = LoopClock(get_running_loop())
            first = await WaveStore(store, FakeReader(), clock).read(wave)
            await sleep(20.0)
            shifted_clock = ShiftedClock(get_running_loop())
            second = await WaveStore(store, FakeReader(), shifted_clock).read(wave)
            self.assertAlmostEqual(second.deadline - 7200.0, first.deadline, delta=0.1)

        simulate(scenario)
