"""Late jobs beside a backlog of a team whose upper limit is used up in another pool.

The test guards against room that is kept for tasks of a team at its limit while tasks
of another team do not even request a grant.
"""

from asyncio import sleep

from jujubebarrow.fleets.fleet_maps import FleetMap, index_routes
from jujubebarrow.fleets.pool_specs import PoolSpec
from jujubebarrow.fleets.team_specs import TeamSpec
from jujubebarrow.identifiers import TeamId
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.fake_machines import STANDBY
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import (
    OTHER_POOL,
    OTHER_ROUTE,
    POOL,
    ROUTE,
    TEAM,
    JobCluster,
)
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

OTHER_TEAM = TeamId("pallets")
WAIT_LIMIT_SECONDS = 3.0
"""Seconds that a task may wait although its team's limit and a worker have room."""
FIRST_STEP_SECONDS = 20.0
"""Duration of a first step after which the job has no value for its caller."""
NEEDS = Resources(1000, 500)
LIMIT = Resources(24000, 0)
LASTING = TaskBehaviour(is_long_running=True)


def _write_limits(cluster: JobCluster) -> None:
    routes = [ROUTE, OTHER_ROUTE]
    fleet = FleetMap(
        version=2,
        routes=index_routes(routes),
        queues={route.queue: route for route in routes},
        pools={
            POOL: PoolSpec(pool=POOL),
            OTHER_POOL: PoolSpec(pool=OTHER_POOL),
            STANDBY: PoolSpec(pool=STANDBY, is_standby=True),
        },
        teams={
            TEAM: TeamSpec(team=TEAM, limit=LIMIT),
            OTHER_TEAM: TeamSpec(team=OTHER_TEAM, limit=LIMIT),
        },
    )
    cluster._write("op//config", fleet)


class LimitedElsewhereTest(JobCase):
    def test_late_job_waits_for_no_team_whose_limit_is_used_in_another_pool(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            _write_limits(cluster)
            await sleep(1.0)
            lasting = (StepSpec(count=24, needs=NEEDS, long_running=True),)
            await cluster.submit(1, lasting, behaviour=LASTING, route=OTHER_ROUTE)
            await cluster.wait_for(lambda: len(cluster.list_runs()) == 24, 10.0)
            for number in range(10, 22):
                await cluster.submit(number, (StepSpec(count=2, needs=NEEDS),))
            job = await cluster.submit(
                2,
                (
                    StepSpec(needs=Resources(500, 500), estimate=1.0),
                    StepSpec(
                        count=8,
                        needs=Resources(2500, 500),
                        estimate=1.0,
                        after=(0,),
                    ),
                ),
                team=OTHER_TEAM,
                behaviour=TaskBehaviour(seconds=FIRST_STEP_SECONDS),
            )

            def has_run(step: int) -> bool:
                return any(
                    run.task.job == job and run.task.step == step
                    for run in cluster.list_runs()
                )

            self.assertTrue(await cluster.wait_for(lambda: has_run(0), 5.0))
            await sleep(FIRST_STEP_SECONDS)
            is_started = await cluster.wait_for(lambda: has_run(1), WAIT_LIMIT_SECONDS)
            waiting = [run for run in cluster.list_runs() if run.task.job != job]
            self.assertEqual(len(waiting), 24)
            self.assertTrue(is_started)

        self.run_scenario(scenario, workers=3, others=4, has_other_queue=True)
