"""Takeovers of pools under faults, checked against the workers' own records of runs.

The tests guard against tasks that run twice or never because the owner of their pool
is killed, cut off from the store or from workers, or has lost a response of the store.
"""

from asyncio import sleep
from unittest.mock import patch

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.standins.emulated_stores import EmulatedStore
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import POOL, QUEUE, JobCluster
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

STEP = StepSpec(count=2, needs=Resources(1000, 500))
LONG = StepSpec(count=3, needs=Resources(1000, 500), long_running=True)


class JobOwnersTest(JobCase):
    def test_takeover_from_killed_owner_runs_no_task_twice(
        self,
    ) -> None:
        # The tasks are still running when their owner is killed. The new owner must
        # adopt these runs instead of starting the tasks again.
        async def scenario(cluster: JobCluster) -> None:
            slow = TaskBehaviour(seconds=5.0)
            jobs = [await cluster.submit(n, behaviour=slow) for n in range(4)]
            await sleep(1.0)
            owner = cluster.find_owner()
            assert owner is not None
            survivor = next(
                n for n, other in enumerate(cluster.instances) if other is not owner
            )
            await owner.kill()
            for job in jobs:
                self.assertTrue(
                    await cluster.wait_for_phase(job, "completed", 30.0, survivor)
                )
            self.assertEqual(set(cluster.count_starts().values()), {1})

        self.run_scenario(scenario)

    def test_finished_run_unrecorded_by_killed_owner_is_recorded(self) -> None:
        # A job used to run again if its owner was killed before recording the finished
        # run.
        async def scenario(cluster: JobCluster) -> None:
            job = await cluster.submit(1, behaviour=TaskBehaviour(seconds=1.0))
            await sleep(0.5)
            owner = cluster.find_owner()
            assert owner is not None
            await owner.kill()
            survivor = 1 if cluster.instances[0] is owner else 0
            done = await cluster.wait_for_phase(job, "completed", 30.0, survivor)
            self.assertTrue(done)
            self.assertEqual(set(cluster.count_starts().values()), {1})

        self.run_scenario(scenario)

    def test_new_owner_respects_leases_on_unreachable_worker(
        self,
    ) -> None:
        # The workers continue their runs until the lease expires, while the new owner
        # reaches no worker. The check for overlapping runs follows in run_scenario.
        async def scenario(cluster: JobCluster) -> None:
            slow = TaskBehaviour(seconds=20.0)
            await cluster.submit(1, behaviour=slow)
            await sleep(1.0)
            owner = cluster.find_owner()
            assert owner is not None
            for instance in cluster.instances:
                if instance is not owner:
                    instance.gateway.unreachable.update(cluster.workers)
            await owner.kill()
            await sleep(25.0)

        self.run_scenario(scenario)

    def test_owner_refused_by_store_continues_through_relays(self) -> None:
        # The store rejects direct calls of the owner. The owner must send its calls
        # through other instances and keep the pool.
        async def scenario(cluster: JobCluster) -> None:
            owner = cluster.find_owner()
            assert owner is not None
            owner.store.is_rejecting_calls = True
            other = 1 if cluster.instances[0] is owner else 0
            for number in range(5):
                await cluster.submit(number, instance=other)
            await sleep(1.5)
            starts = [run.started_at for run in cluster.list_runs()]
            self.assertEqual(len(starts), 10)
            await sleep(5.0)
            self.assertIs(cluster.find_owner(), owner)

        self.run_scenario(scenario)

    def test_claim_with_lost_response_leaves_no_pool_unowned(self) -> None:
        # The claim takes effect, but the claiming instance receives no response. The
        # pool must not stay without an owner.
        async def scenario(cluster: JobCluster) -> None:
            owner = cluster.find_owner()
            assert owner is not None
            other = 1 if cluster.instances[0] is owner else 0
            job = await cluster.submit(1, instance=other)
            cluster.store.response_loss_keys = {f"control//duty/{POOL}"}
            await owner.kill()
            await sleep(8.0)
            cluster.store.response_loss_keys = set()
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 15.0, other))

        self.run_scenario(scenario)

    def test_owner_stopped_by_mistake_is_restarted(self) -> None:
        # The row of the duty still names the instance after its owner of the pool has
        # stopped, so no other instance claims the duty.
        async def scenario(cluster: JobCluster) -> None:
            owner = cluster.find_owner()
            assert owner is not None and owner.node is not None
            owner.node.find_owner(POOL).on_superseded()
            job = await cluster.submit(1)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 5.0))

        self.run_scenario(scenario)

    def test_isolated_owner_is_superseded(self) -> None:
        # The owner reaches neither the store nor other instances, but still reaches the
        # workers. The isolated owner must start no task that its successor starts.
        async def scenario(cluster: JobCluster) -> None:
            owner = cluster.find_owner()
            assert owner is not None
            owner.store.is_disconnected = True
            owner.is_isolated = True
            other = 1 if cluster.instances[0] is owner else 0
            jobs = [await cluster.submit(n, instance=other) for n in range(5)]
            for job in jobs:
                self.assertTrue(
                    await cluster.wait_for_phase(job, "completed", 9.0, other)
                )
            owner.store.is_disconnected = owner.is_isolated = False
            await sleep(5.0)

        self.run_scenario(scenario)

    def test_store_outage_at_any_moment_neither_loses_nor_repeats_a_job(
        self,
    ) -> None:
        for step in range(12):

            async def scenario(cluster: JobCluster, step: int = step) -> None:
                await cluster.submit(1, (STEP, StepSpec(count=2, after=(0,))))
                await sleep(0.01 * step)
                cluster.store.is_down = True
                await sleep(3.0)
                cluster.store.is_down = False
                job = await cluster.submit(1)
                self.assertTrue(await cluster.wait_for_phase(job, "completed", 30.0))

            self.run_scenario(scenario, instances=1)

    def test_lost_and_late_store_responses_neither_lose_nor_repeat_a_job(self) -> None:
        for seed in range(1, 6):

            async def scenario(cluster: JobCluster) -> None:
                cluster.store.response_loss_probability = 0.2
                cluster.store.late_write_probability = 0.1
                for number in range(10):
                    try:
                        await cluster.submit(number, instance=number % 3)
                    except RefusalError as error:
                        self.assertEqual(error.kind, ErrorKind.RUN_UNKNOWN)
                await sleep(10.0)
                cluster.store.response_loss_probability = (
                    cluster.store.late_write_probability
                ) = 0.0
                await sleep(10.0)
                for job in cluster.accepted:
                    self.assertTrue(
                        await cluster.wait_for_phase(job, "completed", 60.0)
                    )

            self.run_scenario(scenario, seed=seed)

    def test_changes_dropped_by_feed_are_reloaded(self) -> None:
        # The store truncates its history while a job is submitted, so the change feed
        # may never report the job.
        async def scenario(cluster: JobCluster) -> None:
            cluster.store.history_truncation_count += 1
            job = await cluster.submit(1)
            cluster.store.oldest_readable_revision = cluster.store.table.revision + 1
            cluster.store.history_truncation_count += 1
            await sleep(0.3)
            cluster.store.oldest_readable_revision = 0
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 10.0))

        self.run_scenario(scenario)

    def test_changes_dropped_by_feed_during_a_takeover_are_reloaded(self) -> None:
        # The store truncates its history after the new owner has read the jobs and
        # before it has loaded all else.
        read = EmulatedStore.read

        async def read_slowly(
            store: EmulatedStore, prefix: str, limit: int = 0
        ) -> RowSet:
            if prefix == f"progress/{QUEUE}/":
                await sleep(2.0)
            return await read(store, prefix, limit)

        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(99)
            await sleep(2.0)
            owner = cluster.find_owner()
            assert owner is not None
            other = 1 if cluster.instances[0] is owner else 0
            await owner.kill()
            with patch.object(EmulatedStore, "read", read_slowly):
                await cluster.wait_for(lambda: _count_claims(cluster) == 2, 10.0)
                await sleep(0.3)
                self.assertIsNone(cluster.find_owner())
                cluster.store.history_truncation_count += 1
                job = await cluster.submit(1, instance=other)
                revision = cluster.store.table.revision
                cluster.store.oldest_readable_revision = revision + 1
                cluster.store.history_truncation_count += 1
                await sleep(0.3)
                cluster.store.oldest_readable_revision = 0
                await sleep(3.0)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 10.0, other))

        self.run_scenario(scenario)

    def test_cancellation_during_a_takeover_is_not_lost(self) -> None:
        read = EmulatedStore.read

        async def read_slowly(
            store: EmulatedStore, prefix: str, limit: int = 0
        ) -> RowSet:
            if prefix == f"progress/{QUEUE}/":
                await sleep(1.0)
            return await read(store, prefix, limit)

        async def scenario(cluster: JobCluster) -> None:
            endless = TaskBehaviour(is_long_running=True)
            job = await cluster.submit(1, (LONG,), behaviour=endless)
            await sleep(1.0)
            owner = cluster.find_owner()
            assert owner is not None
            other = 1 if cluster.instances[0] is owner else 0
            await owner.kill()
            with patch.object(EmulatedStore, "read", read_slowly):
                await cluster.wait_for(lambda: _count_claims(cluster) == 2, 10.0)
                await sleep(0.3)
                self.assertIsNone(cluster.find_owner())
                await cluster.cancel(job, other)
                await sleep(5.0)
            active = [run for run in cluster.list_runs() if run.ended_at is None]
            self.assertEqual(active, [])

        self.run_scenario(scenario)

    def test_job_accepted_and_cancelled_during_a_takeover_does_not_run(self) -> None:
        read = EmulatedStore.read

        async def read_slowly(
            store: EmulatedStore, prefix: str, limit: int = 0
        ) -> RowSet:
            if prefix == f"progress/{QUEUE}/":
                await sleep(1.0)
            return await read(store, prefix, limit)

        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1)
            await sleep(2.0)
            owner = cluster.find_owner()
            assert owner is not None
            other = 1 if cluster.instances[0] is owner else 0
            await owner.kill()
            with patch.object(EmulatedStore, "read", read_slowly):
                await cluster.wait_for(lambda: _count_claims(cluster) == 2, 10.0)
                await sleep(0.3)
                self.assertIsNone(cluster.find_owner())
                endless = TaskBehaviour(is_long_running=True)
                job = await cluster.submit(2, (LONG,), other, endless)
                await cluster.cancel(job, other)
                await sleep(3.0)
            self.assertEqual(await cluster.read_phase(job, other), "cancelled")
            starts = [run for run in cluster.list_runs() if run.task.job == job]
            self.assertEqual(starts, [])

        self.run_scenario(scenario)

    def test_task_on_unregistered_worker_is_restarted(
        self,
    ) -> None:
        # The crashed worker is no longer registered when the new owner takes over. The
        # new owner must start the task again.
        async def scenario(cluster: JobCluster) -> None:
            slow = TaskBehaviour(seconds=3.0)
            job = await cluster.submit(1, behaviour=slow)
            await sleep(0.5)
            victim = next(run.worker for run in cluster.list_runs())
            cluster.workers[victim].crash()
            cluster.unregister_worker(victim)
            owner = cluster.find_owner()
            assert owner is not None
            survivor = 1 if cluster.instances[0] is owner else 0
            await owner.kill()
            self.assertTrue(
                await cluster.wait_for_phase(job, "completed", 25.0, survivor)
            )

        self.run_scenario(scenario)

    def test_repeated_takeovers_do_not_delay_restart_of_lost_tasks(self) -> None:
        # Time limit: the lease of 6 s on a slow clock, 2 s in which a superseded owner
        # may still renew leases, and 3 s.
        async def scenario(cluster: JobCluster) -> None:
            endless = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (LONG,), behaviour=endless)
            await sleep(1.0)
            victim = next(run.worker for run in cluster.list_runs())
            cluster.workers[victim].crash()
            cluster.unregister_worker(victim)
            for _ in range(2):
                await sleep(3.0)
                owner = cluster.find_owner()
                assert owner is not None
                await owner.stop()
                await owner.start()
            await sleep(5.2)
            active = [run for run in cluster.list_runs() if run.ended_at is None]
            self.assertEqual(len(active), 3)

        self.run_scenario(scenario)

    def test_worker_reachable_again_keeps_its_tasks(self) -> None:
        # The lease of an unresponsive worker is stored; the worker's leases are renewed
        # only after the stored record has been deleted.
        async def scenario(cluster: JobCluster) -> None:
            slow = TaskBehaviour(seconds=12.0)
            job = await cluster.submit(1, behaviour=slow)
            await sleep(1.0)
            for instance in cluster.instances:
                instance.gateway.unreachable.update(cluster.workers)
            await sleep(3.0)
            self.assertTrue(_find_leases(cluster))
            for instance in cluster.instances:
                instance.gateway.unreachable.clear()
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 15.0))
            self.assertFalse(_find_leases(cluster))
            self.assertEqual(set(cluster.count_starts().values()), {1})

        self.run_scenario(scenario)

    def test_lease_record_with_lost_response_does_not_block_renewal(self) -> None:
        # The record of an unresponsive worker's lease is stored, but the response is
        # lost. Unless the owner deletes the record, the worker's lease is not renewed.
        async def scenario(cluster: JobCluster) -> None:
            slow = TaskBehaviour(seconds=12.0)
            job = await cluster.submit(1, behaviour=slow)
            await sleep(1.0)
            for instance in cluster.instances:
                instance.gateway.unreachable.update(cluster.workers)
            cluster.store.response_loss_keys = {f"leases/{POOL}/lease"}
            await sleep(2.0)
            for instance in cluster.instances:
                instance.gateway.unreachable.clear()
            await sleep(1.0)
            cluster.store.response_loss_keys = set()
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 15.0))
            self.assertEqual(set(cluster.count_starts().values()), {1})

        self.run_scenario(scenario)


def _find_leases(cluster: JobCluster) -> list[str]:
    rows = cluster.store.table.read(f"leases/{POOL}/lease").rows
    return [name for row in rows for name in (row.value or {})["leases"]]


def _count_claims(cluster: JobCluster) -> int:
    return sum(
        line["event"] == "duty_claimed" and line["duty"] == POOL
        for log in cluster.logs
        for line in log.lines
    )
