"""Long-running tasks that wait although a worker has room for them."""

import unittest
from asyncio import get_running_loop, sleep
from dataclasses import replace
from random import Random

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.worker_views import CLOCK_RATE
from jujubebarrow.identifiers import JobId
from jujubebarrow.runtimes.order_senders import LATE_START_SECONDS
from jujubebarrow.runtimes.pool_owners import PoolOwner
from jujubebarrow.standins.emulated_stores import EmulatedStore
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import LEASE_SECONDS, POOL, QUEUE, JobCluster
from jujubebarrow.tests.fakes.long_running_faults import LongRunningFaults
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.task_keys import TaskKey

CI_SEEDS = (1, 27, 65, 68)
LOST_WORKER_SEEDS = (3001, 3028)
"""Seeds in which a worker with long-running tasks is lost after a renewal or a start
without a response."""
LONG_RUNNING_JOBS = (JobId(f"{1:016x}"), JobId(f"{2:016x}"))
LAST_ORDER_BOUND_SECONDS = LATE_START_SECONDS + LEASE_SECONDS / CLOCK_RATE + 1.0
"""Time after the loss of a worker until no order to it can be executed any more and the
lease that such an order grants is over, and a poll."""
WORKER_COUNT = 6
NEEDS = Resources(1000, 500)
WARM_UP_SECONDS = 1.0
"""Time in which the warm-up ends; its workers have responded shortly before."""
ENTRY_EXPIRY_SECONDS = 4.5
"""Time after the loss of a worker in which its registration is removed."""
RESTART_BOUND_SECONDS = 11.5
"""The same time, four seconds of calm and three in which a task may wait."""
LONG_RUNNING = StepSpec(count=2, needs=NEEDS, long_running=True, most_per_worker=1)


def simulate(
    seed: int, registrations_stay: bool = True
) -> tuple[list[str], list[str], JobCluster]:
    """Return the waits and violations, the injected faults, and the cluster.

    Args:
        seed: Seed of the cluster and of the faults.
        registrations_stay: Whether the registration of a lost worker may stay for good.
    """

    async def main() -> tuple[list[str], list[str], JobCluster]:
        cluster = JobCluster(seed=seed, instances=3, workers=WORKER_COUNT)
        faults = LongRunningFaults(cluster, Random(seed), registrations_stay)
        try:
            await cluster.start()
            await faults.run()
            waits = await faults.find_waits()
        finally:
            for instance in cluster.instances:
                await instance.kill()
        failed_tasks = [
            str(line)
            for log in cluster.logs
            for line in log.lines
            if line["event"] == "task_failed"
        ]
        found = [*waits, *cluster.find_repeated_runs(), *failed_tasks]
        return found, faults.events, cluster

    return run_virtual(main())


def find_lost_ends(cluster: JobCluster) -> dict[TaskKey, float]:
    """Return the times at which the long-running tasks of lost workers ended."""
    return {
        run.task: run.ended_at
        for run in cluster.list_runs()
        if run.task.job in LONG_RUNNING_JOBS
        and run.ended_at is not None
        and run.outcome is None
        and not cluster.workers[run.worker].is_up
    }


class LongRunningWaitsTest(unittest.TestCase):
    def test_tasks_run_again_soon_after_random_faults(self) -> None:
        for seed in CI_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(simulate(seed)[0], [])

    def test_task_whose_start_got_no_response_runs_again_soon(self) -> None:
        self.assertEqual(simulate(3001)[0], [])

    def test_task_of_a_lost_worker_runs_again_soon_after_random_faults(self) -> None:
        """Guards against waits for a worker whose last orders got no response.

        Its registration is removed as the platform's contract says. While it stays, the
        worker may be alive and execute these orders; see the next test.
        """
        for seed in LOST_WORKER_SEEDS:
            with self.subTest(seed=seed):
                found, events, _ = simulate(seed, registrations_stay=False)
                self.assertTrue(any("lose_worker" in event for event in events))
                self.assertEqual(found, [])

    def test_task_of_a_worker_that_stays_registered_waits_for_its_orders_only(
        self,
    ) -> None:
        for seed in LOST_WORKER_SEEDS:
            with self.subTest(seed=seed):
                found, _, cluster = simulate(seed)
                self.assertEqual([x for x in found if " waits at " not in x], [])
                ends = find_lost_ends(cluster)
                self.assertTrue(ends)
                for task, ended_at in ends.items():
                    starts = [
                        run.started_at
                        for run in cluster.list_runs()
                        if run.task == task and run.started_at > ended_at
                    ]
                    self.assertTrue(starts, task)
                    self.assertLess(min(starts) - ended_at, LAST_ORDER_BOUND_SECONDS)


def find_pool_owner(cluster: JobCluster) -> PoolOwner:
    instance = cluster.find_owner()
    assert instance is not None and instance.node is not None
    owner = instance.node.find_owner(POOL)
    assert owner is not None
    return owner


