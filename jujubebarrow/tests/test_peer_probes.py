"""Probes of instances whose heartbeats are overdue, and the revocation of leases."""

import unittest
from asyncio import sleep
from contextlib import AsyncExitStack
from socket import socket

from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.ownership_rows import InstanceRow
from jujubebarrow.ownerships.peer_probes import ProbeOutcome
from jujubebarrow.runtimes.heartbeat_watchers import make_heartbeat_key, make_spare_key
from jujubebarrow.standins.ports import LOOPBACK, find_ports
from jujubebarrow.stores.row_keys import TableName
from jujubebarrow.tests.fakes.job_clusters import POOL
from jujubebarrow.tests.fakes.ownership_fleets import Member, OwnershipFleet
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.tests.test_restarted_workers import OPTIONS
from jujubebarrow.transports.http_probes import PROBE_PATH, HttpPeerProbe, ProbeHandler
from jujubebarrow.transports.http_servers import HttpListener
from jujubebarrow.transports.path_handlers import PathHandler
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId

INSTANCE = InstanceId("n1")
INCARNATION = IncarnationId("n1-1")
BODY_LIMIT_BYTES = 1000
SETTLED_SECONDS = 20.0
CHECK_SECONDS = 0.02
PURGED_SECONDS = 100.0
"""Time after which the heartbeats of lost instances are deleted."""
SILENCE_SECONDS = 1.6
"""Silence in which a lease is revoked that has not ended yet."""
OBSERVED_SECONDS = 6.0
"""Several leases."""


class HttpPeerProbeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.is_failing = False
        port, self.other_port = find_ports(2)
        self.address = f"{LOOPBACK}:{port}"
        handler = ProbeHandler(INCARNATION, lambda: self.is_failing)
        listener = HttpListener(
            self.address,
            PathHandler({PROBE_PATH: handler}),
            MetricsRegistry(),
            BODY_LIMIT_BYTES,
        )
        self.stack.push_async_callback(listener.close)
        self.client = HttpPeerProbe()
        self.stack.callback(self.client.close)

    async def probe(
        self, address: str = "", incarnation: IncarnationId = INCARNATION
    ) -> ProbeOutcome:
        row = InstanceRow(INSTANCE, incarnation, False, address or self.address, 1)
        return await self.client.probe(row)

    async def test_live_instance_is_not_taken_for_lost(self) -> None:
        for _ in range(3):
            self.assertIs(await self.probe(), ProbeOutcome.RENEWS)

    async def test_instance_that_cannot_renew_its_lease_says_so(self) -> None:
        self.is_failing = True
        self.assertIs(await self.probe(), ProbeOutcome.FAILS_TO_RENEW)

    async def test_run_that_was_followed_by_another_is_gone(self) -> None:
        outcome = await self.probe(incarnation=IncarnationId("n1-0"))
        self.assertIs(outcome, ProbeOutcome.GONE)

    async def test_run_that_listens_no_more_is_gone(self) -> None:
        outcome = await self.probe(f"{LOOPBACK}:{self.other_port}")
        self.assertIs(outcome, ProbeOutcome.GONE)

    async def test_instance_that_accepts_a_connection_and_is_silent_is_not_gone(
        self,
    ) -> None:
        listening = self.stack.enter_context(socket())
        listening.bind((LOOPBACK, self.other_port))
        listening.listen()
        outcome = await self.probe(f"{LOOPBACK}:{self.other_port}")
        self.assertIs(outcome, ProbeOutcome.UNANSWERED)

    async def test_earlier_build_without_probes_is_not_taken_for_lost(self) -> None:
        listener = HttpListener(
            f"{LOOPBACK}:{self.other_port}",
            PathHandler({}),
            MetricsRegistry(),
            BODY_LIMIT_BYTES,
        )
        self.stack.push_async_callback(listener.close)
        outcome = await self.probe(f"{LOOPBACK}:{self.other_port}")
        self.assertIs(outcome, ProbeOutcome.RENEWS)


