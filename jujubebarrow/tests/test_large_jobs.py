"""Jobs whose stored progress would exceed the limits of the store.

The tests guard against accepted jobs that never run, and against jobs that never run
because the store refuses what it is to store for another job of their queue.
"""

import unittest
from asyncio import sleep
from typing import Any

import cbor2

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.errors.exceptions import (
    InvalidCallError,
    RefusalError,
    StoreError,
)
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.identifiers import JobId, PoolId, TeamId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_row_keys import make_progress_key
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.relay_messages import decode_response, encode_commit
from jujubebarrow.stores.relay_messages import execute_call as execute_relayed_call
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import QUEUE, JobCluster
from jujubebarrow.tests.fakes.scripted_clients import (
    ScriptedStoreClient,
    make_scripted_store,
)
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.transports.http_clients import ClientResponse
from jujubebarrow.workloads.identifiers import (
    FenceToken,
    RunNumber,
    WorkerIncarnation,
)
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.task_keys import TaskKey

SMALL = Resources(1000, 4)
LARGE_CAPACITY = Resources(2_000_000, 1_000_000)
QUICK = TaskBehaviour(seconds=0.5)
FINISH_SECONDS = 14.0
CHECKPOINT = "00000bb87a21d94b"


def enlarge_workers(cluster: JobCluster) -> None:
    for name, worker in cluster.workers.items():
        worker.capacity = LARGE_CAPACITY
        cluster.register_worker(name)


