"""Count of a queue's waiting jobs that callers receive.

The tests guard against a count below the truth: the last figure of an owner that is
gone, a count of 0 for a queue without a report, and a report by an owner that does not
receive the accepted jobs. They also bound the calls to the store.
"""

from asyncio import Task, gather, get_running_loop, sleep
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import replace
from random import Random
from typing import Any
from unittest.mock import patch

from jujubebarrow.coordinators.job_progresses import BEGUN_KEY
from jujubebarrow.errors.exceptions import RefusalError, StoreError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.identifiers import IncarnationId, InstanceId, JobId, PoolId
from jujubebarrow.ownerships.ownership_rows import InstanceRow
from jujubebarrow.runtimes.heartbeat_watchers import make_heartbeat, make_heartbeat_key
from jujubebarrow.runtimes.job_row_keys import make_load_key
from jujubebarrow.standins.emulated_stores import EmulatedStore
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.rows import RowSet
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
from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.step_specs import StepSpec

GHOST = InstanceId("ghost")
LOAD_KEY = make_load_key(QUEUE, POOL)
VISIBLE_AFTER_SECONDS = 5.0
"""Age from which an accepted job must be counted: 3 s until it is visible, and 2 s for
the age of the count."""
REPORT_AGE_LIMIT_SECONDS = 2.0


async def count_pending(cluster: JobCluster, instance: int) -> int:
    node = cluster.instances[instance].node
    assert node is not None
    return await node.intake.count_pending(cluster.route)


def commit(cluster: JobCluster, writes: dict[str, Any]) -> None:
    cluster.store.table.commit(Transaction(writes=writes, nonce="ghost"))
    get_running_loop().create_task(cluster.store.table.notify())


async def send_ghost_heartbeats(cluster: JobCluster) -> None:
    document = make_heartbeat(
        InstanceRow(GHOST, IncarnationId("ghost-1"), False, "", revision=0)
    )
    while True:
        commit(cluster, {make_heartbeat_key(GHOST): document})
        await sleep(0.3)


def give_pool_to_ghost(cluster: JobCluster, pool: PoolId = POOL) -> Task[None]:
    """Give a pool to an instance that is alive and never loads the pool's jobs.

    Returns:
        Task that sends the heartbeats of that instance.
    """
    duty = {"holder": GHOST, "incarnation": "ghost-1"}
    commit(cluster, {f"control//duty/{pool}": duty})
    return get_running_loop().create_task(send_ghost_heartbeats(cluster))


def find_owner_number(cluster: JobCluster) -> int:
    owner = cluster.find_owner()
    assert owner is not None
    return cluster.instances.index(owner)


def find_lines(cluster: JobCluster, event: str) -> list[dict[str, Any]]:
    return [
        line for log in cluster.logs for line in log.lines if line["event"] == event
    ]


@contextmanager
def counted_reads(prefix: str) -> Any:
    """Count the reads of rows under a prefix by all instances."""
    reads: list[str] = []
    read = EmulatedStore.read

    async def counting_read(store: EmulatedStore, key: str, limit: int = 0) -> RowSet:
        if key.startswith(prefix):
            reads.append(key)
        return await read(store, key, limit)

    with patch.object(EmulatedStore, "read", counting_read):
        yield reads


@contextmanager
def failing_reads(prefix: str) -> Any:
    """Let the reads of rows under a prefix time out on all instances."""
    read = EmulatedStore.read

    async def failing_read(store: EmulatedStore, key: str, limit: int = 0) -> RowSet:
        if not key.startswith(prefix):
            return await read(store, key, limit)
        await sleep(0.9)
        raise StoreError("no answer", True)

    with patch.object(EmulatedStore, "read", failing_read):
        yield


@contextmanager
def counted_commits(is_counted: Callable[[Transaction], bool]) -> Any:
    """Count the transactions of all instances that match a condition."""
    commits: list[Transaction] = []
    try_commit = EmulatedStore.try_commit

    async def counting_commit(store: EmulatedStore, transaction: Transaction) -> Any:
        if is_counted(transaction):
            commits.append(transaction)
        return await try_commit(store, transaction)

    with patch.object(EmulatedStore, "try_commit", counting_commit):
        yield commits