class RevokedLeaseTest(unittest.TestCase):
    async def _start_fleet(self) -> tuple[OwnershipFleet, Member]:
        fleet = OwnershipFleet(10)
        await fleet.start()
        await sleep(SETTLED_SECONDS)
        return fleet, next(one for one in fleet.members if one.duties)

    def _find_heartbeat(self, fleet: OwnershipFleet, member: Member) -> dict:
        rows = [
            row
            for key in (make_heartbeat_key(member.name), make_spare_key(member.name))
            for row in fleet.shared.table.read(key).rows
            if not row.value["blocked"]
        ]
        return max(rows, key=lambda row: row.revision).value

    def test_owner_that_does_not_read_who_has_its_duty_stops_after_a_revocation(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet, owner = await self._start_fleet()
            owner.is_isolated = owner.store.is_disconnected = True
            await sleep(SILENCE_SECONDS)
            self.assertTrue(self._find_heartbeat(fleet, owner)["revoked"])
            owner.is_isolated = owner.store.is_disconnected = False
            owner.store.unreadable_tables.add(TableName.CONTROL.value)
            self.assertEqual(await fleet.watch(OBSERVED_SECONDS), [])
            self.assertFalse(self._find_heartbeat(fleet, owner)["revoked"])
            await fleet.kill()

        run_virtual(scenario())

    def test_owner_whose_partition_does_not_answer_keeps_its_duties(self) -> None:
        async def scenario() -> None:
            fleet, owner = await self._start_fleet()
            duties = owner.duties
            claim_count = fleet.claim_count
            fleet.shared.unavailable_partitions.add(owner.name)
            for _ in range(round(2 * OBSERVED_SECONDS / CHECK_SECONDS)):
                await sleep(CHECK_SECONDS)
                self.assertEqual(owner.duties, duties)
            fleet.shared.unavailable_partitions.clear()
            await sleep(OBSERVED_SECONDS)
            self.assertEqual(fleet.claim_count, claim_count)
            await fleet.kill()

        run_virtual(scenario())

    def test_lost_owner_is_replaced_after_it_has_used_both_partitions(self) -> None:
        async def scenario() -> None:
            fleet, owner = await self._start_fleet()
            fleet.shared.unavailable_partitions.add(owner.name)
            await sleep(OBSERVED_SECONDS)
            fleet.shared.unavailable_partitions.clear()
            await sleep(OBSERVED_SECONDS)
            await owner.kill()
            await sleep(SILENCE_SECONDS)
            self.assertTrue(self._find_heartbeat(fleet, owner)["revoked"])
            await sleep(PURGED_SECONDS)
            for key in (make_heartbeat_key(owner.name), make_spare_key(owner.name)):
                self.assertEqual(fleet.shared.table.read(key).rows, [])
            await fleet.kill()

        run_virtual(scenario())

    def test_live_owner_with_late_heartbeats_keeps_its_duties(self) -> None:
        async def scenario() -> None:
            fleet, owner = await self._start_fleet()
            claim_count = fleet.claim_count
            for _ in range(5):
                owner.store.is_running.clear()
                await sleep(SILENCE_SECONDS)
                owner.store.is_running.set()
                await sleep(3.0)
            self.assertEqual(fleet.claim_count, claim_count)
            await fleet.kill()

        run_virtual(scenario())

    def test_takeover_of_a_revoked_lease_counts_the_orders_until_its_end(self) -> None:
        early = PoolState(POOL, FenceToken(8), OPTIONS, 10.0, 11.5)
        late = PoolState(POOL, FenceToken(8), OPTIONS, 11.5)
        worker = early.ensure_worker(WorkerId("w0"))
        self.assertEqual(early.former_starts_end, late.former_starts_end)
        self.assertEqual(early.former_leases_end, late.former_leases_end)
        self.assertEqual(
            early.find_late_expiry(worker),
            late.find_late_expiry(late.ensure_worker(WorkerId("w0"))),
        )
