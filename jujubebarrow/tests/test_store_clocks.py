"""What an instance knows of orders that were given before it started."""

import unittest
from asyncio import get_running_loop, sleep
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.identifiers import PoolId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.load_boards import LoadBoard
from jujubebarrow.runtimes.wave_stores import WaveStore
from jujubebarrow.standins.emulated_stores import EmulatedStore, SharedStore
from jujubebarrow.tests.fakes.fake_documents import FakeReader
from jujubebarrow.tests.fakes.virtual_loops import LoopClock, run_virtual
from jujubebarrow.workloads.identifiers import MachineId

MACHINE = MachineId("m-1")
MACHINE_LEASE = 3.0


class ShiftedClock(LoopClock):
    """Clock of another machine, hours away from the store's."""

    def monotonic(self) -> float:
        return super().monotonic() + 7200.0


def play(story: Callable[[SharedStore], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        await story(SharedStore(Random(1)))

    run_virtual(main())


def open_board(shared: SharedStore, clock: LoopClock) -> LoadBoard:
    metrics = MetricsRegistry()
    return LoadBoard(EmulatedStore(shared, metrics), clock, metrics)


class StoreClocksTest(unittest.TestCase):
    def test_a_new_instance_waits_for_no_move_ordered_long_ago(self) -> None:
        async def story(shared: SharedStore) -> None:
            clock = LoopClock(get_running_loop())
            first = open_board(shared, clock)
            await first.refresh()
            await first.claim_move(MACHINE, PoolId("labels"), "n0")
            await sleep(1.0)
            early = open_board(shared, ShiftedClock(get_running_loop()))
            await early.refresh()
            self.assertFalse(early.may_order(MACHINE, "n1", MACHINE_LEASE))
            self.assertEqual(early.count_under_way(), {PoolId("labels"): 1})
            await sleep(3.0)
            late = open_board(shared, ShiftedClock(get_running_loop()))
            await late.refresh()
            self.assertTrue(late.may_order(MACHINE, "n1", MACHINE_LEASE))
            self.assertEqual(late.count_under_way(), {})

        play(story)

    def test_a_new_instance_knows_how_much_time_a_wave_has_left(self) -> None:
        async def story(shared: SharedStore) -> None:
            wave = WaveRequest(
                wave=7, machines=(MACHINE,), duration=30.0, most_at_once=1
            )
            metrics = MetricsRegistry()
            store = EmulatedStore(shared, metrics)
            clock = LoopClock(get_running_loop())
            first = await WaveStore(store, FakeReader(), clock).read(wave)
            await sleep(20.0)
            other = ShiftedClock(get_running_loop())
            second = await WaveStore(store, FakeReader(), other).read(wave)
            self.assertAlmostEqual(second.deadline - 7200.0, first.deadline, delta=0.1)

        play(story)
