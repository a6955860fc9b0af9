"""Machines whose maintenance is done.

The tests guard against machines that are withheld after their wave, and against waves
that are late although their machines are idle.
"""

from asyncio import sleep
from collections import Counter
from unittest.mock import patch

from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.gateways.machine_controls import MachineOrderOutcome
from jujubebarrow.maintenance.wave_choices import DRAIN_GRACE_SECONDS
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.fake_machines import FakeMachines
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, JobCluster
from jujubebarrow.workloads.identifiers import MachineId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

WAVE_SECONDS = 20.0
SHORT_WAVE_SECONDS = 8.0
"""Longer than two rounds of machines that are down for two seconds."""
LONG_RUNNING_COUNT = 10
LONG_RUNNING_WAVE_SECONDS = 16.0
"""Shorter than the rounds of idle machines and the moves of all long-running tasks, one
after the other."""
WIDE_STEP_COUNT = 24
WIDE_STEPS_COUNT = 3
WIDE_WAVE_SECONDS = 27.0
"""Time for the moves of half the tasks of a wide step, one after the other."""
BUSY_TASKS_COUNT = 100
"""Tasks of three seconds, submitted each second, that fill most of sixty workers."""
FULL_POOL_COUNT = 5
FULL_POOL_WAVE_SECONDS = 24.0
HALF_WORKER = Resources(1000, 9000)
"""Needs of a task of which a worker has room for one."""
LATEST_JOB_SECONDS = 3.0
"""Time after which a job of 0.5 s has ended while one worker accepts tasks."""
STARTUP_SECONDS = 1.2
"""Time from the start of a long-running task until the task is operating."""
COMMIT_SECONDS = 0.008
"""Time of the platform's store for one transaction of a partition."""


