"""Kinds of steps: times, gangs, labels, racks, copies of a pool's pace."""

import unittest
from asyncio import get_running_loop, sleep
from collections import defaultdict

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.job_ledgers import JobLedger
from jujubebarrow.coordinators.pacers import Pacer
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.terms import CoordinatorTerms
from jujubebarrow.identifiers import JobId, PoolId, QueueId, TeamId
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_worlds import JobWorld
from jujubebarrow.workloads.identifiers import (
    FenceToken,
    RunNumber,
    WorkerId,
    WorkerLife,
)
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.task_keys import TaskKey

SMALL = Resources(1000, 500)


class StepKindsTest(JobCase):
    def test_occurrences_start_at_their_times(self) -> None:
        async def story(world: JobWorld) -> None:
            begin = get_running_loop().time() + 2.0
            step = StepSpec(count=2, needs=SMALL)
            submission = JobSubmission(
                payload="timed",
                steps=(step,),
                first_start=begin,
                interval=1.5,
                occurrences=3,
            )
            world.behaviours["timed"] = TaskBehaviour(seconds=2.0)
            job = await world.submit_whole("0" * 15 + "7", submission)
            await sleep(4.0)
            self.assertEqual(await world.read_phase(job), "running")
            self.assertTrue(await world.wait_for_phase(job, "completed", 10.0))
            starts = defaultdict(list)
            for run in world.runs():
                starts[run.task.occurrence].append(run.started)
            self.assertEqual(sorted(starts), [0, 1, 2])
            for occurrence, moments in starts.items():
                due = begin + 1.5 * occurrence
                self.assertEqual(len(moments), 2)
                self.assertGreaterEqual(min(moments), due - 0.1)
                self.assertLess(max(moments), due + 0.5)

        self.play(story)

    def test_a_gang_starts_whole_or_not_at_all(self) -> None:
        async def story(world: JobWorld) -> None:
            filler = StepSpec(count=20, needs=SMALL)
            await world.submit(1, (filler,), behaviour=TaskBehaviour(seconds=3.0))
            await sleep(1.0)
            gang = StepSpec(count=8, needs=SMALL, gang=True)
            job = await world.submit(2, (gang,), behaviour=TaskBehaviour(seconds=1.0))
            await sleep(1.0)
            own = [run for run in world.runs() if run.task.job == job]
            self.assertEqual(own, [])
            self.assertTrue(await world.wait_for_phase(job, "completed", 10.0))
            own = [run for run in world.runs() if run.task.job == job]
            self.assertEqual(len(own), 8)
            self.assertEqual({run.run for run in own}, {1})
            self.assertLess(
                max(run.started for run in own) - min(run.started for run in own), 0.2
            )

        self.play(story)

    def test_labels_racks_and_spread_are_kept_to(self) -> None:
        async def story(world: JobWorld) -> None:
            for number, name in enumerate(("w0", "w1", "w2")):
                world.workers[WorkerId(name)].labels = (
                    "b" if number == 2 else "a",
                    f"r{number}",
                )
                world.write_entry(WorkerId(name))
            await sleep(1.0)
            labelled = await world.submit(
                1, (StepSpec(count=3, needs=SMALL, label="b"),)
            )
            near = await world.submit(
                2, (StepSpec(count=3, needs=SMALL, data_rack="r1"),)
            )
            spread = await world.submit(
                3, (StepSpec(count=3, needs=SMALL, most_per_worker=1),)
            )
            await sleep(4.0)
            places = defaultdict(list)
            for run in world.runs():
                places[run.task.job].append(run.worker)
            self.assertEqual(set(places[labelled]), {"w2"})
            self.assertEqual(set(places[near]), {"w1"})
            self.assertEqual(sorted(places[spread]), ["w0", "w1", "w2"])

        self.play(story)


class PacerTest(unittest.TestCase):
    """A task with users and a task that uses leftovers on one worker."""

    def setUp(self) -> None:
        terms = CoordinatorTerms(
            lease=6.0,
            longest_lease=6.0,
            displaced_hold=2.0,
            stop_grace=0.2,
            early_start=0.1,
        )
        self.state = PoolState(PoolId("p"), FenceToken(1), terms, 0.0)
        self.serving = self.add(
            "1" * 16, StepSpec(long_running=True, target_latency=0.1)
        )
        self.filler = self.add(
            "2" * 16, StepSpec(long_running=True, uses_leftovers=True)
        )
        self.worker = self.state.workers[WorkerId("w")]
        self.pacer = Pacer(self.state)

    def add(self, name: str, step: StepSpec) -> ActiveRun:
        record = JobRecord(
            job=JobId(name),
            queue=QueueId("q"),
            pool=PoolId("p"),
            team=TeamId(""),
            accepted=0.0,
            payload="",
            steps=(step,),
        )
        job = JobLedger(record, 0.0)
        self.state.jobs[record.job] = job
        job.open_due(0.0, 0.0)
        run = ActiveRun(
            task=TaskKey(record.job, 0, 0, 0),
            run=RunNumber(1),
            life=WorkerLife(("w", 1)),
            reserved=step.reserved,
            usage=step.needs,
            stage=RunStage.CONFIRMED,
        )
        job.begin_run(run)
        self.state.add_run(job, run)
        return run

    def look(self, milliseconds: int) -> int:
        self.serving.load = milliseconds
        for run in self.pacer.adjust(self.worker):
            run.pace = self.worker.leftover_pace
        return self.filler.pace

    def test_leftovers_are_slowed_before_the_target_is_passed(self) -> None:
        self.assertEqual(self.look(50), 100)
        self.assertEqual(self.look(95), 50)
        self.assertEqual(self.look(120), 25)
        self.assertEqual(self.look(120), 12)
        self.assertEqual(self.look(120), 0)

    def test_they_get_their_speed_back_step_by_step(self) -> None:
        for _ in range(4):
            self.look(120)
        paces = [self.look(40) for _ in range(9)]
        self.assertEqual(paces[-1], 100)
        self.assertEqual(paces, sorted(paces))
        self.assertEqual(self.look(80), 100)

    def test_the_task_with_users_keeps_its_speed(self) -> None:
        self.look(200)
        self.assertEqual(self.serving.pace, 100)
