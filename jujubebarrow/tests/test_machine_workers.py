"""Workers that have ended as the lists of machines show.

The tests guard against tasks that wait for a worker whose machine has another one, and
against a worker that counts as ended because lists have overtaken each other.
"""

import unittest
from asyncio import get_running_loop, sleep

from jujubebarrow.gateways.machine_controls import Machine, MachineState
from jujubebarrow.identifiers import ZoneId
from jujubebarrow.runtimes.machine_workers import (
    REMEMBERED_WORKERS_COUNT,
    MachineWorkers,
)
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import POOL, JobCluster
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SETTLE_SECONDS = 3.0
RESTART_LIMIT_SECONDS = 5.0
"""Time in which another worker joins, is listed, and the tasks start again; a lease of
the former worker takes 6 s."""
WATCH_SECONDS = 20.0
STEP = StepSpec(count=2, needs=Resources(1000, 100), estimate=9.0)


class MachineWorkersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.workers = MachineWorkers()

    def observe(
        self,
        worker: str,
        sent_at: float,
        received_at: float,
        state: MachineState = MachineState.UP,
        machine: str = "m",
    ) -> None:
        entry = Machine(
            machine=MachineId(machine),
            pool=POOL,
            state=state,
            zone=ZoneId("z"),
            labels=(),
            worker=WorkerId(worker),
        )
        self.workers.observe([entry], sent_at, received_at)

    def has_ended(self, worker: str) -> bool:
        return self.workers.has_ended(WorkerId(worker))

    def test_worker_has_ended_whose_machine_has_another_one(self) -> None:
        self.observe("a", 0.0, 0.1)
        self.observe("b", 1.0, 1.1)
        self.assertTrue(self.has_ended("a"))
        self.assertFalse(self.workers.is_listed(WorkerId("a")))
        self.assertTrue(self.workers.is_listed(WorkerId("b")))

    def test_machine_without_a_worker_shows_no_end(self) -> None:
        self.observe("a", 0.0, 0.1)
        self.observe("", 1.0, 1.1, MachineState.DOWN)
        self.observe("b", 2.0, 2.1, MachineState.MOVING)
        self.assertFalse(self.has_ended("a"))

    def test_list_that_was_requested_before_the_last_one_shows_no_end(self) -> None:
        self.observe("b", 1.0, 1.1)
        self.observe("a", 0.0, 1.2)
        self.assertFalse(self.has_ended("b"))
        self.observe("a", 1.05, 1.3)
        self.assertFalse(self.has_ended("b"))

    def test_worker_that_has_ended_is_never_listed_again(self) -> None:
        self.observe("a", 0.0, 0.1)
        self.observe("b", 1.0, 1.1)
        self.observe("a", 2.0, 2.1)
        self.assertFalse(self.has_ended("b"))
        self.assertFalse(self.workers.is_listed(WorkerId("a")))

    def test_remembered_workers_are_limited(self) -> None:
        for number in range(REMEMBERED_WORKERS_COUNT + 2):
            self.observe(f"w{number}", float(number), number + 0.1)
        self.assertFalse(self.has_ended("w0"))
        self.assertTrue(self.has_ended("w1"))


class ReplacedWorkerTest(JobCase):
    def measure_restart(self, seed: int, behaviour: TaskBehaviour) -> float:
        """Return the seconds in which the tasks of a replaced worker start again."""
        seconds = WATCH_SECONDS
        step = STEP

        async def scenario(cluster: JobCluster) -> None:
            nonlocal seconds
            await sleep(SETTLE_SECONDS)
            job = await cluster.submit(1, (step,), behaviour=behaviour)
            await sleep(1.0)
            name = next(run.worker for run in cluster.list_runs())
            lost = {run.task for run in cluster.list_runs() if run.worker == name}
            since = get_running_loop().time()
            cluster.machines.replace_worker(name)

            def count_restarted() -> int:
                return len(
                    {
                        run.task
                        for run in cluster.list_runs()
                        if run.started_at > since and run.task in lost
                    }
                )

            await cluster.wait_for(
                lambda: count_restarted() == len(lost), WATCH_SECONDS
            )
            seconds = get_running_loop().time() - since
            await cluster.wait_for_phase(job, "completed", WATCH_SECONDS)

        self.run_scenario(scenario, seed=seed, workers=3)
        return seconds

    def test_tasks_wait_for_no_lease_of_a_worker_whose_machine_has_another_one(
        self,
    ) -> None:
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                seconds = self.measure_restart(seed, TaskBehaviour(seconds=9.0))
                self.assertLess(seconds, RESTART_LIMIT_SECONDS)
