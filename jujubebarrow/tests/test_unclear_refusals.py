"""Failures of transactions that may have been sent, and count as not applied."""

import unittest
from asyncio import Task, create_task, sleep
from unittest.mock import patch

from jujubebarrow.clocks.boot_clocks import BootClock
from jujubebarrow.errors.exceptions import InvalidCallError, RefusalError, StoreError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.identifiers import JobId
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.logs.event_logs import EventLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.stores import PlatformStore
from jujubebarrow.runtimes.job_row_keys import make_progress_key
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.read_throttles import ReadThrottle
from jujubebarrow.stores.relay_messages import encode_call, encode_commit, execute_call
from jujubebarrow.stores.relayed_stores import RelayedStore
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import QUEUE, TEAM, JobCluster
from jujubebarrow.tests.fakes.resetting_servers import ResettingServer

LINK_MBPS = 100.0
LATE_SECONDS = 4.0
"""Time after which a transaction without a response is applied."""
JOB = Transaction(
    conditions={"jobs/q/0123456789abcdef": ABSENT_REVISION},
    writes={"jobs/q/0123456789abcdef": {}},
    nonce="n",
)


class FailingStore:
    """Fails after it has sent a transaction."""

    async def try_commit(self, transaction: Transaction) -> None:
        raise KeyError("Ver")


class UnclearRefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_error_after_a_relayed_transaction_is_not_an_unreadable_call(
        self,
    ) -> None:
        # An unreadable call is answered 400, which tells that nothing was sent.
        with self.assertRaises(KeyError):
            await execute_call(encode_commit(JOB), FailingStore())  # type: ignore[arg-type]

    async def test_unreadable_relayed_calls_are_still_told(self) -> None:
        for call in (
            encode_call("commit"),
            encode_call("commit", transaction={"writes": 1}),
            encode_call("page", prefix="p"),
            encode_call("mystery"),
        ):
            with self.subTest(call=call), self.assertRaises(ValueError):
                await execute_call(call, FailingStore())  # type: ignore[arg-type]

    async def test_status_that_the_store_does_not_define_leaves_a_commit_unknown(
        self,
    ) -> None:
        server = ResettingServer(lambda request: (404, b""))
        self.addAsyncCleanup(server.close)
        metrics, clock = MetricsRegistry(), BootClock()
        backlog = LinkBacklog(LINK_MBPS, clock)
        meter = LinkMeter(LINK_MBPS, backlog, EventLog(clock, metrics), metrics)
        throttle = ReadThrottle(LINK_MBPS, metrics)
        store = PlatformStore(await server.open(), throttle, meter, metrics)
        self.addCleanup(store.close)
        with self.assertRaises(StoreError) as caught:
            await store.commit(JOB)
        self.assertTrue(caught.exception.may_have_applied)


class UnclearProgressTest(JobCase):
    """Progress whose transaction gets no response and whose repeat is refused."""

    def run_job(self, is_applied: bool) -> list[str]:
        """Run a job whose first transaction is unclear; return the logged events."""
        results: list[Exception] = [
            StoreError("no response"),
            InvalidCallError("status 413"),
        ]
        commit = RelayedStore.commit

        async def commit_unclearly(
            store: RelayedStore, transaction: Transaction
        ) -> int:
            prefix = make_progress_key(QUEUE, "")  # type: ignore[arg-type]
            has_progress = any(key.startswith(prefix) for key in transaction.writes)
            if not has_progress or not results:
                return await commit(store, transaction)
            if is_applied and len(results) == 2:
                await commit(store, transaction)
            raise results.pop(0)

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            with patch.object(RelayedStore, "commit", commit_unclearly):
                await cluster.submit(1)
                await sleep(20.0)
            self.assertEqual(results, [])
            self.assertEqual(len(cluster.list_runs()), 2)

        cluster = self.run_scenario(scenario)
        return [line["event"] for log in cluster.logs for line in log.lines]

    def test_stored_progress_whose_repeat_is_refused_displaces_no_owner(self) -> None:
        events = self.run_job(is_applied=True)
        self.assertNotIn("fence_lost", events)
        self.assertNotIn("progress_refused", events)

    def test_progress_that_was_not_stored_is_set_aside_when_it_is_refused(self) -> None:
        events = self.run_job(is_applied=False)
        self.assertNotIn("fence_lost", events)
        self.assertIn("progress_refused", events)


class LateSubmissionTest(JobCase):
    def test_job_that_is_stored_after_its_cancellation_does_not_run(self) -> None:
        """Guards against a cancellation that forgets a submission under way."""
        commit = RelayedStore.try_commit

        async def scenario(cluster: JobCluster) -> None:
            late: list[Task[CommitResult]] = []

            async def commit_late(
                store: RelayedStore, transaction: Transaction
            ) -> CommitResult:
                async def apply() -> CommitResult:
                    await sleep(LATE_SECONDS)
                    return await commit(store, transaction)

                if not late:
                    late.append(create_task(apply()))
                raise StoreError("no response")

            await sleep(3.0)
            intake = cluster.instances[0].node.intake  # type: ignore[union-attr]
            with patch.object(RelayedStore, "try_commit", commit_late):
                with self.assertRaises(RefusalError) as caught:
                    await cluster.submit(1)
                self.assertIs(caught.exception.run, RunState.UNKNOWN)
            with self.assertRaises(RefusalError) as caught:
                await intake.cancel(cluster.route, TEAM, JobId(f"{1:016x}"))
            self.assertIs(caught.exception.kind, ErrorKind.NOT_FOUND)
            await late[0]
            await sleep(10.0)
            self.assertEqual(cluster.list_runs(), [])

        self.run_scenario(scenario)
