"""Load and faults around orders that workers execute seconds late."""

from asyncio import get_running_loop, sleep
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import TypeVar

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.standins.emulated_workers import EmulatedWorker, TaskBehaviour
from jujubebarrow.tests.fakes.job_clusters import (
    CAPACITY,
    OTHER_POOL,
    POOL,
    JobCluster,
)
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

Value = TypeVar("Value")

FAULT_SECONDS = 30.0
LATE_EXECUTION_SECONDS = 14.0
"""Time after the faults until the last late order has been executed."""
ORDER_PROBABILITY = 0.2
LOSS_PROBABILITY = 0.1
RENEWAL_PROBABILITY = 0.3
RARE_RENEWAL_PROBABILITY = 0.02
"""Leaves most workers the same token for seconds. A higher one, which follows a lost
renewal, makes the former late starts void as soon as the next incarnation sees it."""
CUT_RESTART_LOOP_COUNT = 3
RESTARTED_WORKER_COUNT = 3
"""Number of workers that are restarted together after a takeover."""
RECENT_START_SECONDS = 2.0
"""Time since its last start in which a worker is restarted and cut off."""
RESTART_CUT_SECONDS = (16.0, 24.0)
"""Range of the time without contact after a restart; longer than a late order is under
way and its lease lasts."""
TAKEOVER_CUT_SECONDS = (7.0, 10.0)
"""Range of the time without contact after a takeover and a restart; longer than most
late orders of the former owner are still under way."""
TAKEOVER_LIMIT_SECONDS = 10.0
OTHER_CAPACITY = Resources(4000, 8000, 0)
"""Capacity of a worker that has been restarted on a machine of another kind."""
LOST_SECONDS = (0.5, 14.0)
"""Range of the time without a registration; about as long as an order may be late."""
KINDS = ("a", "b")
RACK = "r1"
POOLS = (POOL, OTHER_POOL)


@dataclass(frozen=True, slots=True, kw_only=True)
class LateOrderLoad:
    """Jobs that are submitted while orders are executed late.

    Attributes:
        cores: Processor needs of a task in cores, of which one is chosen for each job.
        gigabytes: Memory needs of a task.
        seconds: Shortest and longest duration of a task.
        counts: Smallest and largest number of a step's tasks.
        task_limits: Maximum numbers of a step's tasks on one worker; 0 for no limit.
        lasting_share: Share of the jobs whose tasks last until they are cancelled.
        order_probability: Probability that an order is executed late.
        renewal_probability: Probability that a lease renewal is executed late.
        labels: Labels that a step requires; empty for none.
    """

    cores: tuple[float, ...] = (1.0,)
    gigabytes: tuple[float, ...] = (0.5,)
    seconds: tuple[float, float] = (0.5, 8.0)
    counts: tuple[int, int] = (1, 4)
    task_limits: tuple[int, ...] = (0,)
    lasting_share: float = 0.0
    order_probability: float = ORDER_PROBABILITY
    renewal_probability: float = RENEWAL_PROBABILITY
    labels: tuple[str, ...] = ("",)


MIXED_LOAD = LateOrderLoad(
    cores=(0.5, 1.0, 3.0),
    gigabytes=(0.5, 2.0, 7.0),
    task_limits=(0, 1, 2),
    lasting_share=0.1,
)
LASTING_LOAD = replace(MIXED_LOAD, lasting_share=0.3)
LASTING_LATE_LOAD = replace(LASTING_LOAD, order_probability=0.4)
LARGE_TASK_LOAD = LateOrderLoad(
    cores=(2.0, 4.0, 6.0),
    gigabytes=(4.0, 8.0, 12.0),
    seconds=(0.5, 2.5),
    task_limits=(0, 0, 1),
    order_probability=0.4,
)
SPREAD_LOAD = LateOrderLoad(
    cores=(0.5, 1.0),
    seconds=(0.5, 3.0),
    task_limits=(1,),
    order_probability=0.4,
)
LONG_TASK_LOAD = LateOrderLoad(
    cores=(0.25,),
    gigabytes=(0.25,),
    seconds=(8.0, 20.0),
    order_probability=0.4,
)
LARGE_TASK_RESTART_LOAD = replace(
    LARGE_TASK_LOAD, renewal_probability=RARE_RENEWAL_PROBABILITY
)
WIDE_SPREAD_LOAD = replace(
    SPREAD_LOAD,
    cores=(0.25,),
    gigabytes=(0.25,),
    seconds=(0.8, 2.0),
    counts=(8, 16),
    renewal_probability=RARE_RENEWAL_PROBABILITY,
)
BRIEF_SPREAD_LOAD = replace(SPREAD_LOAD, seconds=(0.1, 0.6), counts=(8, 16))
SHORT_SPREAD_LOAD = replace(WIDE_SPREAD_LOAD, seconds=(0.3, 1.5), counts=(2, 5))
LABEL_LOAD = LateOrderLoad(
    cores=(0.5, 1.0),
    seconds=(0.5, 4.0),
    lasting_share=0.15,
    order_probability=0.3,
    labels=("", *KINDS),
)


