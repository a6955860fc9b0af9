"""Reads of the pools' loads and moves.

Guards against reads that grow with the number of machines that have ever moved: an
owner repeats them several times a second, on a link that also carries its starts.
"""

import unittest
from asyncio import get_running_loop, sleep
from random import Random

from jujubebarrow.identifiers import PoolId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.runtimes.load_registries import LoadRegistry
from jujubebarrow.standins.emulated_stores import EmulatedStore, SharedStore
from jujubebarrow.tests.fakes.virtual_loops import LoopClock, run_virtual
from jujubebarrow.workloads.identifiers import MachineId, WorkerId

POOL = PoolId("labels")
LOAD = PoolLoad(pool=POOL, demand=9, capacity=8, machines=1, movable=0)
MACHINE_COUNT = 50


class LoadReadTest(unittest.TestCase):
    def test_read_without_a_change_has_no_rows_of_former_moves(self) -> None:
        async def scenario() -> None:
            shared = SharedStore(Random(1))
            writer, reader = self._make(shared), self._make(shared)
            for registry, _ in (writer, reader):
                await registry.refresh()
            machines = {MachineId(f"m{n}"): POOL for n in range(MACHINE_COUNT)}
            await writer[0].claim_moves(machines, "n1")
            await writer[0].write_load(LOAD)
            await sleep(0.2)
            await reader[0].refresh()
            self.assertEqual(reader[0].count_incoming(), {POOL: MACHINE_COUNT})
            self.assertIn(POOL, reader[0].loads)
            read_bytes = reader[1].read_bytes
            await sleep(0.2)
            await reader[0].refresh()
            self.assertEqual(reader[1].read_bytes, read_bytes)
            self.assertIn(POOL, reader[0].loads)

        run_virtual(scenario())

    def test_lost_history_and_long_pauses_lead_to_a_read_of_all_rows(self) -> None:
        async def scenario() -> None:
            shared = SharedStore(Random(1))
            writer, reader = self._make(shared), self._make(shared)
            await reader[0].refresh()
            await writer[0].refresh()
            for pause in (0.2, 7.0):
                await writer[0].claim_moves({MachineId(f"m{pause}"): POOL}, "n1")
                await writer[0].write_load(LOAD)
                shared.oldest_readable_revision = shared.table.revision
                await sleep(pause)
                await writer[0].write_load(LOAD)
                await reader[0].refresh()
                self.assertIn(POOL, reader[0].loads)
                self.assertFalse(reader[0].can_order(MachineId(f"m{pause}"), "n2", 60))

        run_virtual(scenario())

    def test_moves_and_their_workers_are_reported_once_to_each_instance(self) -> None:
        async def scenario() -> None:
            shared = SharedStore(Random(1))
            reported: list[tuple[str, ...]] = []
            store = EmulatedStore(shared, MetricsRegistry())
            clock = LoopClock(get_running_loop())
            reader = LoadRegistry(
                store, clock, MetricsRegistry(), lambda *move: reported.append(move)
            )
            writer, _ = self._make(shared)
            await writer.refresh()
            machines = {MachineId("m1"): POOL, MachineId("m2"): POOL}
            workers = {MachineId("m1"): WorkerId("w1")}
            await writer.claim_moves(machines, "n1", workers)
            for _ in range(3):
                await sleep(0.2)
                await reader.refresh()
            moves = [("m1", "w1", POOL), ("m2", "", POOL)]
            self.assertEqual(reported, moves)
            # All rows are read again.
            await sleep(7.0)
            await reader.refresh()
            self.assertEqual(reported, moves)

        run_virtual(scenario())

    def _make(self, shared: SharedStore) -> tuple[LoadRegistry, EmulatedStore]:
        metrics = MetricsRegistry()
        store = EmulatedStore(shared, metrics)
        return LoadRegistry(store, LoopClock(get_running_loop()), metrics), store
