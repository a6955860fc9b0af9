"""Waves, moves, drains and advice, judged by what the workers have seen."""

from asyncio import sleep
from dataclasses import replace

from jujubebarrow.fleets.advice_terms import AdviceTerms
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_worlds import ROUTE, JobWorld
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.run_ends import RunOutcome
from jujubebarrow.workloads.step_specs import StepSpec

STEP = StepSpec(count=2, needs=Resources(1000, 500))
LONG = StepSpec(count=3, needs=Resources(1000, 500), long_running=True)


class JobMachinesTest(JobCase):
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
