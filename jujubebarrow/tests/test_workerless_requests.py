"""Tasks for which no worker has room.

The test guards against grants that such tasks withhold from other pools.
"""

from asyncio import sleep

from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_machines import STANDBY
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import POOL, TEAM, JobCluster
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

LONG_SECONDS = 60.0


class WorkerlessRequestTest(JobCase):
    def test_tasks_for_which_no_worker_has_room_withhold_no_awaited_grant(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.write_fleet(2, Resources(30000, 0, 0))
            await sleep(1.0)
            slow = TaskBehaviour(seconds=LONG_SECONDS)
            wide = StepSpec(count=40, needs=Resources(1000, 500))
            await cluster.submit(1, (wide,), behaviour=slow)
            await cluster.wait_for(lambda: len(cluster.list_runs()) == 24, 10.0)
            key = make_key(TableName.GRANTS, TEAM, "grant")
            row = cluster.store.table.read(key).rows[0].value or {}
            awaited = row | {"waiting": [STANDBY]}
            cluster.store.table.commit(
                Transaction(writes={key: awaited}, nonce="other")
            )
            await cluster.store.table.notify()
            await sleep(1.0)
            amounts = set()
            for _ in range(40):
                row = cluster.store.table.read(key).rows[0].value or {}
                amounts.add(row["pools"][POOL][1])
                await sleep(0.05)
            self.assertEqual(amounts, {24000})

        self.run_scenario(scenario)
