"""Machines whose maintenance is done.

The tests guard against machines that are withheld after their wave.
"""

from asyncio import sleep
from unittest.mock import patch

from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.gateways.machine_controls import MachineOrderOutcome
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.fake_machines import FakeMachines
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.identifiers import MachineId

WAVE_SECONDS = 20.0


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
