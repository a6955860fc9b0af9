"""The job core in virtual time, judged by what the workers have seen."""

import unittest
from asyncio import sleep
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.fleets.advice_terms import AdviceTerms
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_worlds import CAPACITY, POOL, ROUTE, JobWorld
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.run_ends import RunOutcome
from jujubebarrow.workloads.step_specs import StepSpec

STEP = StepSpec(count=2, needs=Resources(1000, 500))
LONG = StepSpec(count=3, needs=Resources(1000, 500), long_running=True)


class JobCoreTest(unittest.TestCase):
    def play(
        self, story: Callable[[JobWorld], Coroutine[Any, Any, None]], **options: Any
    ) -> JobWorld:
        async def main() -> JobWorld:
            world = JobWorld(**options)
            try:
                await world.start()
                await story(world)
            finally:
                for instance in world.instances:
                    await instance.kill()
            self.assertEqual(world.find_faults(), [])
            failed = [
                line
                for log in world.logs
                for line in log.lines
                if line["event"] == "task_failed"
            ]
            self.assertEqual(failed, [])
            return world

        return run_virtual(main())

    def test_jobs_run_once_each_in_the_order_of_their_steps(self) -> None:
        steps = (STEP, StepSpec(count=3, needs=Resources(1000, 500), after=(0,)))

        async def story(world: JobWorld) -> None:
            jobs = [await world.submit(n, steps, instance=n % 3) for n in range(10)]
            for job in jobs:
                self.assertTrue(await world.wait_for_phase(job, "completed", 20.0, 1))
            self.assertEqual(set(world.count_starts().values()), {1})
            ends = {run.task: run.ended for run in world.runs()}
            for run in world.runs():
                if run.task.step == 1:
                    for index in range(2):
                        before = run.task._replace(step=0, index=index)
                        self.assertGreaterEqual(run.started, ends[before])

        self.play(story)

    def test_a_repeated_id_remains_one_job_at_every_instance_and_step(self) -> None:
        async def story(world: JobWorld) -> None:
            job = await world.submit(1)
            for number in range(20):
                await world.submit(1, instance=number % 3)
                await sleep(0.1)
            self.assertTrue(await world.wait_for_phase(job, "completed", 10.0))
            await world.submit(1, instance=2)
            await sleep(3.0)
            self.assertEqual(set(world.count_starts().values()), {1})

        self.play(story)

    def test_tasks_that_stand_still_are_started_elsewhere(self) -> None:
        async def story(world: JobWorld) -> None:
            world.workers[WorkerId("w0")].stands_still = True
            step = StepSpec(count=2, needs=Resources(1000, 500), estimate=0.5)
            jobs = [await world.submit(number, (step,)) for number in range(5)]
            for job in jobs:
                self.assertTrue(await world.wait_for_phase(job, "completed", 6.0))

        self.play(story)

    def test_a_killed_owner_is_followed_by_another_and_no_task_runs_twice(
        self,
    ) -> None:
        async def story(world: JobWorld) -> None:
            slow = TaskBehaviour(seconds=5.0)
            jobs = [await world.submit(n, behaviour=slow) for n in range(4)]
            await sleep(1.0)
            owner = world.find_owner()
            assert owner is not None
            survivor = next(
                n for n, other in enumerate(world.instances) if other is not owner
            )
            await owner.kill()
            for job in jobs:
                self.assertTrue(
                    await world.wait_for_phase(job, "completed", 30.0, survivor)
                )
            self.assertEqual(set(world.count_starts().values()), {1})

        self.play(story)

    def test_an_end_that_its_owner_did_not_live_to_note_is_taken_over(self) -> None:
        # A job whose end was not on record when its owner died used to run again.
        async def story(world: JobWorld) -> None:
            job = await world.submit(1, behaviour=TaskBehaviour(seconds=1.0))
            await sleep(0.5)
            owner = world.find_owner()
            assert owner is not None
            await owner.kill()
            survivor = 1 if world.instances[0] is owner else 0
            done = await world.wait_for_phase(job, "completed", 30.0, survivor)
            self.assertTrue(done)
            self.assertEqual(set(world.count_starts().values()), {1})

        self.play(story)

    def test_leases_of_a_former_owner_outlast_a_worker_that_cannot_be_reached(
        self,
    ) -> None:
        async def story(world: JobWorld) -> None:
            slow = TaskBehaviour(seconds=20.0)
            await world.submit(1, behaviour=slow)
            await sleep(1.0)
            owner = world.find_owner()
            assert owner is not None
            for instance in world.instances:
                if instance is not owner:
                    instance.gateway.unreachable.update(world.workers)
            await owner.kill()
            await sleep(25.0)

        self.play(story)

    def test_an_owner_that_the_store_turns_away_goes_on_through_others(self) -> None:
        async def story(world: JobWorld) -> None:
            owner = world.find_owner()
            assert owner is not None
            owner.store.is_refused = True
            other = 1 if world.instances[0] is owner else 0
            for number in range(5):
                await world.submit(number, instance=other)
            await sleep(1.5)
            starts = [run.started for run in world.runs()]
            self.assertEqual(len(starts), 10)
            await sleep(5.0)
            self.assertIs(world.find_owner(), owner)

        self.play(story)

    def test_a_claim_without_an_answer_leaves_no_pool_without_an_owner(self) -> None:
        async def story(world: JobWorld) -> None:
            owner = world.find_owner()
            assert owner is not None
            other = 1 if world.instances[0] is owner else 0
            job = await world.submit(1, instance=other)
            world.store.silent_keys = {f"control//duty/{POOL}"}
            await owner.kill()
            await sleep(8.0)
            world.store.silent_keys = set()
            self.assertTrue(await world.wait_for_phase(job, "completed", 15.0, other))

        self.play(story)

    def test_an_owner_that_gives_up_by_mistake_takes_its_pool_again(self) -> None:
        async def story(world: JobWorld) -> None:
            owner = world.find_owner()
            assert owner is not None and owner.node is not None
            owner.node.find_owner(POOL).on_displaced()
            job = await world.submit(1)
            self.assertTrue(await world.wait_for_phase(job, "completed", 5.0))

        self.play(story)

    def test_an_owner_that_reaches_nobody_is_followed_by_another(self) -> None:
        async def story(world: JobWorld) -> None:
            owner = world.find_owner()
            assert owner is not None
            owner.store.is_cut = True
            owner.is_alone = True
            other = 1 if world.instances[0] is owner else 0
            jobs = [await world.submit(n, instance=other) for n in range(5)]
            for job in jobs:
                self.assertTrue(
                    await world.wait_for_phase(job, "completed", 9.0, other)
                )
            owner.store.is_cut = owner.is_alone = False
            await sleep(5.0)

        self.play(story)

    def test_starts_without_an_answer_are_not_given_to_another_worker(self) -> None:
        async def story(world: JobWorld) -> None:
            for worker in world.workers.values():
                worker.late_share = 0.3
                worker.lost_share = 0.2
            jobs = [await world.submit(n) for n in range(12)]
            for job in jobs:
                self.assertTrue(await world.wait_for_phase(job, "completed", 60.0))
            await sleep(15.0)

        self.play(story)

    def test_a_worker_that_starts_again_runs_no_late_start_of_a_moved_task(
        self,
    ) -> None:
        for seed in range(1, 6):

            async def story(world: JobWorld) -> None:
                for worker in world.workers.values():
                    worker.late_share = 0.5
                slow = TaskBehaviour(seconds=3.0)
                for number in range(6):
                    await world.submit(number, behaviour=slow)
                await sleep(1.5)
                victim = WorkerId("w0")
                world.workers[victim].crash()
                world.remove_entry(victim)
                await sleep(1.0)
                world.workers[victim].restart()
                world.write_entry(victim)
                await sleep(30.0)

            self.play(story, seed=seed)

    def test_a_store_that_goes_away_at_any_moment_loses_and_doubles_nothing(
        self,
    ) -> None:
        for step in range(12):

            async def story(world: JobWorld, step: int = step) -> None:
                await world.submit(1, (STEP, StepSpec(count=2, after=(0,))))
                await sleep(0.01 * step)
                world.store.is_down = True
                await sleep(3.0)
                world.store.is_down = False
                job = await world.submit(1)
                self.assertTrue(await world.wait_for_phase(job, "completed", 30.0))

            self.play(story, instances=1)

    def test_lost_and_late_answers_of_the_store_lose_and_double_nothing(self) -> None:
        for seed in range(1, 6):

            async def story(world: JobWorld) -> None:
                world.store.lost_share = 0.2
                world.store.late_share = 0.1
                for number in range(10):
                    try:
                        await world.submit(number, instance=number % 3)
                    except RefusalError as error:
                        self.assertEqual(error.kind, ErrorKind.RUN_UNKNOWN)
                await sleep(10.0)
                world.store.lost_share = world.store.late_share = 0.0
                await sleep(10.0)
                for job in world.accepted:
                    self.assertTrue(await world.wait_for_phase(job, "completed", 60.0))

            self.play(story, seed=seed)

    def test_a_cancelled_job_is_stopped_and_shown_as_cancelled(self) -> None:
        for step in range(8):

            async def story(world: JobWorld, step: int = step) -> None:
                slow = TaskBehaviour(seconds=30.0)
                job = await world.submit(1, behaviour=slow)
                await sleep(0.012 * step)
                await world.cancel(job, instance=2)
                self.assertTrue(await world.wait_for_phase(job, "cancelled", 3.0, 1))
                await sleep(3.0)
                self.assertTrue(all(run.ended is not None for run in world.runs()))

            self.play(story)

    def test_an_unknown_job_can_be_neither_read_nor_cancelled(self) -> None:
        async def story(world: JobWorld) -> None:
            node = world.instances[0].node
            assert node is not None
            for operation in (world.read_phase, world.cancel):
                with self.assertRaises(RefusalError) as caught:
                    await operation("0" * 16)
                self.assertEqual(caught.exception.kind, ErrorKind.NOT_FOUND)

        self.play(story)

    def test_a_job_that_cannot_be_done_fails_after_its_attempts(self) -> None:
        async def story(world: JobWorld) -> None:
            job = await world.submit(
                1, (StepSpec(count=1),), behaviour=TaskBehaviour(0.2, fails=True)
            )
            self.assertTrue(await world.wait_for_phase(job, "failed", 20.0))
            await sleep(3.0)
            self.assertEqual(len(world.runs()), 3)

        self.play(story)

    def test_long_running_tasks_come_back_after_a_crash(self) -> None:
        async def story(world: JobWorld) -> None:
            forever = TaskBehaviour(long_running=True)
            await world.submit(1, (LONG,), behaviour=forever)
            await sleep(2.0)
            victim = next(run.worker for run in world.runs())
            world.workers[victim].crash()
            world.remove_entry(victim)
            await sleep(LEASE_AND_RESTART)
            alive = [run for run in world.runs() if run.ended is None]
            self.assertEqual(len(alive), 3)

        self.play(story)

    def test_long_running_tasks_find_room_in_a_full_pool(self) -> None:
        async def story(world: JobWorld) -> None:
            slow = TaskBehaviour(seconds=60.0)
            wide = StepSpec(count=24, needs=Resources(1000, 500))
            await world.submit(1, (wide,), behaviour=slow)
            await sleep(1.0)
            forever = TaskBehaviour(long_running=True)
            job = await world.submit(2, (LONG,), behaviour=forever)
            await sleep(3.0)
            alive = [
                run for run in world.runs() if run.task.job == job and run.ended is None
            ]
            self.assertEqual(len(alive), 3)

        self.play(story)

    def test_a_wave_keeps_to_its_number_and_its_time(self) -> None:
        async def story(world: JobWorld) -> None:
            spread = StepSpec(
                count=3,
                needs=Resources(1000, 500),
                long_running=True,
                most_per_worker=1,
                tolerated_absences=1,
            )
            forever = TaskBehaviour(long_running=True)
            await world.submit(1, (spread,), behaviour=forever)
            await sleep(2.0)
            names = tuple(MachineId(f"m-w{n}") for n in range(4))
            world.write_wave(
                WaveRequest(wave=7, machines=names, duration=40.0, most_at_once=2)
            )
            await sleep(40.0)
            self.assertEqual(len(world.machines.orders), 4)
            self.assertLessEqual(world.machines.most_down, 2)
            rows = world.store.table.read("status//wave/7").rows
            self.assertTrue(rows[0].value["completed"])

        self.play(story, workers=4)

    def test_a_pool_that_is_short_gets_machines_that_are_off(self) -> None:
        async def story(world: JobWorld) -> None:
            for number in range(40):
                await world.submit(number, behaviour=TaskBehaviour(seconds=2.0))
            await sleep(15.0)
            self.assertEqual(len(world.machines.moves), 2)
            self.assertEqual(world.machines.cut_by_moves, 0)
            moved = [world.workers[WorkerId(name)].record for name in ("w2", "w3")]
            self.assertTrue(all(moved))

        self.play(story, workers=2, standby=2)

    def test_a_machine_that_is_being_maintained_is_not_moved(self) -> None:
        for step in range(8):

            async def story(world: JobWorld, step: int = step) -> None:
                names = tuple(MachineId(f"m-w{n}") for n in range(2, 5))
                world.write_wave(
                    WaveRequest(wave=7, machines=names, duration=30.0, most_at_once=2)
                )
                await sleep(0.1 * step)
                for number in range(40):
                    await world.submit(number, behaviour=TaskBehaviour(seconds=2.0))
                await sleep(20.0)
                self.assertEqual(len(world.machines.orders), 3)
                self.assertLessEqual(world.machines.most_down, 2)
                self.assertEqual(world.machines.refused, 0)
                rows = world.store.table.read("status//wave/7").rows
                self.assertTrue(rows[0].value["completed"])

            self.play(story, workers=2, standby=3)

    def test_maintenance_counts_a_task_on_a_silent_worker_as_away(self) -> None:
        async def story(world: JobWorld) -> None:
            spread = StepSpec(
                count=3,
                needs=Resources(1000, 500),
                long_running=True,
                most_per_worker=1,
                tolerated_absences=1,
            )
            forever = TaskBehaviour(long_running=True)
            await world.submit(1, (spread,), behaviour=forever)
            await sleep(2.0)
            homes = [run.worker for run in world.runs()]
            world.workers[homes[0]].crash()
            await sleep(2.0)
            machines = tuple(MachineId(f"m-{name}") for name in homes[1:])
            world.write_wave(
                WaveRequest(wave=7, machines=machines, duration=30.0, most_at_once=2)
            )
            await sleep(2.0)
            stopped = [run for run in world.runs() if run.outcome is RunOutcome.STOPPED]
            self.assertEqual(stopped, [])

        self.play(story, workers=5)

    def test_no_team_runs_more_than_its_upper_limit(self) -> None:
        async def story(world: JobWorld) -> None:
            world.write_fleet(2, Resources(5000, 0, 0))
            await sleep(1.0)
            for number in range(6):
                await world.submit(number, behaviour=TaskBehaviour(seconds=1.0))
            for _ in range(100):
                await sleep(0.1)
                alive = [run for run in world.runs() if run.ended is None]
                self.assertLessEqual(len(alive), 5)
            self.assertEqual(len(world.runs()), 12)

        self.play(story)

    def test_steps_run_only_where_the_advice_grants_them(self) -> None:
        async def story(world: JobWorld) -> None:
            world.advisor.refused = {WorkerId("w1")}
            world.route = replace(ROUTE, advice=AdviceTerms(0.04, 0.001, 3.0))
            world.write_fleet(2)
            await sleep(1.0)
            for number in range(6):
                await world.submit(number)
            await sleep(5.0)
            self.assertEqual(len(world.runs()), 12)
            self.assertEqual(world.workers[WorkerId("w1")].record, [])
            self.assertEqual(world.advisor.most_busy, 1)

        self.play(story)

    def test_nothing_new_is_placed_on_a_draining_worker(self) -> None:
        async def story(world: JobWorld) -> None:
            world.set_draining(WorkerId("w0"))
            await sleep(1.0)
            for number in range(6):
                await world.submit(number)
            await sleep(5.0)
            self.assertEqual(world.workers[WorkerId("w0")].record, [])

        self.play(story)

    def test_changes_that_the_feed_has_dropped_are_read_anew(self) -> None:
        async def story(world: JobWorld) -> None:
            world.store.history_cuts += 1
            job = await world.submit(1)
            world.store.history_from = world.store.table.revision + 1
            world.store.history_cuts += 1
            await sleep(0.3)
            world.store.history_from = 0
            self.assertTrue(await world.wait_for_phase(job, "completed", 10.0))

        self.play(story)

    def test_capacity_is_used_but_not_exceeded(self) -> None:
        async def story(world: JobWorld) -> None:
            for number in range(30):
                await world.submit(number, behaviour=TaskBehaviour(seconds=1.0))
            await sleep(8.0)
            self.assertEqual(len(world.runs()), 60)
            self.assertEqual(CAPACITY.cpu, 8000)

        self.play(story)


LEASE_AND_RESTART = 8.0
"""Seconds: the lease of 6 s on a worker's slow clock, and the restart."""
