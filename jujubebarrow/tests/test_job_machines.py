"""Maintenance waves, machine moves, draining and advice on emulated workers.

The tests guard against maintenance, moves or task starts that the wave, another order,
the draining state of a worker or the advice service does not allow.
"""

from asyncio import sleep
from dataclasses import replace

from jujubebarrow.fleets.advice_options import AdviceOptions
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.runtimes.load_registries import LOAD_PREFIX, PARTITION
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import POOL, ROUTE, JobCluster
from jujubebarrow.tests.test_job_counts import commit, give_pool_to_ghost
from jujubebarrow.workloads.finished_runs import RunOutcome
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

STEP = StepSpec(count=2, needs=Resources(1000, 500))
LONG = StepSpec(count=3, needs=Resources(1000, 500), long_running=True)


class JobMachinesTest(JobCase):
    def test_wave_respects_its_concurrency_and_its_deadline(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            spread = StepSpec(
                count=3,
                needs=Resources(1000, 500),
                long_running=True,
                most_per_worker=1,
                tolerated_absences=1,
            )
            behaviour = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (spread,), behaviour=behaviour)
            await sleep(2.0)
            names = tuple(MachineId(f"m-w{n}") for n in range(4))
            cluster.write_wave(
                WaveRequest(wave=7, machines=names, duration=40.0, max_concurrent=2)
            )
            await sleep(40.0)
            self.assertEqual(len(cluster.machines.maintenance_orders), 4)
            self.assertLessEqual(cluster.machines.max_down_count, 2)
            rows = cluster.store.table.read("status//wave/7").rows
            self.assertTrue(rows[0].value["completed"])

        self.run_scenario(scenario, workers=4)

    def test_takeover_requests_no_machines_while_workers_have_not_answered_yet(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            slow = TaskBehaviour(seconds=9.0)
            step = StepSpec(count=2, needs=Resources(1000, 500), estimate=9.0)
            for number in range(5):
                await cluster.submit(number, (step,), behaviour=slow)
            await sleep(1.0)
            self.assertEqual(cluster.machines.moves, [])
            owner = cluster.find_owner()
            assert owner is not None
            for instance in cluster.instances:
                instance.gateway.extra_delay_seconds = 0.3
            await owner.kill()
            await sleep(5.0)
            self.assertIsNotNone(cluster.find_owner())
            self.assertEqual(cluster.machines.moves, [])
            machine_counts = [
                line["machines"]
                for log in cluster.logs
                for line in log.lines
                if line["event"] == "pool_short"
            ]
            self.assertNotIn(0, machine_counts)

        self.run_scenario(scenario, standby=3)

    def test_load_of_a_pool_without_owner_attracts_no_further_machines(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = cluster.find_owner()
            assert owner is not None
            await owner.kill()
            give_pool_to_ghost(cluster)
            load = PoolLoad(
                pool=POOL, demand=40000, capacity=24000, machines=3, movable=0
            )
            key = make_key(TableName.BALANCE, PARTITION, LOAD_PREFIX + POOL)
            commit(cluster, {key: load.to_document()})
            await sleep(30.0)
            self.assertLessEqual(len(cluster.machines.moves), 2)

        self.run_scenario(scenario, standby=8)

    def test_pool_short_of_capacity_gets_standby_machines(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            for number in range(40):
                await cluster.submit(number, behaviour=TaskBehaviour(seconds=2.0))
            await sleep(15.0)
            self.assertEqual(len(cluster.machines.moves), 2)
            self.assertEqual(cluster.machines.killed_run_count, 0)
            moved = [
                cluster.workers[WorkerId(name)].run_history for name in ("w2", "w3")
            ]
            self.assertTrue(all(moved))

        self.run_scenario(scenario, workers=2, standby=2)

    def test_arrived_machine_does_not_count_as_incoming(self) -> None:
        # A machine that counts twice hides a rise of the demand from the next plans.
        for seed in range(1, 9):

            async def scenario(cluster: JobCluster, seed: int = seed) -> None:
                await sleep(5.0 + seed / 8)
                for number in range(20):
                    await cluster.submit(number, behaviour=TaskBehaviour(seconds=60.0))
                await sleep(8.0)
                machine_count = 2 + len(cluster.machines.moves)
                loads = [
                    (line["machines"], line["incoming"])
                    for log in cluster.logs
                    for line in log.lines
                    if line["event"] == "pool_load" and line["pool"] == POOL
                ]
                self.assertEqual(loads[-1], (machine_count, 0))
                counts = [machines + incoming for machines, incoming in loads]
                self.assertLessEqual(max(counts), machine_count, (seed, loads))

            self.run_scenario(scenario, seed=seed, workers=2, standby=6)

    def test_machine_under_maintenance_is_not_moved(self) -> None:
        # The wave and the load that causes moves start at different offsets, so that
        # the orders for the same machine meet at different stages.
        for offset in range(8):

            async def scenario(cluster: JobCluster, offset: int = offset) -> None:
                names = tuple(MachineId(f"m-w{n}") for n in range(2, 5))
                cluster.write_wave(
                    WaveRequest(wave=7, machines=names, duration=30.0, max_concurrent=2)
                )
                await sleep(0.1 * offset)
                for number in range(40):
                    await cluster.submit(number, behaviour=TaskBehaviour(seconds=2.0))
                await sleep(20.0)
                self.assertEqual(len(cluster.machines.maintenance_orders), 3)
                self.assertLessEqual(cluster.machines.max_down_count, 2)
                self.assertEqual(cluster.machines.rejected_order_count, 0)
                rows = cluster.store.table.read("status//wave/7").rows
                self.assertTrue(rows[0].value["completed"])

            self.run_scenario(scenario, workers=2, standby=3)

    def test_maintenance_counts_a_task_on_an_unresponsive_worker_as_absent(
        self,
    ) -> None:
        # If only tasks stopped for maintenance counted as absent, a second task of the
        # step would be stopped after the first one was lost with its worker.
        async def scenario(cluster: JobCluster) -> None:
            spread = StepSpec(
                count=3,
                needs=Resources(1000, 500),
                long_running=True,
                most_per_worker=1,
                tolerated_absences=1,
            )
            behaviour = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (spread,), behaviour=behaviour)
            await sleep(2.0)
            workers = [run.worker for run in cluster.list_runs()]
            cluster.workers[workers[0]].crash()
            await sleep(2.0)
            machines = tuple(MachineId(f"m-{name}") for name in workers[1:])
            cluster.write_wave(
                WaveRequest(wave=7, machines=machines, duration=30.0, max_concurrent=2)
            )
            await sleep(2.0)
            stopped = [
                run for run in cluster.list_runs() if run.outcome is RunOutcome.STOPPED
            ]
            self.assertEqual(stopped, [])

        self.run_scenario(scenario, workers=5)

    def test_steps_run_only_on_workers_granted_by_advice(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.advisor.denied_workers = {WorkerId("w1")}
            cluster.route = replace(ROUTE, advice=AdviceOptions(0.04, 0.001, 3.0))
            cluster.write_fleet(2)
            await sleep(1.0)
            for number in range(6):
                await cluster.submit(number)
            await sleep(5.0)
            self.assertEqual(len(cluster.list_runs()), 12)
            self.assertEqual(cluster.workers[WorkerId("w1")].run_history, [])
            self.assertEqual(cluster.advisor.max_active_call_count, 1)

        self.run_scenario(scenario)

    def test_no_task_is_placed_on_a_draining_worker(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.set_draining(WorkerId("w0"))
            await sleep(1.0)
            for number in range(6):
                await cluster.submit(number)
            await sleep(5.0)
            self.assertEqual(cluster.workers[WorkerId("w0")].run_history, [])

        self.run_scenario(scenario)
