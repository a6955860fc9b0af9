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
from jujubebarrow.identifiers import JobId, PoolId, QueueId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_listeners import JobListener
from jujubebarrow.runtimes.job_watchers import JobWatcher
from jujubebarrow.runtimes.load_registries import LoadRegistry
from jujubebarrow.runtimes.wave_stores import WaveStore
from jujubebarrow.standins.emulated_stores import EmulatedStore, SharedStore
from jujubebarrow.tests.fakes.fake_documents import FakeReader, ListLog
from jujubebarrow.tests.fakes.virtual_loops import LoopClock, run_virtual
from jujubebarrow.workloads.identifiers import MachineId
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.task_keys import TaskKey

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


def make_job_watcher(shared: SharedStore, clock: LoopClock) -> JobWatcher:
    metrics = MetricsRegistry()
    store = EmulatedStore(shared, metrics)
    watcher = JobWatcher(store, clock, ListLog(), metrics)
    watcher.add_listener(IgnoringListener())
    return watcher


class IgnoringListener(JobListener):
    def on_job_accepted(self, record: JobRecord) -> None:
        pass

    def on_task_done_elsewhere(self, task: TaskKey) -> None:
        pass

    def on_job_cancelled(self, queue: QueueId, job: JobId) -> None:
        pass

    def on_history_lost(self) -> None:
        pass


class StoreClocksTest(unittest.TestCase):
    def test_time_of_a_report_is_never_later_than_the_store_clock(self) -> None:
        async def scenario(shared: SharedStore) -> None:
            loop = get_running_loop()
            shared.extra_delay_seconds = 0.3
            watcher = make_job_watcher(shared, ShiftedClock(loop))
            watcher.open()
            await sleep(1.0)
            for _ in range(200):
                store_time = watcher.read_store_time()
                assert store_time is not None
                self.assertLessEqual(store_time, loop.time())
                self.assertGreater(store_time, loop.time() - 0.1)
                await sleep(0.05)
            await watcher.close()

        simulate(scenario)

    def test_no_report_while_feed_is_behind(self) -> None:
        async def scenario(shared: SharedStore) -> None:
            loop = get_running_loop()
            watcher = make_job_watcher(shared, ShiftedClock(loop))
            self.assertIsNone(watcher.read_store_time())
            watcher.open()
            await sleep(1.0)
            self.assertIsNotNone(watcher.read_store_time())
            shared.is_down = True
            await sleep(3.0)
            self.assertIsNone(watcher.read_store_time())
            shared.is_down = False
            await sleep(4.0)
            self.assertIsNotNone(watcher.read_store_time())
            await watcher.close()

        simulate(scenario)

    def test_new_instance_does_not_wait_for_expired_machine_lease(self) -> None:
        async def scenario(shared: SharedStore) -> None:
            clock = LoopClock(get_running_loop())
            first = make_load_registry(shared, clock)
            await first.refresh()
            await first.claim_moves({MACHINE: PoolId("labels")}, "n0")
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