class LateOrderFaults:
    """Workers that restart and are cut off while their orders are executed late.

    Args:
        cluster: Simulated cluster.
        random: Seeded source of all random choices.
        kills_owners: Whether owners are killed as well.
        changes_capacity: Whether restarted workers may have another capacity.
        changes_kind: Whether restarted workers may have another kind.
        changes_pool: Whether restarted workers may belong to another pool, and
            registrations are removed for some time.
        postpones_leases: Whether the lease of an order that is executed late has its
            full length from then on.
        restarts_cut_workers: Whether, instead of other restarts and cuts, workers
            restart soon after a start and are out of reach then.
        restarts_after_takeovers: Whether, instead of these, owners are killed, and
            workers restart soon after the takeover and are out of reach then.
        loses_workers: Whether, instead of other restarts, workers crash and lose their
            registration, or are out of reach without one, so that only the list of
            machines tells them apart.
        load: Jobs that are submitted.
    """

    def __init__(
        self,
        cluster: JobCluster,
        random: Random,
        kills_owners: bool = False,
        changes_capacity: bool = False,
        changes_kind: bool = False,
        changes_pool: bool = False,
        postpones_leases: bool = False,
        restarts_cut_workers: bool = False,
        restarts_after_takeovers: bool = False,
        loses_workers: bool = False,
        load: LateOrderLoad | None = None,
    ):
        self.cluster = cluster
        self.random = random
        self._kills_owners = kills_owners
        self._changes_capacity = changes_capacity
        self._changes_kind = changes_kind
        self._changes_pool = changes_pool
        self._postpones_leases = postpones_leases
        self._restarts_cut_workers = restarts_cut_workers
        self._restarts_after_takeovers = restarts_after_takeovers
        self._loses_workers = loses_workers
        self._load = load or LateOrderLoad()

    async def run(self) -> None:
        """Inject faults for some time, then wait until late orders are executed."""
        for worker in self.cluster.workers.values():
            worker.late_order_probability = self._load.order_probability
            worker.response_loss_probability = LOSS_PROBABILITY
            worker.late_renewal_probability = self._load.renewal_probability
            worker.late_leases_begin_on_arrival = self._postpones_leases
        loop = get_running_loop()
        tasks = [loop.create_task(self._repeat(each)) for each in self._list_faults()]
        await self._submit_load()
        for task in tasks:
            await task
        for worker in self.cluster.workers.values():
            worker.late_order_probability = worker.response_loss_probability = 0.0
            worker.late_renewal_probability = 0.0
        await sleep(LATE_EXECUTION_SECONDS)

    def _list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults that are repeated beside each other."""
        if self._restarts_after_takeovers:
            return [self._restart_workers_after_takeover]
        if self._restarts_cut_workers:
            return [self._restart_cut_worker] * CUT_RESTART_LOOP_COUNT
        faults = [self._restart_workers, self._restart_workers, self._cut_workers]
        if self._loses_workers:
            faults = [self._lose_worker, self._lose_worker]
            faults += [self._isolate_worker, self._cut_workers]
        faults += [self._kill_owners] if self._kills_owners else []
        faults += [self._drop_registrations] if self._changes_pool else []
        return faults

    async def _repeat(self, fault: Callable[[], Awaitable[None]]) -> None:
        deadline = get_running_loop().time() + FAULT_SECONDS
        while get_running_loop().time() < deadline:
            await sleep(self.random.uniform(0.5, 4.0))
            await fault()

    async def _submit_load(self) -> None:
        deadline = get_running_loop().time() + FAULT_SECONDS
        number = 0
        while get_running_loop().time() < deadline:
            number += 1
            step, behaviour = self._draw_job()
            running = [i for i in self.cluster.instances if i.node is not None]
            index = self.cluster.instances.index(self.random.choice(running))
            route = self._choose((self.cluster.route, *self.cluster.other_routes))
            try:
                await self.cluster.submit(
                    number, (step,), index, behaviour, route=route
                )
            except RefusalError:
                continue
            finally:
                await sleep(self.random.uniform(0.2, 0.8))

    def _draw_job(self) -> tuple[StepSpec, TaskBehaviour]:
        """Choose a job of one step and the behaviour of its tasks."""
        load = self._load
        count = self.random.randint(*load.counts)
        seconds = self.random.uniform(*load.seconds)
        # Nothing is drawn without a choice, so that each seed keeps its other choices.
        lasts = load.lasting_share > 0 and self.random.random() < load.lasting_share
        needs = Resources(
            round(1000 * self._choose(load.cores)),
            round(1000 * self._choose(load.gigabytes)),
            0,
        )
        step = StepSpec(
            count=count,
            needs=needs,
            estimate=1.0,
            most_per_worker=round(self._choose(load.task_limits)),
            long_running=lasts,
            label=self._choose(load.labels),
        )
        return step, TaskBehaviour(seconds=seconds, is_long_running=lasts)

    def _choose(self, values: Sequence[Value]) -> Value:
        return self.random.choice(values) if len(values) > 1 else values[0]

    def _pick_worker(self) -> EmulatedWorker:
        return self.cluster.workers[self.random.choice(sorted(self.cluster.workers))]

    async def _restart_workers(self) -> None:
        worker = self._pick_worker()
        if not worker.is_up:
            return
        worker.crash()
        await sleep(self.random.uniform(0.1, 3.0))
        capacity = worker.capacity
        if self._changes_capacity:
            capacity = self.random.choice((CAPACITY, OTHER_CAPACITY))
        labels = worker.labels
        if self._changes_kind:
            labels = (self.random.choice(KINDS), RACK)
        pool = self.random.choice(POOLS) if self._changes_pool else worker.pool
        worker.restart(capacity, labels, pool)
        await sleep(self.random.choice((0.0, self.random.uniform(0.0, 1.5))))
        self.cluster.register_worker(worker.worker)

    async def _lose_worker(self) -> None:
        """Crash a worker that restarts later and may reach the store later still."""
        worker = self._pick_worker()
        if not worker.is_up:
            return
        worker.crash()
        await sleep(self.random.uniform(0.0, 2.0))
        self.cluster.unregister_worker(worker.worker)
        await sleep(self.random.uniform(*LOST_SECONDS))
        if not worker.is_up:
            worker.restart()
        await self._cut({worker.worker}, self.random.choice((0.0, *LOST_SECONDS)))
        self.cluster.register_worker(worker.worker)

    async def _isolate_worker(self) -> None:
        """Cut a worker off from the store as well; it runs on."""
        worker = self._pick_worker()
        self.cluster.unregister_worker(worker.worker)
        await self._cut({worker.worker}, self.random.uniform(*LOST_SECONDS))
        if worker.is_up:
            self.cluster.register_worker(worker.worker)

    async def _drop_registrations(self) -> None:
        worker = self._pick_worker()
        self.cluster.unregister_worker(worker.worker)
        await sleep(self.random.uniform(0.5, 4.0))
        if worker.is_up:
            self.cluster.register_worker(worker.worker)

    async def _cut_workers(self) -> None:
        names = {self._pick_worker().worker, self._pick_worker().worker}
        await self._cut(names, self.random.uniform(6.0, 12.0))

    async def _restart_cut_worker(self) -> None:
        worker = self._pick_worker()
        if not worker.is_up or not self._has_started_recently(worker):
            return
        worker.crash()
        await sleep(self.random.uniform(0.1, 1.0))
        worker.restart()
        self.cluster.register_worker(worker.worker)
        await self._cut({worker.worker}, self.random.uniform(*RESTART_CUT_SECONDS))

    def _has_started_recently(self, worker: EmulatedWorker) -> bool:
        if not worker.run_history:
            return False
        elapsed = get_running_loop().time() - worker.run_history[-1].started_at
        return elapsed <= RECENT_START_SECONDS

    async def _restart_workers_after_takeover(self) -> None:
        owner = self.cluster.find_owner()
        if owner is None:
            return
        await owner.kill()
        await self.cluster.wait_for(self.cluster.find_owner, TAKEOVER_LIMIT_SECONDS)
        await owner.start()
        # The next owner reaches the workers and starts tasks.
        await sleep(self.random.uniform(0.5, 2.0))
        names = set(
            self.random.sample(sorted(self.cluster.workers), RESTARTED_WORKER_COUNT)
        )
        for name in sorted(names):
            self.cluster.workers[name].restart()
            self.cluster.register_worker(name)
        await self._cut(names, self.random.uniform(*TAKEOVER_CUT_SECONDS))

    async def _cut(self, names: set[WorkerId], seconds: float) -> None:
        deadline = get_running_loop().time() + seconds
        while get_running_loop().time() < deadline:
            # Also cuts off the instances that start during the fault.
            self._set_unreachable(names, True)
            await sleep(0.05)
        self._set_unreachable(names, False)

    def _set_unreachable(self, names: set[WorkerId], is_unreachable: bool) -> None:
        for instance in self.cluster.instances:
            if instance.node is not None and is_unreachable:
                instance.gateway.unreachable |= names
            elif instance.node is not None:
                instance.gateway.unreachable -= names

    async def _kill_owners(self) -> None:
        owner = self.cluster.find_owner()
        if owner is None:
            return
        await owner.kill()
        await sleep(self.random.uniform(0.5, 4.0))
        await owner.start()
