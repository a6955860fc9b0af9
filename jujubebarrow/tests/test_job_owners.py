"""Owners of pools and the store, judged by what the workers have seen."""

from asyncio import sleep

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_worlds import POOL, JobWorld
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

STEP = StepSpec(count=2, needs=Resources(1000, 500))
LONG = StepSpec(count=3, needs=Resources(1000, 500), long_running=True)


class JobOwnersTest(JobCase):
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

    def test_a_task_on_a_worker_that_nobody_knows_any_more_is_started_again(
        self,
    ) -> None:
        async def story(world: JobWorld) -> None:
            slow = TaskBehaviour(seconds=3.0)
            job = await world.submit(1, behaviour=slow)
            await sleep(0.5)
            victim = next(run.worker for run in world.runs())
            world.workers[victim].crash()
            world.remove_entry(victim)
            owner = world.find_owner()
            assert owner is not None
            survivor = 1 if world.instances[0] is owner else 0
            await owner.kill()
            self.assertTrue(
                await world.wait_for_phase(job, "completed", 25.0, survivor)
            )

        self.play(story)

    def test_owners_that_change_again_put_off_no_lost_task(self) -> None:
        # Bound: the lease of 6 s on a slow clock, 2 s for a displaced owner, and 3 s.
        async def story(world: JobWorld) -> None:
            forever = TaskBehaviour(long_running=True)
            await world.submit(1, (LONG,), behaviour=forever)
            await sleep(1.0)
            victim = next(run.worker for run in world.runs())
            world.workers[victim].crash()
            world.remove_entry(victim)
            for _ in range(2):
                await sleep(3.0)
                owner = world.find_owner()
                assert owner is not None
                await owner.stop()
                await owner.start()
            await sleep(5.2)
            alive = [run for run in world.runs() if run.ended is None]
            self.assertEqual(len(alive), 3)

        self.play(story)

    def test_a_worker_that_answers_again_keeps_its_tasks(self) -> None:
        # Its lease was put on record, so that it gets none before the record is gone.
        async def story(world: JobWorld) -> None:
            slow = TaskBehaviour(seconds=12.0)
            job = await world.submit(1, behaviour=slow)
            await sleep(1.0)
            for instance in world.instances:
                instance.gateway.unreachable.update(world.workers)
            await sleep(3.0)
            self.assertTrue(_find_leases(world))
            for instance in world.instances:
                instance.gateway.unreachable.clear()
            self.assertTrue(await world.wait_for_phase(job, "completed", 15.0))
            self.assertFalse(_find_leases(world))
            self.assertEqual(set(world.count_starts().values()), {1})

        self.play(story)

    def test_a_record_stored_late_keeps_no_worker_from_its_leases(self) -> None:
        async def story(world: JobWorld) -> None:
            slow = TaskBehaviour(seconds=12.0)
            job = await world.submit(1, behaviour=slow)
            await sleep(1.0)
            for instance in world.instances:
                instance.gateway.unreachable.update(world.workers)
            world.store.silent_keys = {f"leases/{POOL}/lease"}
            await sleep(2.0)
            for instance in world.instances:
                instance.gateway.unreachable.clear()
            await sleep(1.0)
            world.store.silent_keys = set()
            self.assertTrue(await world.wait_for_phase(job, "completed", 15.0))
            self.assertEqual(set(world.count_starts().values()), {1})

        self.play(story)


def _find_leases(world: JobWorld) -> list[str]:
    rows = world.store.table.read(f"leases/{POOL}/lease").rows
    return [name for row in rows for name in (row.value or {})["leases"]]
