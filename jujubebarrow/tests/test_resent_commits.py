"""Transactions that the HTTP client sends twice as a connection is reset."""

import unittest
from unittest import mock

import cbor2

from jujubebarrow.clocks.boot_clocks import BootClock
from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.identifiers import InstanceId, PoolId
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.logs.event_logs import EventLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.stores import COMMIT_PATH, PlatformStore
from jujubebarrow.runtimes.load_registries import LoadRegistry
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.read_throttles import ReadThrottle
from jujubebarrow.stores.relay_messages import encode_commit
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.tests.fakes.platform_tables import PlatformTable
from jujubebarrow.tests.fakes.resetting_servers import ResettingServer, ServerRequest
from jujubebarrow.transports.http_relays import HttpRelayClient
from jujubebarrow.workloads.identifiers import MachineId

LINK_MBPS = 100.0
JOB = Transaction(
    conditions={"jobs/q/0123456789abcdef": ABSENT_REVISION},
    writes={"jobs/q/0123456789abcdef": {}},
    nonce="n",
)
WARM_UP = "apply"
APPLY_AND_RESET = "apply, reset"
REFUSALS = (429, 503, 403)


class ScriptedTable:
    """Store of which a script tells what becomes of each transaction.

    Args:
        script: Result of each transaction: `WARM_UP`, `APPLY_AND_RESET` or the status
            of a refusal; the last one holds for all that follow.
        read_status: Status of the reads.
    """

    def __init__(self, script: list[str | int], read_status: int = 200):
        self._script = script
        self._read_status = read_status
        self._table = PlatformTable()

    @property
    def row_count(self) -> int:
        return len(self._table.rows)

    async def respond(self, request: ServerRequest) -> tuple[int, bytes] | None:
        if request.target != COMMIT_PATH and self._read_status != 200:
            return self._read_status, b"{}"
        step = self._script.pop(0) if len(self._script) > 1 else self._script[0]
        if isinstance(step, int):
            return step, b"{}"
        response = await self._table.respond(request.target, request.body)
        return None if step == APPLY_AND_RESET else response


class ResentCommitTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.metrics, clock = MetricsRegistry(), BootClock()
        log = EventLog(clock, self.metrics)
        self.meter = LinkMeter(
            LINK_MBPS, LinkBacklog(LINK_MBPS, clock), log, self.metrics
        )

    async def open_store(self, table: ScriptedTable) -> PlatformStore:
        """Return a client that keeps a connection to the table."""
        server = ResettingServer(table.respond)
        self.addAsyncCleanup(server.close)
        throttle = ReadThrottle(LINK_MBPS, self.metrics)
        store = PlatformStore(await server.open(), throttle, self.meter, self.metrics)
        self.addCleanup(store.close)
        await store.commit(Transaction(writes={"jobs/q/warm": {}}, nonce="w"))
        return store

    async def find_error(self, store: PlatformStore) -> StoreError | None:
        try:
            await store.commit(JOB)
        except StoreError as error:
            return error
        return None

    async def test_applied_commit_whose_second_copy_is_refused_is_not_rejected(
        self,
    ) -> None:
        for status in REFUSALS:
            with self.subTest(status=status):
                table = ScriptedTable([WARM_UP, APPLY_AND_RESET, status])
                error = await self.find_error(await self.open_store(table))
                self.assertEqual(table.row_count, 2)
                assert error is not None
                self.assertTrue(error.may_have_applied, error)

    async def test_commit_found_by_its_nonce_needs_no_read(self) -> None:
        for status in (429, 503):
            with self.subTest(status=status):
                script: list[str | int] = [WARM_UP, APPLY_AND_RESET, WARM_UP]
                table = ScriptedTable(script, read_status=status)
                error = await self.find_error(await self.open_store(table))
                self.assertEqual(table.row_count, 2)
                self.assertIsNone(error)

    async def test_commit_found_by_its_nonce_is_not_rejected_for_a_failed_read(
        self,
    ) -> None:
        store = await self.open_store(ScriptedTable([WARM_UP]))
        applied = CommitResult(revision=2, nonces=dict.fromkeys(JOB.writes, JOB.nonce))
        rejected = StoreError("status 503", False)
        with (
            mock.patch.object(store, "try_commit", return_value=applied),
            mock.patch.object(store, "read", side_effect=rejected),
        ):
            error = await self.find_error(store)
        assert error is not None
        self.assertTrue(error.may_have_applied, error)

    async def test_claim_of_moves_found_by_its_nonce_is_no_conflict(self) -> None:
        store = await self.open_store(
            ScriptedTable([WARM_UP, APPLY_AND_RESET, WARM_UP])
        )
        registry = LoadRegistry(store, BootClock(), self.metrics)
        targets = {MachineId("m1"): PoolId("labels")}
        token = await registry.claim_moves(targets, InstanceId("a-1"))
        self.assertEqual(token, 2)

    async def test_refusal_for_the_content_does_not_settle_an_earlier_attempt(
        self,
    ) -> None:
        # The second copy is reset as well, so that the attempt gets no response.
        script: list[str | int] = [WARM_UP, APPLY_AND_RESET, APPLY_AND_RESET, 403]
        table = ScriptedTable(script)
        error = await self.find_error(await self.open_store(table))
        self.assertEqual(table.row_count, 2)
        assert error is not None
        self.assertTrue(error.may_have_applied, error)

    async def test_commit_that_was_sent_once_and_refused_is_rejected(self) -> None:
        for status in REFUSALS:
            with self.subTest(status=status):
                table = ScriptedTable([WARM_UP, status])
                error = await self.find_error(await self.open_store(table))
                assert error is not None
                self.assertFalse(error.may_have_applied, error)

    async def test_refusal_of_a_second_copy_by_a_relay_is_not_a_rejection(self) -> None:
        rejected = {"error": "no direct path", "may_have_applied": False}
        refusals = (
            (404, b""),
            (400, b""),
            (200, cbor2.dumps(rejected)),
            (200, cbor2.dumps(rejected | {"is_invalid": True})),
        )
        for status, body in refusals:
            with self.subTest(status=status, body=body):
                first = 200, cbor2.dumps({"answer": {"revision": 1}})
                responses = [first, None, (status, body)]
                server = ResettingServer(lambda _, left=responses: left.pop(0))
                self.addAsyncCleanup(server.close)
                address = await server.open()
                relay = HttpRelayClient(self.meter)
                self.addCleanup(relay.close)
                await relay.call(address, encode_commit(JOB), 0.0)
                with self.assertRaises(StoreError) as caught:
                    await relay.call(address, encode_commit(JOB), 0.0)
                self.assertEqual(responses, [])
                self.assertTrue(caught.exception.may_have_applied)