def find_active_runs(cluster: JobCluster, job: JobId) -> list[ActiveRun]:
    progress = find_pool_owner(cluster).coordinator.state.jobs.get(job)
    return list(progress.active_runs()) if progress is not None else []


def delay_first_commit(store: EmulatedStore, job: JobId, seconds: float) -> None:
    """Delay the first transaction that stores the progress of a job."""
    original, key, pending = store.try_commit, f"progress/{QUEUE}/{job}", [seconds]

    async def try_commit(transaction: Transaction) -> CommitResult:
        if key in transaction.writes and pending:
            await sleep(pending.pop())
        return await original(transaction)

    store.try_commit = try_commit  # type: ignore[method-assign]


class WaitCauseTest(JobCase):
    def test_worker_reached_again_after_its_runs_were_given_up_gets_tasks(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            lasting = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (LONG_RUNNING,), behaviour=lasting)
            await sleep(1.0)
            owner = cluster.find_owner()
            assert owner is not None
            name, worker = next(iter(cluster.workers.items()))
            owner.gateway.unreachable.add(name)
            await sleep(9.0)
            self.assertEqual(worker.running, [])
            owner.gateway.unreachable.clear()
            self.assertTrue(await cluster.wait_for(lambda: worker.running, 3.0))
            self.assertEqual(cluster.find_owner(), owner)

        self.run_scenario(scenario, workers=2)

    def test_task_placed_on_a_lost_worker_runs_elsewhere_in_time(self) -> None:
        """Guards against a task that waits for a start that nobody can execute."""

        async def scenario(cluster: JobCluster) -> None:
            warm_up = StepSpec(count=40, needs=NEEDS, most_per_worker=5)
            await cluster.submit(1, (warm_up,), behaviour=TaskBehaviour(seconds=0.5))
            await sleep(WARM_UP_SECONDS)
            lost = cluster.workers[WorkerId("w0")]
            lost.crash()
            step = StepSpec(count=8, needs=NEEDS, most_per_worker=2, long_running=True)
            lasting = TaskBehaviour(is_long_running=True)
            job = await cluster.submit(2, (step,), behaviour=lasting)

            def count_running() -> int:
                runs = cluster.list_runs()
                return sum(r.task.job == job and r.ended_at is None for r in runs)

            await sleep(ENTRY_EXPIRY_SECONDS)
            self.assertLess(count_running(), 8)
            cluster.unregister_worker(lost.worker)
            remaining = RESTART_BOUND_SECONDS - ENTRY_EXPIRY_SECONDS
            self.assertTrue(
                await cluster.wait_for(lambda: count_running() == 8, remaining)
            )

        self.run_scenario(scenario, workers=8)

    def test_start_that_cannot_be_sent_moves_to_another_worker(self) -> None:
        # The worker becomes unreachable while the run is being stored.
        async def scenario(cluster: JobCluster) -> None:
            lasting = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (LONG_RUNNING,), behaviour=lasting)
            await sleep(1.0)
            owner = cluster.find_owner()
            assert owner is not None
            delay_first_commit(owner.store, JobId(f"{2:016x}"), 3.0)
            step = replace(LONG_RUNNING, count=1)
            job = await cluster.submit(2, (step,), behaviour=lasting)
            await cluster.wait_for(lambda: find_active_runs(cluster, job), 3.0)
            unreachable = find_active_runs(cluster, job)[0].worker
            owner.gateway.unreachable.add(unreachable)

            def is_running() -> bool:
                return any(run.task.job == job for run in cluster.list_runs())

            self.assertTrue(await cluster.wait_for(is_running, 9.0))

        self.run_scenario(scenario, workers=2)

    def test_long_running_task_uses_the_only_worker_apart_although_it_is_paused(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            lasting = TaskBehaviour(is_long_running=True)
            job = await cluster.submit(1, (LONG_RUNNING,), behaviour=lasting)
            await sleep(1.0)
            used = {run.worker for run in cluster.list_runs()}
            spare = (cluster.workers.keys() - used).pop()
            now = get_running_loop().time()
            workers = find_pool_owner(cluster).coordinator.state.workers
            workers[spare].score.pause(now + 16.0)
            lost = cluster.workers[min(used)]
            lost.crash()
            cluster.unregister_worker(lost.worker)

            def runs_on_spare() -> bool:
                return any(r.task.job == job for r in cluster.workers[spare].running)

            self.assertTrue(await cluster.wait_for(runs_on_spare, 9.0))

        self.run_scenario(scenario, workers=3)

    def test_unresponsive_worker_is_replaced_by_a_machine_of_another_pool(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            lasting = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (LONG_RUNNING,), behaviour=lasting)
            await sleep(1.0)
            for instance in cluster.instances:
                instance.gateway.unreachable.add(WorkerId("w0"))

            def is_replaced() -> bool:
                return bool(cluster.workers[WorkerId("w2")].running)

            self.assertTrue(await cluster.wait_for(is_replaced, 25.0))

        self.run_scenario(scenario, workers=2, standby=1)