class LargeJobTest(JobCase):
    def test_job_of_thousands_of_tasks_completes_beside_a_small_one(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            enlarge_workers(cluster)
            step = StepSpec(count=1000, needs=SMALL, estimate=0.5)
            large = await cluster.submit(1, (step,) * 6, behaviour=QUICK)
            small = await cluster.submit(2, behaviour=QUICK)
            self.assertTrue(await cluster.wait_for_phase(small, "completed", 10.0))
            self.assertTrue(await cluster.wait_for_phase(large, "completed", 60.0))
            self.assertEqual(set(cluster.count_starts().values()), {1})
            self.assertEqual(cluster.store.refusal_count, 0)

        self.run_scenario(scenario)

    def test_takeover_of_a_large_job_repeats_no_task(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            enlarge_workers(cluster)
            step = StepSpec(count=1000, needs=SMALL, estimate=0.5, checkpoints=True)
            job = await cluster.submit(1, (step,) * 6, behaviour=QUICK)
            await sleep(2.0)
            owner = cluster.find_owner()
            assert owner is not None
            await owner.kill()
            other = next(
                number
                for number, instance in enumerate(cluster.instances)
                if instance.node is not None
            )
            done = await cluster.wait_for_phase(job, "completed", 60.0, other)
            self.assertTrue(done)
            self.assertEqual(set(cluster.count_starts().values()), {1})
            self.assertEqual(cluster.store.refusal_count, 0)

        self.run_scenario(scenario)

    def test_overlapping_occurrences_wait_for_room_in_the_row(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            enlarge_workers(cluster)
            step = StepSpec(count=40, needs=SMALL, estimate=0.5, gang=True)
            submission = JobSubmission(
                payload="often", steps=(step,), interval=0.01, occurrences=150
            )
            cluster.behaviours["often"] = QUICK
            job = await cluster.send_submission("0" * 15 + "7", submission)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 60.0))
            self.assertEqual(cluster.store.refusal_count, 0)

        self.run_scenario(scenario)

    def test_refused_progress_of_one_job_holds_up_no_other(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            refused = JobId(f"{7:016x}")
            cluster.store.refused_keys.add(make_progress_key(QUEUE, refused))
            jobs = [await cluster.submit(number) for number in range(1, 15)]
            for job in jobs:
                if job != refused:
                    done = await cluster.wait_for_phase(job, "completed", 5.0)
                    self.assertTrue(done)
            self.assertLess(cluster.store.refusal_count, 30)
            self.assertEqual(await cluster.read_phase(refused), "queued")
            cluster.store.refused_keys.clear()
            self.assertTrue(await cluster.wait_for_phase(refused, "completed", 5.0))
            self.assertEqual(set(cluster.count_starts().values()), {1})

        self.run_scenario(scenario)

    def test_held_job_can_be_cancelled(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            refused = JobId(f"{7:016x}")
            cluster.store.refused_keys.add(make_progress_key(QUEUE, refused))
            await cluster.submit(7)
            await sleep(1.0)
            await cluster.cancel(refused)
            cluster.store.refused_keys.clear()
            done = await cluster.wait_for_phase(refused, "cancelled", FINISH_SECONDS)
            self.assertTrue(done)
            self.assertEqual(cluster.list_runs(), [])

        self.run_scenario(scenario)

    def test_jobs_that_cannot_be_recorded_are_refused_at_once(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            wide = StepSpec(count=1000, needs=SMALL)
            lasting = StepSpec(count=1000, needs=SMALL, long_running=True)
            gang = StepSpec(count=1000, needs=SMALL, gang=True)
            cases = [
                JobSubmission(payload="", steps=(wide,) * 11),
                JobSubmission(payload="", steps=(lasting,)),
                JobSubmission(payload="", steps=(gang,)),
                JobSubmission(payload="x" * 70_000, steps=(wide,)),
                JobSubmission(payload="", steps=(wide,), occurrences=10_000),
                JobSubmission(
                    payload="",
                    steps=(StepSpec(needs=SMALL, long_running=True),),
                    occurrences=1000,
                ),
            ]
            for number, submission in enumerate(cases):
                with self.assertRaises(RefusalError) as caught:
                    await cluster.send_submission(f"{number:016x}", submission)
                self.assertIs(caught.exception.kind, ErrorKind.NEVER_RUNS)
                self.assertIs(caught.exception.run, RunState.NOT_RUN)
            self.assertEqual(cluster.store.refusal_count, 0)
            cluster.accepted.clear()

        self.run_scenario(scenario)


class RowSizeTest(unittest.TestCase):
    """Runs with ids and checkpoints as long as those of the platform."""

    def setUp(self) -> None:
        options = CoordinatorOptions(
            lease=6.0,
            longest_lease=6.0,
            accepted_lease=6.0,
            superseded_renewal=2.0,
            stop_grace=0.2,
            early_start=0.1,
        )
        self.row_limit = options.row_limit
        self.state = PoolState(PoolId("p"), FenceToken(1), options, 0.0)

    def add_job(self, number: int, *steps: StepSpec) -> JobProgress:
        record = JobRecord(
            job=JobId(f"{number:016x}"),
            queue=QUEUE,
            pool=PoolId("p"),
            team=TeamId("t"),
            accepted=0.0,
            payload="",
            steps=steps,
        )
        self.assertEqual(record.find_size_error(self.row_limit), "")
        job = JobProgress(record, 0.0)
        job.open_due_occurrences(0.0, 0.0)
        self.state.add_job(job)
        return job

    def start_recordable(self, job: JobProgress) -> int:
        count = 0
        for _, number, step in list(job.steps()):
            for index in job.list_recordable(step, self.row_limit):
                task = step.tasks[index]
                task.checkpoint = CHECKPOINT if step.spec.checkpoints else ""
                task.crashes, task.losses, task.failures = 2, 100, 100
                run = ActiveRun(
                    task=TaskKey(job.record.job, 0, number, index),
                    run=RunNumber(100_000),
                    incarnation=WorkerIncarnation(("i-5f4f426982", 1_764_900_000_000)),
                    reserved=SMALL,
                    usage=SMALL,
                )
                job.record_planned_run(run)
                count += 1
        self.state.mark_changed(job)
        return count

    def test_progress_of_a_large_job_fits_into_a_row(self) -> None:
        cases = [
            (StepSpec(count=1000, needs=SMALL),) * 10,
            (StepSpec(count=1000, needs=SMALL, checkpoints=True),) * 10,
            (StepSpec(count=10, needs=SMALL, checkpoints=True),) * 100,
            (
                StepSpec(count=1000, needs=SMALL, checkpoints=True),
                StepSpec(count=400, needs=SMALL, long_running=True),
                StepSpec(count=60, needs=SMALL, gang=True),
            ),
        ]
        for steps in cases:
            job = self.add_job(1, *steps)
            started_count = self.start_recordable(job)
            size = len(cbor2.dumps(job.to_document()))
            self.assertGreater(started_count, 100)
            self.assertLess(size, self.row_limit)
            for _, _, step in job.steps():
                if step.spec.starts_together:
                    self.assertFalse(step.waiting)

    def test_changes_of_many_wide_jobs_fit_into_transactions(self) -> None:
        for number in range(40):
            step = StepSpec(count=400, needs=SMALL, checkpoints=True)
            self.start_recordable(self.add_job(number, step))
        popped_count = 0
        while changes := self.state.pop_changes(QUEUE, 45):
            popped_count += len(changes)
            size = sum(len(cbor2.dumps(change.document)) for change in changes)
            self.assertLess(size * 4 / 3, 1_000_000)
        self.assertEqual(popped_count, 40)


class StatusClient(ScriptedStoreClient):
    """Answers each call with one status."""

    def __init__(self, status: int) -> None:
        super().__init__()
        self._status = status

    async def call(
        self, method: str, url: str, timeout: float, body: Any = None, **options: Any
    ) -> ClientResponse:
        return ClientResponse(self._status, b"{}")


class RefusedTransactionTest(unittest.TestCase):
    def test_refused_transaction_is_neither_repeated_nor_sent_to_relays(self) -> None:
        async def main() -> None:
            cluster = JobCluster()
            await cluster.start()
            instance = cluster.instances[0]
            transaction = Transaction(
                conditions={}, writes={"jobs/q/a": {"text": "x" * 70_000}}, nonce="n"
            )
            with self.assertRaises(InvalidCallError):
                await instance.relayed.commit(transaction)
            self.assertEqual(cluster.store.refusal_count, 1)
            body = await execute_relayed_call(
                encode_commit(transaction), instance.relayed.peer_call_store
            )
            with self.assertRaises(InvalidCallError):
                decode_response(body)
            for node in cluster.instances:
                await node.kill()

        run_virtual(main())

    def test_platform_store_tells_refused_from_failed_transactions(self) -> None:
        async def commit(status: int) -> None:
            client = StatusClient(status)
            store = make_scripted_store(client, ListLog("n"), MetricsRegistry())
            await store.commit(Transaction(conditions={}, writes={}, nonce="n"))

        for status in (400, 403, 413):
            with self.assertRaises(InvalidCallError):
                run_virtual(commit(status))
        for status in (429, 503, 507):
            with self.assertRaises(StoreError) as caught:
                run_virtual(commit(status))
            self.assertNotIsInstance(caught.exception, InvalidCallError)
