"""Age of the last response of a worker, after which it is asked before a task starts.

The tests guard against starts on workers that may have restarted since they responded.
"""

import unittest
from asyncio import sleep

from jujubebarrow.coordinators.worker_views import (
    CONTACT_AGE_LIMIT_SECONDS,
    WorkerView,
)
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_clusters import POOL, JobCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

RESTARTED = WorkerId("w1")
LABELLED = StepSpec(count=16, needs=Resources(1000, 100), estimate=1.0, label="a")
SHORT = StepSpec(count=4, needs=Resources(4000, 100))
OTHER_LABELS = ("b", "r1")


class OpenRenewalTest(unittest.TestCase):
    def test_renewal_that_hangs_shows_no_recent_contact(self) -> None:
        view = WorkerView(WorkerId("w"), 0.0, FenceToken(1))
        view.record_contact(1.0, 10.0, 6.0)
        view.begin_renewal(10.1)
        # The owner was frozen, or the link swallows the end of the connection.
        self.assertFalse(view.is_contact_recent(15.0))

    def test_response_of_a_younger_clock_shows_no_recent_contact(self) -> None:
        view = WorkerView(WorkerId("w"), 0.0, FenceToken(1))
        view.record_contact(0.9, 10.0, 6.0)
        # A worker that had not restarted would read 3.9.
        view.record_response(0.5, 13.0)
        is_present = view.is_contact_recent(13.1) and not view.unresponsive_since
        self.assertFalse(is_present)


class RestartBeforeRenewalTest(unittest.TestCase):
    def run_restart(self, submit_after: float, store_seconds: float) -> list[float]:
        """Restart a worker as another kind right after it has become idle.

        Args:
            submit_after: Seconds from the restart to the next job.
            store_seconds: Seconds that the record of a run takes in addition.

        Returns:
            Seconds from the restart to each start that its labels do not permit, if
            they are more than the age limit of a contact.
        """

        async def main() -> list[float]:
            cluster = JobCluster(workers=2)
            try:
                await cluster.start()
                return await self.restart(cluster, submit_after, store_seconds)
            finally:
                for instance in cluster.instances:
                    await instance.kill()

        return run_virtual(main())

    async def restart(
        self, cluster: JobCluster, submit_after: float, store_seconds: float
    ) -> list[float]:
        await cluster.wait_for(lambda: cluster.find_owner(POOL), 10.0)
        await sleep(3.0)
        owner = cluster.find_owner(POOL)
        pool_owner = owner and owner.node and owner.node.find_owner(POOL)
        assert owner is not None and pool_owner
        worker = cluster.workers[RESTARTED]
        view = pool_owner.coordinator.state.workers[RESTARTED]
        session = pool_owner._sessions[RESTARTED]
        await cluster.submit(1, (SHORT,), behaviour=TaskBehaviour(seconds=0.2))
        while not worker.running:
            await sleep(0.002)
        while worker.running or view.runs or not session._is_idle:
            await sleep(0.002)
        clock = owner.clock
        restarted_at = clock.monotonic()
        worker.restart(labels=OTHER_LABELS)
        await sleep(submit_after)
        commit = pool_owner._writer._store.commit_once

        async def commit_slowly(*args: object, **options: object) -> object:
            await sleep(store_seconds)
            return await commit(*args, **options)

        pool_owner._writer._store.commit_once = commit_slowly
        await cluster.submit(2, (LABELLED,))
        await sleep(2.0)
        cluster.register_worker(RESTARTED)
        await sleep(4.0)
        delays = [run.started_at - restarted_at for run in worker.run_history]
        return [
            round(delay, 3)
            for delay, run in zip(delays, worker.run_history, strict=True)
            if "a" not in run.labels and delay > CONTACT_AGE_LIMIT_SECONDS + 0.01
        ]

    def test_restart_between_a_response_and_the_next_renewal_is_noticed(self) -> None:
        for store_seconds in (0.0, 0.2, 0.35):
            for submit_after in (0.3, 0.4, 0.5, 0.6):
                with self.subTest(submit=submit_after, store=store_seconds):
                    self.assertEqual(self.run_restart(submit_after, store_seconds), [])
