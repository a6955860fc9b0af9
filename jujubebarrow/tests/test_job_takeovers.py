"""Size and safety of takeovers of pools whose queues have many closed jobs.

The tests guard against takeovers that read the payloads of closed jobs or the jobs of
other pools, and against closed jobs that run again, are cancelled or are forgotten
after their rows have been compacted.
"""

from asyncio import gather, get_running_loop, sleep
from dataclasses import replace
from typing import Any

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.identifiers import JobId, QueueId, TeamId
from jujubebarrow.ownerships.service_gaps import SERVICE_GAP_LIMIT_SECONDS
from jujubebarrow.runtimes.job_browsers import JobBrowser
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.rows import Row, RowSet
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_machines import STANDBY
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import (
    POOL,
    QUEUE,
    ROUTE,
    TEAM,
    Instance,
    JobCluster,
)
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

PAYLOAD_BYTES = 2000
STEP = StepSpec(count=1, needs=Resources(1000, 500), estimate=0.2)
LONG = StepSpec(count=1, needs=Resources(1000, 500), long_running=True)
TRANSACTION_ENTRY_LIMIT = 100
OPEN_JOB_READ_BYTES = 2 * PAYLOAD_BYTES
CLOSED_JOB_READ_BYTES = 600
TAKEOVER_READ_BYTES = 20_000
"""Bytes that a takeover may read besides the jobs: heartbeats, owners, workers."""
OTHER_QUEUE = replace(ROUTE, queue=QueueId("bind"), prefix="/bind/")


def make_name(number: int) -> JobId:
    return JobId(f"{number:016x}")


def make_payload(number: int) -> str:
    return f"{number:0{PAYLOAD_BYTES}}"


def get_owner(cluster: JobCluster) -> Instance:
    owner = cluster.find_owner()
    assert owner is not None
    return owner


def find_survivor(cluster: JobCluster, owner: Instance) -> int:
    return 1 if cluster.instances[0] is owner else 0


async def submit(
    cluster: JobCluster,
    number: int,
    seconds: float = 0.2,
    step: StepSpec = STEP,
    instance: int = 0,
    route: Any = ROUTE,
) -> JobId:
    payload = make_payload(number)
    cluster.behaviours[payload] = TaskBehaviour(
        seconds=seconds, is_long_running=step.long_running
    )
    node = cluster.instances[instance].node
    assert node is not None
    submission = JobSubmission(payload=payload, steps=(step,))
    await node.intake.submit(route, TEAM, make_name(number), submission, 3.0)
    cluster.accepted.add(make_name(number))
    return make_name(number)


def read_row(cluster: JobCluster, key: str) -> Row | None:
    rows = cluster.store.table.read(key).rows
    return next((row for row in rows if row.key == key), None)


def read_stored_phase(cluster: JobCluster, job: JobId) -> JobPhase | None:
    row = read_row(cluster, f"progress/{QUEUE}/{job}")
    return JobPhase((row.value or {})["phase"]) if row is not None else None


def is_closed(cluster: JobCluster, job: JobId) -> bool:
    phase = read_stored_phase(cluster, job)
    return phase is not None and phase.is_final


async def wait_for_owner(cluster: JobCluster) -> Instance:
    assert await cluster.wait_for(lambda: cluster.find_owner() is not None, 15.0)
    return get_owner(cluster)


async def wait_for_loading_owner(cluster: JobCluster) -> Instance:
    """Return the instance that has claimed the pool but not loaded the jobs yet."""
    while True:
        for instance in cluster.instances:
            if instance.node is not None and instance.node.find_owner(POOL):
                return instance
        await sleep(0.002)