class MaintainedMachineTest(JobCase):
    def test_worker_whose_maintenance_was_refused_accepts_tasks_again(self) -> None:
        async def maintain(
            machines: FakeMachines, machine: MachineId, wave: int, token: int
        ) -> MachineOrderOutcome:
            return MachineOrderOutcome.NOT_IN_WAVE

        async def scenario(cluster: JobCluster) -> None:
            names = (MachineId("m-w0"),)
            wave = WaveRequest(
                wave=7, machines=names, duration=WAVE_SECONDS, max_concurrent=1
            )
            with patch.object(FakeMachines, "maintain", maintain):
                cluster.write_wave(wave)
                await sleep(WAVE_SECONDS)
            await cluster.submit(1)
            await sleep(3.0)
            self.assertTrue(cluster.list_runs())

        self.run_scenario(scenario, workers=1)

    def test_wave_of_all_machines_of_a_pool_keeps_no_job_from_starting(self) -> None:
        """Guards against a wave that closes all workers and never empties one."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            lasting = StepSpec(
                count=FULL_POOL_COUNT,
                needs=HALF_WORKER,
                long_running=True,
                most_per_worker=1,
            )
            behaviour = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (lasting,), behaviour=behaviour)
            await sleep(3.0)
            wave = WaveRequest(
                wave=7,
                machines=tuple(MachineId(f"m-{name}") for name in cluster.workers),
                duration=FULL_POOL_WAVE_SECONDS,
                max_concurrent=FULL_POOL_COUNT,
            )
            cluster.write_wave(wave)
            jobs = []
            for number in range(int(2 * FULL_POOL_WAVE_SECONDS)):
                jobs.append(await cluster.submit(100 + number))
                await sleep(0.5)
            self.assertEqual(len(cluster.machines.maintenance_orders), FULL_POOL_COUNT)
            await sleep(LATEST_JOB_SECONDS)
            phases = [await cluster.read_phase(job) for job in jobs]
            self.assertEqual(phases, ["completed"] * len(jobs))

        self.run_scenario(scenario, workers=FULL_POOL_COUNT)

    def test_only_worker_of_a_pool_is_maintained(self) -> None:
        """Guards against a wave that waits for another worker that does not exist."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            wave = WaveRequest(
                wave=7,
                machines=(MachineId("m-w0"),),
                duration=WAVE_SECONDS,
                max_concurrent=1,
            )
            cluster.write_wave(wave)
            await sleep(WAVE_SECONDS)
            self.assertEqual(len(cluster.machines.maintenance_orders), 1)

        self.run_scenario(scenario, workers=1)

    def test_log_tells_what_holds_a_drain(self) -> None:
        """Guards against drains that stand still without a reason in the log."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            step = StepSpec(
                count=2,
                needs=HALF_WORKER,
                long_running=True,
                most_per_worker=1,
                tolerated_absences=1,
            )
            await cluster.submit(
                1, (step,), behaviour=TaskBehaviour(is_long_running=True)
            )
            await sleep(3.0)
            wave = WaveRequest(
                wave=7,
                machines=(MachineId("m-w0"),),
                duration=WAVE_SECONDS,
                max_concurrent=1,
            )
            cluster.write_wave(wave)
            await sleep(DRAIN_GRACE_SECONDS - 1.0)
            held = [
                line
                for log in cluster.logs
                for line in log.lines
                if line["event"] == "drain_held"
            ]
            self.assertEqual([line["runs"] for line in held], [{"capacity": 1}])
            self.assertEqual(held[0]["machine"], "m-w0")
            self.assertEqual(held[0]["accepting"], 1)

        self.run_scenario(scenario, workers=2)

    def test_machines_of_a_completed_wave_can_be_lent_again(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            names = (MachineId("m-w2"), MachineId("m-w3"))
            wave = WaveRequest(
                wave=7, machines=names, duration=WAVE_SECONDS, max_concurrent=2
            )
            cluster.write_wave(wave)
            await sleep(WAVE_SECONDS)
            rows = cluster.store.table.read("status//wave/7").rows
            self.assertTrue((rows[0].value or {})["completed"])
            for number in range(40):
                await cluster.submit(number, behaviour=TaskBehaviour(seconds=2.0))
            await sleep(15.0)
            self.assertEqual(len(cluster.machines.moves), 2)

        self.run_scenario(scenario, workers=2, standby=2)

    def test_wave_of_idle_machines_is_done_in_time(self) -> None:
        for seed in range(1, 4):
            self._run_large_wave(seed)

    def _run_large_wave(self, seed: int) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.store.commit_seconds = COMMIT_SECONDS
            await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
            await sleep(2.0)
            wave = WaveRequest(
                wave=7,
                machines=tuple(MachineId(f"m-{name}") for name in cluster.workers),
                duration=SHORT_WAVE_SECONDS,
                max_concurrent=len(cluster.workers) // 2,
            )
            cluster.write_wave(wave)
            await sleep(SHORT_WAVE_SECONDS)
            self.assertEqual(
                len(cluster.machines.maintenance_orders), len(cluster.workers), seed
            )
            self.assertLessEqual(cluster.machines.max_down_count, wave.max_concurrent)

        self.run_scenario(scenario, seed=seed, workers=30, others=30)

    def test_machines_with_long_running_tasks_do_not_end_a_wave_late(self) -> None:
        for seed in range(1, 4):
            self._run_wave_with_long_running_tasks(seed)

    def _run_wave_with_long_running_tasks(self, seed: int) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(2.0)
            step = StepSpec(
                count=LONG_RUNNING_COUNT,
                needs=Resources(1000, 500),
                long_running=True,
                most_per_worker=1,
                tolerated_absences=1,
            )
            await cluster.submit(
                1, (step,), behaviour=TaskBehaviour(is_long_running=True)
            )
            await sleep(4.0)
            wave = WaveRequest(
                wave=7,
                machines=tuple(MachineId(f"m-{name}") for name in cluster.workers),
                duration=LONG_RUNNING_WAVE_SECONDS,
                max_concurrent=len(cluster.workers) // 4,
            )
            cluster.write_wave(wave)
            await sleep(LONG_RUNNING_WAVE_SECONDS)
            self.assertEqual(
                len(cluster.machines.maintenance_orders), len(cluster.workers), seed
            )

        self.run_scenario(scenario, seed=seed, workers=24)

    def test_machines_whose_tasks_cannot_move_yet_delay_no_other_step(self) -> None:
        for seed in range(1, 4):
            ordered_count, machine_count, _ = self._run_wide_wave(seed)
            self.assertEqual(ordered_count, machine_count, seed)

    def test_long_running_tasks_move_in_time_in_a_busy_pool(self) -> None:
        for seed in range(1, 4):
            ordered_count, machine_count, _ = self._run_wide_wave(seed, is_busy=True)
            self.assertEqual(ordered_count, machine_count, seed)

    def test_long_running_tasks_move_once_in_a_wave(self) -> None:
        for seed in range(1, 4):
            _, _, cluster = self._run_wide_wave(seed)
            run_counts = Counter(run.task for run in cluster.list_runs())
            again = {task for task, count in run_counts.items() if count > 2}
            self.assertEqual(again, set(), seed)

    def _run_wide_wave(
        self, seed: int, is_busy: bool = False
    ) -> tuple[int, int, JobCluster]:
        """Maintain every other machine of a pool with three wide long-running steps.

        Returns the number of orders within the wave's time and of the wave's machines.
        """
        machine_names: list[MachineId] = []
        order_counts: list[int] = []

        async def scenario(cluster: JobCluster) -> None:
            await sleep(2.0)
            step = StepSpec(
                count=WIDE_STEP_COUNT,
                needs=Resources(1000, 500),
                long_running=True,
                most_per_worker=1,
                tolerated_absences=1,
            )
            for number in range(WIDE_STEPS_COUNT):
                await cluster.submit(
                    number, (step,), behaviour=TaskBehaviour(is_long_running=True)
                )
            await sleep(4.0)
            machine_names.extend(
                MachineId(f"m-{name}") for name in list(cluster.workers)[::2]
            )
            wave = WaveRequest(
                wave=7,
                machines=tuple(machine_names),
                duration=WIDE_WAVE_SECONDS,
                max_concurrent=len(machine_names) // (2 if is_busy else 3),
            )
            cluster.write_wave(wave)
            finite_step = StepSpec(count=BUSY_TASKS_COUNT, needs=Resources(1000, 100))
            for second in range(int(WIDE_WAVE_SECONDS)):
                if is_busy:
                    await cluster.submit(
                        WIDE_STEPS_COUNT + second,
                        (finite_step,),
                        behaviour=TaskBehaviour(seconds=3.0),
                    )
                await sleep(1.0)
            order_counts.append(len(cluster.machines.maintenance_orders))
            self.assertLessEqual(cluster.machines.max_down_count, wave.max_concurrent)

        with patch(
            "jujubebarrow.standins.emulated_workers.STARTUP_SECONDS", STARTUP_SECONDS
        ):
            cluster = self.run_scenario(scenario, seed=seed, workers=60)
        return order_counts[0], len(machine_names), cluster
