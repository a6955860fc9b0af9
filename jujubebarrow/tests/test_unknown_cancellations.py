"""Cancellations of jobs that are not stored, or not yet.

The tests guard against a job that runs although its cancelling was answered, since its
submission was under way, and against what stored cancellations could do to others.
"""

from asyncio import gather, sleep
from unittest.mock import patch

from jujubebarrow.errors.exceptions import RefusalError, StoreError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.identifiers import JobId, TeamId
from jujubebarrow.platform.callers import _find_status
from jujubebarrow.runtimes.cancellation_sweepers import (
    PERIOD_SECONDS,
    RETENTION_SECONDS,
)
from jujubebarrow.runtimes.job_intakes import UNKNOWN_CANCEL_LIMIT, JobIntake
from jujubebarrow.runtimes.job_row_keys import make_unknown_cancellation_key
from jujubebarrow.stores.relayed_stores import RelayedStore
from jujubebarrow.stores.row_keys import TableName
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import QUEUE, TEAM, JobCluster

JOB = JobId(f"{1:016x}")
OTHER_TEAM = TeamId("reef-packers")
SWEEP_SECONDS = RETENTION_SECONDS + 2 * PERIOD_SECONDS + 1.0
"""Time after which a cancellation has been deleted."""


def find_intake(cluster: JobCluster, instance: int = 0) -> JobIntake:
    node = cluster.instances[instance].node
    assert node is not None
    return node.intake


def list_cancellations(cluster: JobCluster) -> list[str]:
    rows = cluster.store.table.read(f"{TableName.CANCELLATIONS.value}/").rows
    return [row.key for row in rows]