class JobCountsTest(JobCase):
    def test_count_is_not_the_last_figure_of_an_owner_that_is_gone(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = find_owner_number(cluster)
            other = (owner + 1) % 3
            job = await cluster.submit(99, instance=other)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 10.0))
            await sleep(2.0)
            await cluster.instances[owner].kill()
            give_pool_to_ghost(cluster)
            for number in range(9):
                await cluster.submit(number, instance=other)
            await sleep(REPORT_AGE_LIMIT_SECONDS)
            self.assertEqual(await count_pending(cluster, other), 9)
            await sleep(20.0)
            self.assertEqual(await count_pending(cluster, other), 9)

        self.run_scenario(scenario)

    def test_count_of_new_queue_is_not_0_while_no_owner_has_its_fence(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = find_owner_number(cluster)
            other = (owner + 1) % 3
            await cluster.instances[owner].kill()
            give_pool_to_ghost(cluster)
            for number in range(9):
                await cluster.submit(number, instance=other)
            self.assertEqual(await count_pending(cluster, other), 9)

        self.run_scenario(scenario)

    def test_count_has_jobs_of_a_former_pool_that_has_never_reported(self) -> None:
        # The queue was routed to the other pool for a moment while nobody served it.
        async def scenario(cluster: JobCluster) -> None:
            give_pool_to_ghost(cluster, STANDBY)
            for instance in cluster.instances:
                if instance.node is not None and instance.node.owns(STANDBY):
                    await instance.kill()
                    await instance.start()
            await cluster.wait_for(lambda: cluster.find_owner() is not None, 15.0)
            await cluster.submit(99)
            node = cluster.instances[0].node
            assert node is not None
            route = replace(ROUTE, pool=STANDBY)
            submission = JobSubmission(payload="job", steps=(StepSpec(count=1),))
            for number in range(9):
                await node.intake.submit(
                    route, TEAM, JobId(f"{number:016x}"), submission, 3.0
                )
            for _ in range(5):
                await sleep(VISIBLE_AFTER_SECONDS)
                for instance in range(3):
                    self.assertEqual(await count_pending(cluster, instance), 10)

        self.run_scenario(scenario, workers=0)

    def test_marks_of_used_pools_take_no_calls_and_replace_no_report(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(99)
            await sleep(3.0)
            job_prefix = f"jobs/{QUEUE}/"
            with (
                counted_reads(job_prefix) as job_reads,
                counted_reads(f"fences/{QUEUE}/") as fence_reads,
                counted_reads(f"loads/{QUEUE}/") as load_reads,
                counted_commits(
                    lambda sent: any(key.startswith(job_prefix) for key in sent.writes)
                ) as commits,
            ):
                for instance in range(3):
                    await cluster.submit(instance, instance=instance)
                    for _ in range(10):
                        self.assertGreater(await count_pending(cluster, instance), 0)
                        await sleep(0.05)
            self.assertEqual((job_reads, fence_reads), ([], []))
            self.assertEqual((len(load_reads), len(commits)), (30, 3))
            marks = cluster.store.table.read(f"{LOAD_KEY}/used").rows
            self.assertEqual(len(marks), 1)

        self.run_scenario(scenario, workers=0)

    def test_count_is_not_the_figure_of_an_owner_that_receives_no_jobs(self) -> None:
        read_changes = EmulatedStore.read_changes

        async def fail_to_read_jobs(
            store: EmulatedStore, prefix: str, since: int, wait: float
        ) -> RowSet:
            if prefix != "jobs/":
                return await read_changes(store, prefix, since, wait)
            await sleep(0.9)
            raise StoreError("no answer", True)

        async def scenario(cluster: JobCluster) -> None:
            job = await cluster.submit(99)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 10.0))
            await sleep(2.0)
            with patch.object(EmulatedStore, "read_changes", fail_to_read_jobs):
                await sleep(3.0)
                for number in range(9):
                    await cluster.submit(number)
                await sleep(VISIBLE_AFTER_SECONDS)
                self.assertEqual(await count_pending(cluster, 0), 9)

        self.run_scenario(scenario)

    def test_count_has_planned_jobs_whose_workers_have_started_no_task(self) -> None:
        for is_crash in (True, False):

            async def scenario(cluster: JobCluster, is_crash: bool = is_crash) -> None:
                job = await cluster.submit(99)
                self.assertTrue(await cluster.wait_for_phase(job, "completed", 10.0))
                for worker in cluster.workers.values():
                    if is_crash:
                        worker.crash()
                for instance in cluster.instances:
                    instance.gateway.unreachable.update(cluster.workers)
                for number in range(9):
                    await cluster.submit(number)
                for _ in range(10):
                    await sleep(1.0)
                    self.assertEqual(await count_pending(cluster, 0), 9)
                owner = find_owner_number(cluster)
                other = (owner + 1) % 3
                give_pool_to_ghost(cluster)
                await cluster.instances[owner].kill()
                await sleep(3.0)
                self.assertEqual(await count_pending(cluster, other), 9)

            self.run_scenario(scenario)

    def test_count_is_never_under_the_truth_while_owners_and_store_fail(self) -> None:
        for seed in range(1, 9):

            async def scenario(cluster: JobCluster, seed: int = seed) -> None:
                random = Random(seed)
                accepted: list[float] = []
                loop = get_running_loop()
                faults = loop.create_task(disturb(cluster, random))
                answer_count = 0
                for number in range(120):
                    if number % 4 == 0:
                        try:
                            await cluster.submit(number, instance=1)
                            accepted.append(loop.time())
                        except RefusalError as error:
                            self.assertNotEqual(error.kind, ErrorKind.BAD_REQUEST)
                    asked_at = loop.time()
                    try:
                        count = await count_pending(cluster, 1)
                    except RefusalError as error:
                        self.assertIs(error.kind, ErrorKind.STORE_UNAVAILABLE)
                    else:
                        answer_count += 1
                        due_before = asked_at - VISIBLE_AFTER_SECONDS
                        due = sum(at < due_before for at in accepted)
                        self.assertGreaterEqual(count, due, (seed, number))
                    await sleep(0.25)
                self.assertFalse(faults.done() and faults.exception())
                faults.cancel()
                self.assertGreater(answer_count, 60)

            self.run_scenario(scenario, seed=seed, workers=0)

    def test_owner_reports_no_count_while_it_reloads_jobs_dropped_by_feed(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(99)
            await sleep(3.0)
            with failing_reads(f"jobs/{QUEUE}/"):
                cluster.store.history_truncation_count += 1
                for number in range(9):
                    await cluster.submit(number)
                revision = cluster.store.table.revision
                cluster.store.oldest_readable_revision = revision + 1
                cluster.store.history_truncation_count += 1
                await sleep(0.3)
                cluster.store.oldest_readable_revision = 0
                await sleep(VISIBLE_AFTER_SECONDS)
                with self.assertRaises(RefusalError):
                    await count_pending(cluster, 0)
            await sleep(3.0)
            self.assertEqual(await count_pending(cluster, 0), 10)

        self.run_scenario(scenario, workers=0)

    def test_owner_reports_no_count_while_it_loads_a_new_queue(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            with failing_reads(f"progress/{QUEUE}/"):
                for number in range(5):
                    await cluster.submit(number)
                await sleep(1.0)
                for number in range(5, 9):
                    await cluster.submit(number)
                await sleep(VISIBLE_AFTER_SECONDS)
                with self.assertRaises(RefusalError):
                    await count_pending(cluster, 0)
            await sleep(3.0)
            self.assertEqual(await count_pending(cluster, 0), 9)

        self.run_scenario(scenario, workers=0)

    def test_unchanged_report_is_renewed_without_direct_counts(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            for number in range(5):
                await cluster.submit(number)
            await sleep(3.0)
            with counted_reads(f"jobs/{QUEUE}/") as reads:
                for _ in range(100):
                    self.assertEqual(await count_pending(cluster, 1), 5)
                    await sleep(0.1)
            self.assertEqual(reads, [])

        self.run_scenario(scenario, workers=0)

    def test_report_is_renewed_while_progress_is_stored_without_pause(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.store.extra_delay_seconds = 0.08
            loop = get_running_loop()

            async def submit_all() -> None:
                for number in range(300):
                    await cluster.submit(number, behaviour=TaskBehaviour(seconds=0.05))

            submissions = loop.create_task(submit_all())
            await sleep(3.0)
            with counted_reads(f"jobs/{QUEUE}/") as reads:
                while not submissions.done():
                    await count_pending(cluster, 1)
                    await sleep(0.1)
            self.assertEqual(reads, [])

        self.run_scenario(scenario, workers=2)

    def test_reports_of_an_unchanged_queue_take_at_most_one_call_a_second(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1)
            await sleep(5.0)
            with counted_commits(lambda sent: LOAD_KEY in sent.writes) as commits:
                await sleep(20.0)
            self.assertGreater(len(commits), 10)
            self.assertLessEqual(len(commits), 20)

        self.run_scenario(scenario)

    def test_start_of_a_task_is_stored_with_the_next_transaction(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1)
            await sleep(3.0)
            key = f"progress/{QUEUE}/{2:016x}"
            with counted_commits(lambda sent: key in sent.writes) as commits:
                await cluster.submit(2, behaviour=TaskBehaviour(seconds=60.0))
                await sleep(1.5)
            self.assertTrue(commits[-1].writes[key][BEGUN_KEY])
            self.assertIn(LOAD_KEY, commits[-1].writes)
            self.assertNotIn(BEGUN_KEY, commits[-2].writes[key])
            self.assertLessEqual(len(commits), 3)

        self.run_scenario(scenario)

    def test_reports_of_a_busy_queue_take_no_calls_of_their_own(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1000)
            await sleep(2.0)
            own_keys = {LOAD_KEY, f"fences/{QUEUE}/{POOL}"}
            with counted_commits(
                lambda sent: sent.writes.keys() == own_keys
            ) as commits:
                for number in range(100):
                    await cluster.submit(number)
                    await sleep(0.1)
            self.assertLessEqual(len(commits), 2)

        self.run_scenario(scenario)

    def test_lost_store_responses_do_not_end_reports(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            for number in range(5):
                await cluster.submit(number)
            await sleep(2.0)
            cluster.store.response_loss_keys = {LOAD_KEY}
            for _ in range(20):
                self.assertEqual(await count_pending(cluster, 1), 5)
                await sleep(0.25)
            cluster.store.response_loss_keys = set()
            await sleep(3.0)
            with counted_reads(f"jobs/{QUEUE}/") as reads:
                self.assertEqual(await count_pending(cluster, 1), 5)
            self.assertEqual(reads, [])

        self.run_scenario(scenario, workers=0)

    def test_count_is_refused_while_store_is_away(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = find_owner_number(cluster)
            other = (owner + 1) % 3
            await cluster.submit(1, instance=other)
            await cluster.instances[owner].kill()
            give_pool_to_ghost(cluster)
            await sleep(3.0)
            cluster.store.is_down = True
            started_at = get_running_loop().time()
            with self.assertRaises(RefusalError) as caught:
                await count_pending(cluster, other)
            self.assertIs(caught.exception.kind, ErrorKind.STORE_UNAVAILABLE)
            self.assertIsNotNone(caught.exception.retry_after)
            self.assertLess(get_running_loop().time() - started_at, 1.0)

        self.run_scenario(scenario)

    def test_count_is_refused_if_rows_of_jobs_cannot_be_read(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = find_owner_number(cluster)
            other = (owner + 1) % 3
            await cluster.submit(1, instance=other)
            await cluster.instances[owner].kill()
            give_pool_to_ghost(cluster)
            await sleep(3.0)
            with failing_reads(f"jobs/{QUEUE}/"):
                started_at = get_running_loop().time()
                answers = await gather(
                    *(count_pending(cluster, other) for _ in range(10)),
                    return_exceptions=True,
                )
                duration = get_running_loop().time() - started_at
            for answer in answers:
                self.assertIsInstance(answer, RefusalError)
                self.assertIs(answer.kind, ErrorKind.STORE_UNAVAILABLE)
            self.assertLess(duration, 2.1)

        self.run_scenario(scenario)

    def test_direct_count_has_the_same_jobs_as_the_owner(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            wall = get_running_loop().time()
            step = StepSpec(count=1)
            await cluster.send_submission(
                "00000000000000a0",
                JobSubmission(
                    payload="scheduled",
                    steps=(step,),
                    first_start=wall + 600.0,
                    interval=60.0,
                    occurrences=3,
                ),
            )
            later = JobSubmission(
                payload="cancelled",
                steps=(step,),
                first_start=wall + 600.0,
                interval=60.0,
                occurrences=1,
            )
            cancelled = await cluster.send_submission("00000000000000b0", later)
            await cluster.cancel(cancelled)
            done = await cluster.submit(1, behaviour=TaskBehaviour(seconds=0.1))
            await cluster.submit(2, behaviour=TaskBehaviour(seconds=60.0))
            self.assertTrue(await cluster.wait_for_phase(done, "completed", 5.0))
            await sleep(2.0)
            owner = find_owner_number(cluster)
            other = (owner + 1) % 3
            self.assertEqual(await count_pending(cluster, other), 1)
            give_pool_to_ghost(cluster)
            await cluster.instances[owner].kill()
            await sleep(3.0)
            self.assertEqual(await count_pending(cluster, other), 1)
            node = cluster.instances[other].node
            assert node is not None
            await node.intake.submit(ROUTE, TEAM, JobId(f"{7:016x}"), later, 3.0)
            await sleep(1.0)
            self.assertEqual(await count_pending(cluster, other), 2)

        self.run_scenario(scenario)

    def test_concurrent_callers_share_one_direct_count(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = find_owner_number(cluster)
            other = (owner + 1) % 3
            await cluster.submit(1, instance=other)
            await cluster.instances[owner].kill()
            give_pool_to_ghost(cluster)
            await sleep(3.0)
            await cluster.submit(2, instance=other)
            with counted_reads(f"jobs/{QUEUE}/") as reads:
                for _ in range(20):
                    counts = await gather(
                        *(count_pending(cluster, other) for _ in range(10))
                    )
                    self.assertEqual(len(set(counts)), 1)
                    await sleep(0.1)
            self.assertGreaterEqual(len(reads), 2)
            self.assertLessEqual(len(reads), 4)

        self.run_scenario(scenario)

    def test_direct_counts_are_logged_once_until_a_report_is_recent(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = find_owner_number(cluster)
            other = (owner + 1) % 3
            job = await cluster.submit(1, instance=other)
            self.assertTrue(
                await cluster.wait_for_phase(job, "completed", 10.0, instance=other)
            )
            await count_pending(cluster, other)
            logged_before = len(find_lines(cluster, "pending_counted"))
            give_pool_to_ghost(cluster)
            await cluster.instances[owner].kill()
            await sleep(3.0)
            await cluster.submit(2, instance=other)
            for _ in range(10):
                await count_pending(cluster, other)
                await sleep(0.5)
            lines = find_lines(cluster, "pending_counted")[logged_before:]
            self.assertEqual(len(lines), 1)
            line = lines[0]
            self.assertEqual(
                (line["queue"], line["pools"], line["pending"]), (QUEUE, [POOL], 1)
            )
            self.assertGreater(line["age"], 1.5)
            metrics = cluster.instances[other].metrics
            self.assertGreaterEqual(metrics.value("pending_counted", QUEUE), 5)

        self.run_scenario(scenario)


async def disturb(cluster: JobCluster, random: Random) -> None:
    """Inject faults; instance 1 keeps running, since it accepts the jobs."""
    while True:
        await sleep(random.uniform(0.5, 3.0))
        fault = random.randrange(6)
        victim = cluster.instances[random.choice((0, 2))]
        if fault == 0:
            await restart(victim, random.uniform(0.1, 4.0))
        elif fault == 1:
            cluster.store.is_down = True
            await sleep(random.uniform(0.5, 3.0))
            cluster.store.is_down = False
        elif fault == 2:
            cluster.store.response_loss_probability = 0.3
            cluster.store.late_write_probability = 0.2
            await sleep(random.uniform(1.0, 4.0))
            cluster.store.response_loss_probability = 0.0
            cluster.store.late_write_probability = 0.0
        elif fault == 3:
            cluster.store.extra_delay_seconds = 0.25
            await sleep(random.uniform(1.0, 4.0))
            cluster.store.extra_delay_seconds = 0.0
        elif fault == 4:
            heartbeats = give_pool_to_ghost(cluster)
            await sleep(random.uniform(6.0, 12.0))
            heartbeats.cancel()
        else:
            victim.store.is_disconnected = victim.is_isolated = True
            await sleep(random.uniform(1.0, 6.0))
            victim.store.is_disconnected = victim.is_isolated = False


async def restart(instance: Instance, seconds: float) -> None:
    await instance.kill()
    await sleep(seconds)
    await instance.start()
