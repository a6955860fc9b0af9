"""Workers that are cordoned for a move that does not take place.

The tests guard against workers with room that get no task until they restart.
"""

from asyncio import get_running_loop, sleep
from dataclasses import replace

from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.identifiers import JobId
from jujubebarrow.runtimes.load_registries import PARTITION
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, JobCluster
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SETTLE_SECONDS = 4.0
LAPSE_SECONDS = 1.0
"""Time for which a worker is not registered."""
MACHINE_LEASE_SECONDS = 3.0
"""Time for which an order without a response may be carried out."""
TASK_LIMIT_SECONDS = 2.0
POLL_SECONDS = 0.1
LIST_AGE_SECONDS = 2.0
"""Age up to which the owner uses a list of the machines."""
PEAK = StepSpec(count=120, needs=Resources(1000, 100), estimate=2.0)
PEAK_BEHAVIOUR = TaskBehaviour(seconds=2.0)
TASKS = StepSpec(
    count=4, needs=Resources(1000, 100), most_per_worker=1, long_running=True
)
HELD = replace(TASKS, long_running=False, estimate=1.5)
HELD_BEHAVIOUR = TaskBehaviour(seconds=1.5)
PEAK_JOB, TASKS_JOB, HELD_JOB = 1, 2, 3
OPTIONS = {"workers": 2, "others": 4, "has_other_queue": True}


def list_cordoned(cluster: JobCluster) -> list[WorkerView]:
    """Return the workers of the lending pool that are cordoned."""
    owner = cluster.find_owner(OTHER_POOL)
    if owner is None or owner.node is None:
        return []
    pool_owner = owner.node.find_owner(OTHER_POOL)
    assert pool_owner is not None
    workers = pool_owner.coordinator.state.workers.values()
    return [worker for worker in workers if worker.is_cordoned]


def find_unanswered_at(cluster: JobCluster, worker: WorkerId) -> list[float]:
    """Return the times of the orders for a worker's machine without a response."""
    return [
        line["at"]
        for log in cluster.logs
        for line in log.lines
        if line["event"] == "move_unanswered" and line["machine"] == f"m-{worker}"
    ]


async def start_peak(cluster: JobCluster) -> JobId:
    """Let the other pool need machines; return its job."""
    await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
    await sleep(SETTLE_SECONDS)
    return await cluster.submit(PEAK_JOB, (PEAK,), behaviour=PEAK_BEHAVIOUR)


async def submit_tasks(cluster: JobCluster) -> None:
    """Submit a task for each of the lending pool's workers."""
    [route] = cluster.other_routes
    count = sum(
        worker.pool == OTHER_POOL and worker.is_up
        for worker in cluster.workers.values()
    )
    await cluster.submit(
        TASKS_JOB,
        (replace(TASKS, count=count),),
        behaviour=TaskBehaviour(is_long_running=True),
        route=route,
    )


class CordonedWorkerTest(JobCase):
    def test_worker_whose_registration_lapses_before_its_move_gets_tasks_again(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            [route] = cluster.other_routes
            peak = await start_peak(cluster)
            # Moves wait for the tasks of the workers.
            await cluster.submit(
                HELD_JOB, (HELD,), behaviour=HELD_BEHAVIOUR, route=route
            )
            await cluster.wait_for(lambda: list_cordoned(cluster), SETTLE_SECONDS)
            names = [worker.worker for worker in list_cordoned(cluster)]
            self.assertTrue(names)
            for name in names:
                cluster.unregister_worker(name)
            await cluster.cancel(peak)
            await sleep(LAPSE_SECONDS)
            await submit_tasks(cluster)
            for name in names:
                cluster.register_worker(name)
            await sleep(TASK_LIMIT_SECONDS)
            for name in names:
                self.assertTrue(cluster.workers[name].running)

        self.run_scenario(scenario, **OPTIONS)

    def test_worker_without_registration_stays_cordoned_while_its_move_may_come(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.machines.loses_move_orders = True
            peak = await start_peak(cluster)
            await cluster.wait_for(lambda: list_cordoned(cluster), SETTLE_SECONDS)
            await sleep(LAPSE_SECONDS)
            names = [worker.worker for worker in list_cordoned(cluster)]
            self.assertTrue(names)
            for name in names:
                cluster.unregister_worker(name)
            await cluster.cancel(peak)
            await sleep(LAPSE_SECONDS)
            ordered_at = min(max(find_unanswered_at(cluster, name)) for name in names)
            for name in names:
                cluster.register_worker(name)
            await submit_tasks(cluster)
            now = get_running_loop().time
            self.assertLess(now(), ordered_at + MACHINE_LEASE_SECONDS)
            while now() < ordered_at + MACHINE_LEASE_SECONDS:
                cordoned = {worker.worker for worker in list_cordoned(cluster)}
                self.assertLessEqual(set(names), cordoned)
                await sleep(POLL_SECONDS)

        self.run_scenario(scenario, **OPTIONS)

    def test_worker_whose_registration_lapses_after_an_unanswered_order_gets_tasks(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.machines.loses_move_orders = True
            peak = await start_peak(cluster)
            await cluster.wait_for(lambda: list_cordoned(cluster), SETTLE_SECONDS)
            await sleep(LAPSE_SECONDS)
            names = [worker.worker for worker in list_cordoned(cluster)]
            self.assertTrue(names)
            for name in names:
                cluster.unregister_worker(name)
            await cluster.cancel(peak)
            await sleep(MACHINE_LEASE_SECONDS + LAPSE_SECONDS)
            cluster.machines.loses_move_orders = False
            await submit_tasks(cluster)
            for name in names:
                cluster.register_worker(name)
            await sleep(TASK_LIMIT_SECONDS)
            for name in names:
                self.assertTrue(cluster.workers[name].running)

        self.run_scenario(scenario, **OPTIONS)

    def test_worker_gets_tasks_although_the_machines_cannot_be_listed(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.machines.loses_move_orders = True
            await start_peak(cluster)
            await cluster.wait_for(lambda: list_cordoned(cluster), SETTLE_SECONDS)
            names = [worker.worker for worker in list_cordoned(cluster)]
            self.assertTrue(names)
            cluster.machines.is_unavailable = True
            await sleep(LIST_AGE_SECONDS + MACHINE_LEASE_SECONDS + LAPSE_SECONDS)
            self.assertEqual(list_cordoned(cluster), [])
            await submit_tasks(cluster)
            await sleep(TASK_LIMIT_SECONDS)
            for name in names:
                self.assertTrue(cluster.workers[name].running)

        self.run_scenario(scenario, **OPTIONS)

    def test_worker_gets_tasks_although_no_move_can_be_claimed(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            [route] = cluster.other_routes
            await start_peak(cluster)
            # Moves wait for the tasks of the workers.
            await cluster.submit(
                HELD_JOB, (HELD,), behaviour=HELD_BEHAVIOUR, route=route
            )
            await cluster.wait_for(lambda: list_cordoned(cluster), SETTLE_SECONDS)
            names = [worker.worker for worker in list_cordoned(cluster)]
            self.assertTrue(names)
            cluster.store.unavailable_partitions = {PARTITION}
            await sleep(SETTLE_SECONDS)
            await submit_tasks(cluster)
            await sleep(TASK_LIMIT_SECONDS)
            for name in names:
                self.assertTrue(cluster.workers[name].running)

        self.run_scenario(scenario, **OPTIONS)