class UnknownCancellationTest(JobCase):
    async def cancel(
        self,
        cluster: JobCluster,
        team: TeamId = TEAM,
        job: JobId = JOB,
        instance: int = 0,
    ) -> RefusalError:
        """Cancel an unknown job; return the refusal."""
        with self.assertRaises(RefusalError) as caught:
            await find_intake(cluster, instance).cancel(cluster.route, team, job)
        return caught.exception

    async def check_cancelled(self, cluster: JobCluster, instance: int = 0) -> None:
        """Check that a submission of the job tells that the job never runs."""
        with self.assertRaises(RefusalError) as caught:
            await cluster.submit(1, instance=instance)
        self.assertIs(caught.exception.kind, ErrorKind.CANCELLED)
        self.assertIs(caught.exception.run, RunState.NOT_RUN)
        self.assertEqual(_find_status(caught.exception), 503)

    def test_submission_after_the_cancellation_is_refused(self) -> None:
        """Guards against an untrue success for a job that is not stored."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            error = await self.cancel(cluster)
            self.assertIs(error.kind, ErrorKind.NOT_FOUND)
            self.assertEqual(_find_status(error), 410)
            await self.check_cancelled(cluster, 1)
            with self.assertRaises(RefusalError) as caught:
                await cluster.read_phase(JOB)
            self.assertIs(caught.exception.kind, ErrorKind.NOT_FOUND)
            await sleep(5.0)
            self.assertEqual(cluster.list_runs(), [])

        self.run_scenario(scenario)

    def test_cancellation_of_another_team_keeps_no_job_out(self) -> None:
        """Guards against a team that takes the ids of another one."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            await self.cancel(cluster, OTHER_TEAM)
            await cluster.submit(1)
            self.assertTrue(await cluster.wait_for_phase(JOB, "completed", 10.0))

        self.run_scenario(scenario)

    def test_repeat_of_an_accepted_job_is_not_refused(self) -> None:
        """Guards against a refusal of a job that is stored."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            await cluster.submit(1)
            error = await self.cancel(cluster, OTHER_TEAM)
            self.assertIs(error.kind, ErrorKind.NOT_FOUND)
            await cluster.submit(1, instance=1)
            await cluster.cancel(JOB)
            await cluster.submit(1, instance=1)
            self.assertEqual(list_cancellations(cluster), [])

        self.run_scenario(scenario)

    def test_job_that_is_stored_during_its_cancellation_is_cancelled(self) -> None:
        """Guards against a cancellation that sees the job too early."""
        read = RelayedStore.read

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            key = make_unknown_cancellation_key(QUEUE, JOB, TEAM)

            async def read_late(store: RelayedStore, prefix: str, *rest: int) -> object:
                if prefix == key:
                    await cluster.submit(1, instance=1)
                return await read(store, prefix, *rest)

            with patch.object(RelayedStore, "read", read_late):
                await cluster.cancel(JOB)
            self.assertEqual(list_cancellations(cluster), [])
            self.assertTrue(await cluster.wait_for_phase(JOB, "cancelled", 5.0))

        self.run_scenario(scenario)

    def test_either_the_submission_or_the_cancellation_comes_first(self) -> None:
        """Guards against both being answered as if the other one did not exist."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            for number in range(10, 40):
                job = JobId(f"{number:016x}")
                delay = (number - 25) * 0.001

                async def submit(number: int = number, delay: float = delay) -> None:
                    await sleep(max(0.0, delay))
                    await cluster.submit(number)

                async def cancel(job: JobId = job, delay: float = delay) -> None:
                    await sleep(max(0.0, -delay))
                    await cluster.cancel(job, 1)

                results = await gather(submit(), cancel(), return_exceptions=True)
                kinds = [getattr(error, "kind", None) for error in results]
                both = [ErrorKind.CANCELLED, ErrorKind.NOT_FOUND]
                self.assertIn(kinds, ([None, None], both))
                if kinds == [None, None]:
                    phase = await cluster.wait_for_phase(job, "cancelled", 5.0)
                    self.assertTrue(phase)

        self.run_scenario(scenario)

    def test_cancellation_that_the_store_does_not_answer_is_unknown(self) -> None:
        """Guards against an answer that the job does not exist and never will."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)

            async def fail(store: RelayedStore, transaction: Transaction) -> None:
                raise StoreError("no response")

            with patch.object(RelayedStore, "try_commit", fail):
                error = await self.cancel(cluster)
            self.assertIs(error.kind, ErrorKind.RUN_UNKNOWN)
            self.assertEqual(_find_status(error), 504)

        self.run_scenario(scenario)

    def test_cancellations_are_deleted_after_their_time(self) -> None:
        """Guards against rows that stay for good."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            await self.cancel(cluster)
            self.assertEqual(len(list_cancellations(cluster)), 1)
            await sleep(RETENTION_SECONDS - 1.0)
            await self.check_cancelled(cluster)
            await sleep(SWEEP_SECONDS - RETENTION_SECONDS)
            self.assertEqual(list_cancellations(cluster), [])
            await cluster.submit(1)
            self.assertTrue(await cluster.wait_for_phase(JOB, "completed", 10.0))

        self.run_scenario(scenario)

    def test_repeated_cancellation_is_kept_for_the_whole_time(self) -> None:
        """Guards against a late submission after a later answer."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            await self.cancel(cluster)
            await sleep(RETENTION_SECONDS - 1.0)
            await self.cancel(cluster)
            await sleep(RETENTION_SECONDS - 1.0)
            await self.check_cancelled(cluster)

        self.run_scenario(scenario)

    def test_team_can_store_a_limited_number_of_cancellations(self) -> None:
        """Guards against a caller that fills the store with cancellations."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            for number in range(UNKNOWN_CANCEL_LIMIT):
                error = await self.cancel(cluster, job=JobId(f"{number:016x}"))
                self.assertIs(error.kind, ErrorKind.NOT_FOUND)
            error = await self.cancel(cluster, job=JobId("f" * 16))
            self.assertIs(error.kind, ErrorKind.TEAM_LIMIT)
            assert error.retry_after is not None
            self.assertEqual(_find_status(error), 429)
            self.assertEqual(len(list_cancellations(cluster)), UNKNOWN_CANCEL_LIMIT)
            error = await self.cancel(cluster, OTHER_TEAM)
            self.assertIs(error.kind, ErrorKind.NOT_FOUND)
            await sleep(error.retry_after or RETENTION_SECONDS)
            error = await self.cancel(cluster, job=JobId("f" * 16))
            self.assertIs(error.kind, ErrorKind.NOT_FOUND)

        self.run_scenario(scenario)