class JobTakeoverTest(JobCase):
    def test_takeover_reads_no_payload_of_closed_jobs(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            closed_count, open_count = 300, 5
            for number in range(0, closed_count, 20):
                await gather(*(submit(cluster, number + n) for n in range(20)))
                await sleep(0.5)
            for number in range(closed_count):
                job = make_name(number)
                self.assertTrue(await cluster.wait_for_phase(job, "completed", 60.0))
            for number in range(open_count):
                await submit(cluster, closed_count + number, seconds=20.0)
            await sleep(1.0)
            owner = get_owner(cluster)
            await owner.kill()
            before = {i.name: i.store.read_bytes for i in cluster.instances}
            new_owner = await wait_for_owner(cluster)
            read_bytes = new_owner.store.read_bytes - before[new_owner.name]
            bound = (
                open_count * OPEN_JOB_READ_BYTES
                + closed_count * CLOSED_JOB_READ_BYTES
                + TAKEOVER_READ_BYTES
            )
            self.assertLess(read_bytes, bound)

        self.run_scenario(scenario, workers=5)

    def test_takeover_reads_the_job_rows_of_a_queue_once_after_its_fence(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await submit(cluster, 1, seconds=20.0)
            await sleep(0.5)
            await get_owner(cluster).kill()
            loading = await wait_for_loading_owner(cluster)
            calls = loading.store.read_prefixes
            calls.clear()
            original = loading.store.try_commit

            async def try_commit(transaction: Transaction) -> CommitResult:
                result = await original(transaction)
                calls.extend(transaction.writes)
                return result

            loading.store.try_commit = try_commit  # type: ignore[method-assign]
            await wait_for_owner(cluster)
            read, fence = f"jobs/{QUEUE}/", f"fences/{QUEUE}/{POOL}"
            self.assertEqual(calls.count(read), 1)
            self.assertLess(calls.index(fence), calls.index(read))

        self.run_scenario(scenario)

    def test_transactions_of_an_owner_keep_the_limits_of_the_store(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            transactions = []
            store = get_owner(cluster).store
            original = store.try_commit

            async def try_commit(transaction: Transaction) -> CommitResult:
                transactions.append(transaction)
                return await original(transaction)

            store.try_commit = try_commit  # type: ignore[method-assign]
            for jobs in ([1], range(2, 120)):
                await gather(*(submit(cluster, number) for number in jobs))
                await sleep(5.0)
            sizes = [len(each.conditions) + len(each.writes) for each in transactions]
            self.assertGreater(max(sizes), TRANSACTION_ENTRY_LIMIT // 2)
            self.assertLessEqual(max(sizes), TRANSACTION_ENTRY_LIMIT)
            closed = [
                key
                for transaction in transactions
                for key, value in transaction.writes.items()
                if key.startswith(f"jobs/{QUEUE}/")
                and value is not None
                and "outcome" in value
            ]
            self.assertEqual(len(closed), 119)
            await sleep(250.0)
            self.assertEqual(cluster.store.table.read("jobs/").rows, [])
            sizes = [len(each.conditions) + len(each.writes) for each in transactions]
            self.assertLessEqual(max(sizes), TRANSACTION_ENTRY_LIMIT)

        self.run_scenario(scenario, workers=16)

    def test_takeover_reads_no_jobs_of_other_pools(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            for number in range(20):
                await submit(cluster, number, seconds=60.0)
            await sleep(1.0)
            instance = next(
                instance
                for instance in cluster.instances
                if instance.node is not None and instance.node.owns(STANDBY)
            )
            assert instance.node is not None
            owner = instance.node.find_owner(STANDBY)
            assert owner is not None
            owner.on_superseded()
            read_bytes = instance.store.read_bytes
            node = instance.node
            self.assertTrue(await cluster.wait_for(lambda: node.owns(STANDBY), 5.0))
            self.assertLess(instance.store.read_bytes - read_bytes, TAKEOVER_READ_BYTES)
            fences = [row.key for row in cluster.store.table.read("fences/").rows]
            self.assertNotIn(f"fences/{QUEUE}/{STANDBY}", fences)

        self.run_scenario(scenario)

    def test_job_accepted_without_owner_in_queue_of_other_pool_is_loaded(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await submit(cluster, 1, seconds=60.0)
            for instance in cluster.instances:
                node = instance.node
                if node is not None and node.owns(STANDBY):
                    await instance.kill()
            other = next(
                n for n, i in enumerate(cluster.instances) if i.node is not None
            )
            route = replace(ROUTE, pool=STANDBY)
            job = await submit(cluster, 2, instance=other, route=route)

            def is_loaded() -> bool:
                owners = [
                    instance.node.find_owner(STANDBY)
                    for instance in cluster.instances
                    if instance.node is not None
                ]
                return any(
                    owner is not None and job in owner.coordinator.state.jobs
                    for owner in owners
                )

            self.assertTrue(await cluster.wait_for(is_loaded, 10.0))

        self.run_scenario(scenario)

    def test_repeated_submission_after_close_succeeds_and_runs_nothing(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await submit(cluster, 1)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 5.0))
            for instance in range(3):
                await submit(cluster, 1, instance=instance)
            await get_owner(cluster).kill()
            owner = await wait_for_owner(cluster)
            index = cluster.instances.index(owner)
            await submit(cluster, 1, instance=index)
            await sleep(3.0)
            self.assertEqual(await cluster.read_phase(job, index), "completed")
            self.assertEqual(len(cluster.list_runs()), 1)

        self.run_scenario(scenario)

    def test_cancel_racing_close_is_answered_truly(self) -> None:
        # Steps of 4 ms cover each moment between the end of the task and the close.
        for step in range(40):

            async def scenario(cluster: JobCluster, step: int = step) -> None:
                job = await submit(cluster, 1)
                await sleep(0.2 + 0.004 * step)
                await cluster.cancel(job, 1)
                await sleep(2.0)
                phase = await cluster.read_phase(job, 2)
                self.assertIn(phase, ("completed", "cancelled"))
                outcomes = [run.outcome.value for run in cluster.list_runs()]
                if phase == "completed":
                    self.assertEqual(outcomes, ["done"])
                await get_owner(cluster).kill()
                owner = await wait_for_owner(cluster)
                index = cluster.instances.index(owner)
                self.assertEqual(await cluster.read_phase(job, index), phase)

            self.run_scenario(scenario)

    def test_closed_job_is_shown_to_operators_and_hidden_from_other_teams(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            instance = cluster.instances[0]
            browser = JobBrowser(instance.store, instance.metrics)
            job = await submit(cluster, 1, step=replace(STEP, count=3))
            accepted = await browser.find_job(QUEUE, job)
            assert accepted is not None
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 5.0))
            expected = replace(accepted, phase=JobPhase.COMPLETED)
            self.assertEqual(await browser.find_job(QUEUE, job), expected)
            self.assertEqual(await browser.list_jobs(QUEUE), [expected])
            assert instance.node is not None
            with self.assertRaises(RefusalError) as caught:
                await instance.node.intake.cancel(ROUTE, TeamId("trawlers"), job)
            self.assertEqual(caught.exception.kind, ErrorKind.NOT_FOUND)

        self.run_scenario(scenario)

    def test_cancel_with_row_read_before_close_is_answered_truly(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await submit(cluster, 1)
            node = cluster.instances[1].node
            assert node is not None
            store = cluster.instances[1].store
            original = store.read
            stale = [await original(f"jobs/{QUEUE}/{job}")]
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 5.0))

            async def read(prefix: str, limit: int = 0) -> RowSet:
                if prefix == f"jobs/{QUEUE}/{job}" and stale:
                    return stale.pop()
                return await original(prefix, limit)

            store.read = read  # type: ignore[method-assign]
            await cluster.cancel(job, 1)
            self.assertEqual(stale, [])
            await sleep(1.0)
            self.assertEqual(await cluster.read_phase(job, 2), "completed")

        self.run_scenario(scenario)

    def test_takeover_right_after_close_runs_nothing_again(self) -> None:
        for step in range(12):

            async def scenario(cluster: JobCluster, step: int = step) -> None:
                job = await submit(cluster, 1)
                # Also kills the owner shortly before the close.
                await sleep(0.2)
                deadline = get_running_loop().time() + 0.004 * step
                while get_running_loop().time() < deadline:
                    if is_closed(cluster, job):
                        break
                    await sleep(0.001)
                await get_owner(cluster).kill()
                owner = await wait_for_owner(cluster)
                index = cluster.instances.index(owner)
                self.assertTrue(
                    await cluster.wait_for_phase(job, "completed", 5.0, index)
                )
                await sleep(3.0)
                self.assertEqual(len(cluster.list_runs()), 1)

            self.run_scenario(scenario)

    def test_close_with_lost_responses_stays_closed(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await submit(cluster, 1, seconds=1.0)
            await sleep(0.5)
            cluster.store.response_loss_keys = {f"progress/{QUEUE}/{job}"}
            await sleep(4.0)
            cluster.store.response_loss_keys = set()
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 5.0))
            await sleep(2.0)
            self.assertEqual(len(cluster.list_runs()), 1)

        self.run_scenario(scenario)

    def test_late_close_of_former_owner_changes_no_row(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await submit(cluster, 1, seconds=1.0)
            await sleep(0.5)
            cluster.store.late_write_probability = 1.0
            await sleep(1.0)
            await get_owner(cluster).kill()
            cluster.store.late_write_probability = 0.0
            owner = await wait_for_owner(cluster)
            index = cluster.instances.index(owner)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 9.0, index))
            await sleep(6.0)
            self.assertEqual(await cluster.read_phase(job, index), "completed")
            self.assertEqual(len(cluster.list_runs()), 1)

        self.run_scenario(scenario)

    def test_feed_repeats_closed_job_while_another_owner_loads(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await submit(cluster, 1)
            key = f"jobs/{QUEUE}/{job}"
            open_row = read_row(cluster, key)
            assert open_row is not None and open_row.value is not None
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 5.0))
            await get_owner(cluster).kill()
            loading = await wait_for_loading_owner(cluster)
            cluster.store.extra_delay_seconds = 0.2
            assert loading.node is not None
            owner = loading.node.find_owner(POOL)
            assert owner is not None and not owner.is_running
            owner.on_job_accepted(JobRecord.from_document(open_row.value))
            for _ in range(3):
                closed_row = read_row(cluster, key)
                assert closed_row is not None
                cluster.store.table.commit(
                    Transaction(writes={key: closed_row.value}, nonce="again")
                )
                await cluster.store.table.notify()
                await sleep(0.3)
            await wait_for_owner(cluster)
            cluster.store.extra_delay_seconds = 0.0
            cluster.store.table.commit(
                Transaction(writes={key: closed_row.value}, nonce="later")
            )
            await cluster.store.table.notify()
            await sleep(3.0)
            index = cluster.instances.index(loading)
            self.assertEqual(await cluster.read_phase(job, index), "completed")
            self.assertEqual(len(cluster.list_runs()), 1)

        self.run_scenario(scenario)

    def test_closed_row_without_progress_is_not_run_again(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await submit(cluster, 1)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 5.0))
            cluster.store.table.commit(
                Transaction(writes={f"progress/{QUEUE}/{job}": None}, nonce="deleted")
            )
            await get_owner(cluster).kill()
            owner = await wait_for_owner(cluster)
            await sleep(3.0)
            index = cluster.instances.index(owner)
            self.assertEqual(await cluster.read_phase(job, index), "completed")
            self.assertEqual(len(cluster.list_runs()), 1)

        self.run_scenario(scenario)

    def test_cancelled_and_failed_jobs_keep_their_phase_after_a_takeover(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cancelled = await submit(cluster, 1, step=LONG)
            failed = await submit(cluster, 2)
            cluster.behaviours[make_payload(2)] = TaskBehaviour(is_failing=True)
            await sleep(1.0)
            await cluster.cancel(cancelled)
            self.assertTrue(await cluster.wait_for_phase(failed, "failed", 9.0))
            await sleep(1.0)
            run_count = len(cluster.list_runs())
            await get_owner(cluster).kill()
            owner = await wait_for_owner(cluster)
            index = cluster.instances.index(owner)
            await sleep(2.0)
            for job, phase in ((cancelled, "cancelled"), (failed, "failed")):
                self.assertEqual(await cluster.read_phase(job, index), phase)
                row = read_row(cluster, f"jobs/{QUEUE}/{job}")
                assert row is not None and row.value is not None
                self.assertEqual(row.value["payload"], "")
            self.assertEqual(len(cluster.list_runs()), run_count)

        self.run_scenario(scenario)

    def test_cancelled_job_keeps_its_row_while_a_run_is_active(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await submit(cluster, 1, seconds=30.0)
            await sleep(1.0)
            for instance in cluster.instances:
                instance.gateway.unreachable.update(cluster.workers)
            await cluster.cancel(job)
            await sleep(1.0)
            self.assertTrue(is_closed(cluster, job))
            key = f"jobs/{QUEUE}/{job}"
            row = read_row(cluster, key)
            assert row is not None and row.value is not None
            self.assertEqual(row.value["payload"], make_payload(1))
            await get_owner(cluster).kill()
            owner = await wait_for_owner(cluster)
            assert owner.node is not None
            pool_owner = owner.node.find_owner(POOL)
            assert pool_owner is not None
            progress = pool_owner.coordinator.state.jobs[job]
            self.assertEqual(len(list(progress.active_runs())), 1)
            for instance in cluster.instances:
                instance.gateway.unreachable.clear()
            await sleep(3.0)
            row = read_row(cluster, key)
            assert row is not None and row.value is not None
            self.assertEqual(row.value["payload"], "")
            index = cluster.instances.index(owner)
            self.assertEqual(await cluster.read_phase(job, index), "cancelled")
            self.assertEqual(len(cluster.list_runs()), 1)

        self.run_scenario(scenario)

    def test_closed_jobs_are_deleted_after_a_takeover(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await submit(cluster, 1)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 5.0))
            await get_owner(cluster).kill()
            await wait_for_owner(cluster)
            await sleep(250.0)
            for table in ("jobs", "progress"):
                keys = [row.key for row in cluster.store.table.read(f"{table}/").rows]
                self.assertNotIn(f"{table}/{QUEUE}/{job}", keys)

        self.run_scenario(scenario)

    def test_rows_of_older_build_are_loaded_and_compacted(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            documents = {}
            for number, phase in ((1, "completed"), (2, "queued"), (3, "completed")):
                record = JobRecord(
                    job=make_name(number),
                    queue=QUEUE,
                    pool=POOL,
                    team=TEAM,
                    accepted=round(get_running_loop().time(), 3),
                    payload=make_payload(number),
                    steps=(STEP,),
                )
                documents[f"jobs/{QUEUE}/{record.job}"] = record.to_document() | {
                    "first_start": 0.0,
                    "interval": 0.0,
                    "occurrences": 0,
                    "target": 0.0,
                    "stretch": 1.0,
                    "attempts": 1,
                    "priority": 0,
                }
                progress = {"phase": phase}
                documents[f"progress/{QUEUE}/{record.job}"] = progress
            owner = get_owner(cluster)
            await owner.kill()
            cluster.store.table.commit(Transaction(writes=documents, nonce="older"))
            new_owner = await wait_for_owner(cluster)
            await sleep(3.0)
            index = cluster.instances.index(new_owner)
            self.assertEqual(
                [run.task.job for run in cluster.list_runs()], [make_name(2)]
            )
            for number in (1, 2, 3):
                job = make_name(number)
                self.assertEqual(await cluster.read_phase(job, index), "completed")
                row = read_row(cluster, f"jobs/{QUEUE}/{job}")
                assert row is not None and row.value is not None
                self.assertEqual(row.value["payload"], "")

        self.run_scenario(scenario)

    def test_failed_load_is_logged_and_keeps_loaded_queues(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await submit(cluster, 1, seconds=60.0)
            await submit(cluster, 2, seconds=60.0, route=OTHER_QUEUE)
            await sleep(1.0)
            await get_owner(cluster).kill()
            loading = await wait_for_loading_owner(cluster)
            stores = [i.store for i in cluster.instances if i.node is not None]
            for store in stores:
                store.read_prefixes.clear()
                store.failing_prefixes.add(f"progress/{QUEUE}/")
            await sleep(SERVICE_GAP_LIMIT_SECONDS - 1.0)
            self.assertIsNone(cluster.find_owner())
            for store in stores:
                store.failing_prefixes.clear()
            await wait_for_owner(cluster)
            prefix = f"jobs/{OTHER_QUEUE.queue}/"
            reads = [prefix for store in stores for prefix in store.read_prefixes]
            self.assertEqual(reads.count(prefix), 1)
            lines = [
                line
                for line in loading.log.lines
                if line["event"] == "pool_load_failed"
            ]
            self.assertTrue(1 <= len(lines) <= 8, len(lines))
            self.assertEqual(lines[0]["pool"], POOL)
            self.assertEqual(lines[0]["queue"], QUEUE)
            self.assertIn("no answer", lines[0]["detail"])
            self.assertEqual(lines[0]["attempts"], 1)
            self.assertGreaterEqual(lines[-1]["seconds"], lines[0]["seconds"])

        self.run_scenario(scenario)
