"""Teams that wait at their own upper limit beside teams with room in theirs.

The tests guard against a backlog that no grant can start and that keeps another team's
tasks from requesting a grant.
"""

from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Sequence
from dataclasses import replace
from itertools import count
from random import Random

from jujubebarrow.fleets.fleet_maps import FleetMap, index_routes
from jujubebarrow.fleets.pool_specs import PoolSpec
from jujubebarrow.fleets.team_specs import TeamSpec
from jujubebarrow.identifiers import JobId, TeamId
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.fake_machines import STANDBY
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import POOL, QUEUE, TEAM, JobCluster
from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

OTHER_TEAM = TeamId("pallets")
WAIT_LIMIT_SECONDS = 3.0
"""Seconds that a task may wait although its team's limit and a worker have room."""
NEEDS = Resources(1000, 500)
SHORT_STEP = StepSpec(count=2, needs=NEEDS, estimate=1.0)
STREAM_SECONDS = 15.0
HOT_JOBS_PER_SECOND = 40.0
RUN_SECONDS = 0.5
LATE_SECONDS = 1.0
"""Wait after which a job has missed the objective of its queue."""
TICK_SECONDS = 0.02
LASTING = TaskBehaviour(is_long_running=True)


def _limit_teams(cluster: JobCluster) -> None:
    """Give one team a limit for 2 tasks and the other one room for 16."""
    fleet = FleetMap(
        version=2,
        routes=index_routes([cluster.route]),
        queues={QUEUE: cluster.route},
        pools={
            POOL: PoolSpec(pool=POOL),
            STANDBY: PoolSpec(pool=STANDBY, is_standby=True),
        },
        teams={
            TEAM: TeamSpec(team=TEAM, limit=Resources(2000, 16000)),
            OTHER_TEAM: TeamSpec(team=OTHER_TEAM, limit=Resources(16000, 16000)),
        },
    )
    cluster._write("op//config", fleet)


async def _submit(
    cluster: JobCluster, number: int, team: TeamId, step: StepSpec, lasts: bool = False
) -> JobId:
    job, payload = JobId(f"{number:016x}"), f"job-{number}"
    if lasts:
        cluster.behaviours[payload] = LASTING
    node = cluster.instances[0].node
    assert node is not None
    submission = JobSubmission(payload=payload, steps=(step,))
    await node.intake.submit(cluster.route, team, job, submission, 3.0)
    cluster.accepted.add(job)
    return job


async def _restart_all(cluster: JobCluster, seconds: float) -> None:
    """Kill all instances and start them again; return when the pool has an owner."""
    for instance in cluster.instances:
        await instance.kill()
    await sleep(seconds)
    for instance in cluster.instances:
        await instance.start()
    await cluster.wait_for(lambda: cluster.find_owner() is not None, 10.0)


class LimitedBacklogTest(JobCase):
    def _check_wait(
        self, backlog: Sequence[StepSpec], restart_seconds: float = 0.0
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            _limit_teams(cluster)
            await sleep(1.0)
            for number, step in enumerate(backlog):
                await _submit(cluster, number, TEAM, step, lasts=True)
            await cluster.wait_for(lambda: len(cluster.list_runs()) == 2, 5.0)
            await sleep(2.0)
            job = await _submit(cluster, 1000, OTHER_TEAM, SHORT_STEP)
            if restart_seconds:
                await _restart_all(cluster, restart_seconds)
            ready_at = get_running_loop().time()

            def is_started() -> bool:
                return any(run.task.job == job for run in cluster.list_runs())

            await cluster.wait_for(is_started, WAIT_LIMIT_SECONDS)
            waited = get_running_loop().time() - ready_at
            free = sum(w.capacity.cpu for w in cluster.workers.values()) - 1000 * sum(
                len(worker.running) for worker in cluster.workers.values()
            )
            self.assertTrue(is_started(), f"waits {waited:.1f} s, {free} free")

        self.run_scenario(scenario, workers=3)

    def test_long_running_tasks_at_their_limit_keep_no_other_team_waiting(
        self,
    ) -> None:
        step = StepSpec(count=24, needs=NEEDS, long_running=True)
        self._check_wait([step])

    def test_jobs_at_their_limit_keep_no_other_team_waiting(self) -> None:
        self._check_wait([replace(SHORT_STEP, count=1)] * 40)

    def test_late_jobs_at_their_limit_keep_no_other_team_waiting(self) -> None:
        self._check_wait([replace(SHORT_STEP, count=1)] * 40, restart_seconds=8.0)

    def test_stream_beyond_its_limit_delays_no_other_team(self) -> None:
        for seed in (1, 2):
            self._check_stream(Random(seed))

    def _check_stream(self, random: Random) -> None:
        """Send ten times what one team's limit admits, and few jobs of another team."""
        short = replace(SHORT_STEP, estimate=RUN_SECONDS)

        async def scenario(cluster: JobCluster) -> None:
            _limit_teams(cluster)
            await sleep(2.0)
            numbers, tasks = count(), list[Task[JobId]]()
            submitted_at: dict[JobId, float] = {}

            async def submit(team: TeamId, step: StepSpec) -> JobId:
                number, now = next(numbers), get_running_loop().time()
                cluster.behaviours[f"job-{number}"] = TaskBehaviour(seconds=RUN_SECONDS)
                job = await _submit(cluster, number, team, step)
                if team == OTHER_TEAM:
                    submitted_at[job] = now
                return job

            for _ in range(round(STREAM_SECONDS / TICK_SECONDS)):
                await sleep(TICK_SECONDS)
                if random.random() < HOT_JOBS_PER_SECOND * TICK_SECONDS:
                    tasks.append(create_task(submit(TEAM, replace(short, count=1))))
                if random.random() < TICK_SECONDS:
                    step = replace(short, count=4)
                    tasks.append(create_task(submit(OTHER_TEAM, step)))
            await sleep(WAIT_LIMIT_SECONDS)
            started_at: dict[JobId, float] = {}
            for run in sorted(cluster.list_runs(), key=lambda run: run.started_at):
                started_at.setdefault(run.task.job, run.started_at)
            waits = {
                job: started_at.get(job, float("inf")) - submitted
                for job, submitted in submitted_at.items()
            }
            self.assertLess(max(waits.values()), LATE_SECONDS, sorted(waits.values()))

        self.run_scenario(scenario, workers=3)
