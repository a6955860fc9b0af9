"""Machines whose maintenance is done.

The tests guard against machines that are withheld after their wave, and against waves
that are late although their machines are idle.
"""

from asyncio import sleep
from unittest.mock import patch

from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.gateways.machine_controls import MachineOrderOutcome
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
