"""Workers that have ended with the maintenance of their machines.

The tests guard against runs that are placed on such a worker while its registration
stays, which keeps long-running tasks from running.
"""

from asyncio import get_running_loop, sleep

from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.identifiers import MachineId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

WORKER_COUNT = 8
WAVE_SECONDS = 20.0
SETTLE_SECONDS = 3.0
FINITE_SECONDS = 0.3
LASTING = StepSpec(
    count=4,
    needs=Resources(500, 500),
    long_running=True,
    most_per_worker=1,
    tolerated_absences=1,
)
SPREAD = StepSpec(
    count=WORKER_COUNT, needs=Resources(100, 100), most_per_worker=1, estimate=0.2
)


def find_runs_on_ended_workers(cluster: JobCluster) -> list[str]:
    """Return the runs that were recorded on a worker after its maintenance."""
    lines = sorted(
        (line for log in cluster.logs for line in log.lines),
        key=lambda line: line["at"],
    )
    ended: set[str] = set()
    found = []
    for line in lines:
        if line["event"] == "maintenance_ordered" and line["answer"] == "done":
            ended.add(line["worker"])
        if line["event"] == "runs_recorded":
            found += [run for run in line["runs"] if run.split("@")[1] in ended]
    return found


class MaintainedWorkerTest(JobCase):
    def test_no_run_is_placed_on_a_worker_whose_machine_was_maintained(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.machines.renames_workers = True
            await sleep(SETTLE_SECONDS)
            lasting = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (LASTING,), behaviour=lasting)
            await sleep(SETTLE_SECONDS)
            wave = WaveRequest(
                wave=7,
                machines=tuple(MachineId(f"m-{name}") for name in cluster.workers),
                duration=WAVE_SECONDS,
                max_concurrent=2,
            )
            cluster.write_wave(wave)
            end = get_running_loop().time() + WAVE_SECONDS
            number = 100
            while get_running_loop().time() < end:
                number += 1
                await cluster.submit(number, (SPREAD,))
                await sleep(FINITE_SECONDS)
            self.assertEqual(len(cluster.machines.maintenance_orders), WORKER_COUNT)
            self.assertEqual(find_runs_on_ended_workers(cluster), [])

        self.run_scenario(scenario, workers=WORKER_COUNT)
