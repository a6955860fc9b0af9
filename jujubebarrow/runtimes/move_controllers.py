"""Lends a pool's machines to pools that are short of them."""

from asyncio import gather, sleep
from collections import Counter, deque
from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.gateways.machine_controls import (
    Machine,
    MachineControl,
    MachineControlError,
    MachineOrderOutcome,
    MachineState,
)
from jujubebarrow.identifiers import InstanceId, PoolId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.pools.request_planners import RequestedMove, plan_requested_moves
from jujubebarrow.pools.surplus_planners import plan_moves
from jujubebarrow.runtimes.load_registries import MOVES_PER_CLAIM_LIMIT, LoadRegistry
from jujubebarrow.runtimes.machine_requests import MachineRequests
from jujubebarrow.runtimes.machine_workers import MachineWorkers
from jujubebarrow.runtimes.order_gates import OrderGate
from jujubebarrow.runtimes.owner_hooks import OwnerHooks
from jujubebarrow.runtimes.worker_id_observers import WorkerIdObserver
from jujubebarrow.workloads.identifiers import FenceToken, MachineId, WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry

PLAN_PERIOD_SECONDS = 0.15
"""Time between two plans; short compared with a change of demand, which lasts several
seconds."""
GIVER_WAIT_SECONDS = 0.5
"""Time after which a pool in need moves standby machines itself; three plans and the
claim of the moves by the owner of their pool."""
RECENT_SECONDS = 2.0
"""Time for which a greatest demand counts; longer than the gaps between the jobs of a
demand peak, and about as long as a move."""
MACHINE_LIST_AGE_SECONDS = 2.0
"""Age up to which a cached list of machines is used."""
LISTS_PER_WORKER_COUNT = 3
"""Most lists that are requested to find the machine of a worker; a registration may be
that of another program."""
DRAIN_GRACE_SECONDS = 2.0
"""Time after which the move of a worker that still runs tasks is cancelled; nine in
ten tasks end within that time."""
LOAD_RENEWAL_SECONDS = 1.0
"""Time after which an unchanged load is reported again."""
TAKEOVER_LIMIT_SECONDS = 1.5
"""Longest time after a takeover for which the load is not measured because workers have
not answered yet; longer than a lease renewal to an unresponsive worker."""
SHORTAGE_LOG_PERIOD_SECONDS = 2.0
"""Minimum time between two log lines about a pool that is short of machines."""
LOAD_LOG_PERIOD_SECONDS = 1.0
"""Time between two log lines with the load of a pool that has work."""


class MoveController:
    """Moves machines of one pool to pools that need more capacity.

    Args:
        instance: Id of this instance.
        coordinator: Makes the scheduling decisions of that pool.
        load_registry: Loads of all pools and recent moves.
        worker_ids: Tells whether a worker may keep its id when its machine is moved.
        machine_workers: Tells which workers have ended, by the listed machines.
        is_standby: Whether that pool's machines are switched off and cost nothing.
        machines: Client for the machine service.
        gate: Checks the permission to send an order.
        is_under_maintenance: Returns whether a machine is being maintained or drained
            for maintenance.
        hooks: Callbacks into the pool's owner.
        machine_lease: Time in seconds after an instance's order for a machine during
            which no other instance may send an order for that machine.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        instance: InstanceId,
        coordinator: PoolCoordinator,
        load_registry: LoadRegistry,
        worker_ids: WorkerIdObserver,
        machine_workers: MachineWorkers,
        is_standby: bool,
        machines: MachineControl,
        gate: OrderGate,
        is_under_maintenance: Callable[[MachineId], bool],
        hooks: OwnerHooks,
        machine_lease: float,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._instance = instance
        self._coordinator = coordinator
        self._pool = coordinator.state.pool
        self._load_registry = load_registry
        self._worker_ids = worker_ids
        self._machine_workers = machine_workers
        self._is_standby = is_standby
        self._machines = machines
        self._gate = gate
        self._is_under_maintenance = is_under_maintenance
        self._hooks = hooks
        self._machine_lease = machine_lease
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._requests = MachineRequests(coordinator, clock)
        self._written_load: PoolLoad | None = None
        self._load_written_at = float("-inf")
        # Times of measurement and demands of the last seconds.
        self._recent_demands: deque[tuple[float, int]] = deque()
        self._shortage_logged_at = float("-inf")
        self._load_logged_at = float("-inf")
        self._machines_by_worker: dict[WorkerId, Machine] = {}
        self._listed_machines: list[Machine] = []
        self._spare_machines: list[Machine] = []
        # Time since which planned moves from standby pools to this one are not ordered.
        self._unserved_since: float | None = None
        self._listed_at = float("-inf")
        self._pending_moves: dict[WorkerId, tuple[PoolId, float]] = {}
        # Time until which a move may be carried out whose order got no response.
        self._uncertain_until: dict[WorkerId, float] = {}
        self._unmovable: set[MachineId] = set()
        # Number of lists that were requested for each worker that is on none.
        self._unlisted: dict[WorkerId, int] = {}

    async def run(self) -> None:
        """Plan and execute moves until cancelled."""
        if self._is_standby and self._machines.is_available:
            await self._report_spare_machines()
        await self._wait_for_workers()
        while self._machines.is_available:
            try:
                await self._plan_and_move()
            except (StoreError, MachineControlError) as error:
                self._metrics.count("move_retry", type(error).__name__)
            self._cancel_overdue_moves()
            await sleep(PLAN_PERIOD_SECONDS)

    async def _report_spare_machines(self) -> None:
        """Report the machines of a standby pool, which pools in need may take."""
        try:
            await self._refresh_machines()
            await self._write_load(self._measure_load())
        except (StoreError, MachineControlError) as error:
            self._metrics.count("move_retry", type(error).__name__)

    async def _wait_for_workers(self) -> None:
        """Wait until the pool's workers have answered the new owner.

        Before, the pool seems to have no capacity, and other pools would lend machines.
        """
        deadline = self._clock.monotonic() + TAKEOVER_LIMIT_SECONDS
        while self._clock.monotonic() < deadline and not self._have_workers_answered():
            await sleep(PLAN_PERIOD_SECONDS)

    def _have_workers_answered(self) -> bool:
        registered = [
            worker
            for worker in self._coordinator.state.workers.values()
            if worker.entry is not None
        ]
        return bool(registered) and all(
            worker.has_seen_token or worker.unresponsive_since for worker in registered
        )

    async def _plan_and_move(self) -> None:
        if (
            self._is_standby
            or not self._worker_ids.is_decided
            or self._is_list_needed()
        ):
            await self._refresh_machines()
        self._handle_ended_workers()
        load = self._measure_load()
        await self._load_registry.refresh()
        if self._is_report_due(load):
            await self._write_load(load)
        loads = dict(self._load_registry.loads)
        loads[self._pool] = load
        incoming = self._load_registry.count_incoming()
        moves = plan_moves(loads, incoming)
        targets = [target for source, target in moves if source == self._pool]
        sources = [source for source, _ in moves]
        requested = [
            move
            for move in plan_requested_moves(loads, incoming, sources)
            if move.source == self._pool
        ]
        self._log_load(load, incoming.get(self._pool, 0))
        self._log_shortage(load, moves, incoming.get(self._pool, 0))
        if not self._hooks.can_order_machines():
            return
        if self._is_standby:
            await self._move_spare_machines(targets, requested)
            return
        self._drain_requested(requested)
        await self._move_workers(targets)
        sources = [source for source, target in moves if target == self._pool]
        await self._take_spare_machines([s for s in sources if loads[s].is_standby])

    def _is_list_needed(self) -> bool:
        """Return whether a list may show the machine, or the end, of a worker."""
        workers = self._coordinator.state.workers
        self._unlisted = {
            name: count for name, count in self._unlisted.items() if name in workers
        }
        return any(
            self._may_have_ended(worker)
            if self._machine_workers.is_listed(name)
            else self._is_machine_sought(worker)
            for name, worker in workers.items()
        )

    def _is_machine_sought(self, worker: WorkerView) -> bool:
        """Return whether lists are requested to find the machine of a worker."""
        is_registered = worker.entry is not None
        return (
            is_registered
            and self._unlisted.get(worker.worker, 0) < LISTS_PER_WORKER_COUNT
        )

    def _may_have_ended(self, worker: WorkerView) -> bool:
        """Return whether tasks may wait for a worker that is out of reach."""
        is_out_of_reach = worker.entry is None or bool(worker.unresponsive_since)
        now = self._clock.monotonic()
        return is_out_of_reach and (bool(worker.runs) or worker.may_start_late(now))

    def _handle_ended_workers(self) -> None:
        ended = [
            name
            for name in self._coordinator.state.workers
            if self._machine_workers.has_ended(name)
        ]
        for name in ended:
            self._coordinator.handle_worker_end(name, "machine has another worker")
        if ended:
            self._hooks.on_change()

    async def _write_load(self, load: PoolLoad) -> None:
        self._load_written_at = self._clock.monotonic()
        await self._load_registry.write_load(load)
        self._written_load = load

    def _is_report_due(self, load: PoolLoad) -> bool:
        return (
            self._written_load is None
            or load.has_reportable_change(self._written_load)
            or self._clock.monotonic() - self._load_written_at > LOAD_RENEWAL_SECONDS
        )

    def _log_load(self, load: PoolLoad, incoming_count: int) -> None:
        """Log the load of a pool that has work, and the machines on their way."""
        now = self._clock.monotonic()
        is_idle = not load.backlog and not load.demand
        if is_idle or now - self._load_logged_at < LOAD_LOG_PERIOD_SECONDS:
            return
        self._load_logged_at = now
        workers = self._coordinator.state.workers.values()
        self._log.write(
            "pool_load",
            pool=self._pool,
            demand=load.demand,
            backlog=load.backlog,
            capacity=load.capacity,
            reserved=sum(worker.reserved.cpu for worker in workers),
            machines=load.machines,
            movable=load.movable,
            incoming=incoming_count,
            leaving=len(self._pending_moves),
        )

    def _log_shortage(
        self, load: PoolLoad, moves: list[tuple[PoolId, PoolId]], incoming_count: int
    ) -> None:
        """Log a shortage of capacity, the incoming machines and the lending pools."""
        now = self._clock.monotonic()
        if (
            load.demand <= load.capacity
            or now - self._shortage_logged_at < SHORTAGE_LOG_PERIOD_SECONDS
        ):
            return
        self._shortage_logged_at = now
        self._log.write(
            "pool_short",
            pool=self._pool,
            demand=load.demand,
            backlog=load.backlog,
            capacity=load.capacity,
            machines=load.machines,
            coming=incoming_count,
            lenders=[source for source, target in moves if target == self._pool],
        )

    def _measure_load(self) -> PoolLoad:
        if self._is_standby:
            return PoolLoad(
                pool=self._pool,
                demand=0,
                capacity=0,
                machines=0,
                movable=len(self._spare_machines),
                is_standby=True,
                offered_labels=self._requests.find_offered(
                    self._load_registry.loads,
                    [machine.labels for machine in self._spare_machines],
                ),
            )
        workers = [worker for worker in self._list_workers() if not worker.is_cordoned]
        now = self._clock.monotonic()
        demand = self._coordinator.demand.count_demand(now)
        self._recent_demands.append((now, demand))
        while now - self._recent_demands[0][0] > RECENT_SECONDS:
            self._recent_demands.popleft()
        backlog = self._coordinator.demand.count_backlog()
        capacity = sum(worker.capacity.cpu for worker in workers)
        movable = self._find_movable()
        return PoolLoad(
            pool=self._pool,
            backlog=backlog,
            demand=demand,
            recent_demand=max(demand for _, demand in self._recent_demands),
            capacity=capacity,
            machines=len(workers),
            movable=len(movable),
            is_used=bool(self._coordinator.state.jobs),
            requested_labels=self._requests.find_requested(
                max(demand, backlog) > capacity
            ),
            offered_labels=self._requests.find_offered(
                self._load_registry.loads, (worker.labels for worker in movable)
            ),
        )

    def _list_workers(self) -> list[WorkerView]:
        now = self._clock.monotonic()
        workers = self._coordinator.state.workers.values()
        return [
            worker
            for worker in workers
            if worker.can_accept_tasks(now) or worker.worker in self._pending_moves
        ]

    def _find_movable(self) -> list[WorkerView]:
        """Return the workers that may be moved, fewest reserved cores first.

        Those that may execute a start late come last.
        """
        now = self._clock.monotonic()
        workers = [
            worker
            for worker in self._list_workers()
            if not worker.is_cordoned
            and not worker.has_long_running
            and not self._may_start_elsewhere(worker, now)
        ]
        return sorted(
            workers,
            key=lambda worker: (worker.may_start_late(now), worker.reserved.cpu),
        )

    def _may_start_elsewhere(self, worker: WorkerView, now: float) -> bool:
        """Return whether a worker may execute a start of this pool in another pool.

        It comes back under its id after the move, and a start got no response yet.
        """
        return self._worker_ids.may_keep_id and worker.may_start_late(now)

    async def _refresh_machines(self) -> None:
        now = self._clock.monotonic()
        if now - self._listed_at < MACHINE_LIST_AGE_SECONDS:
            return
        listed = await self._machines.list_machines()
        self._listed_at = now
        self._listed_machines = listed
        self._machine_workers.observe(listed, now, self._clock.monotonic())
        for name in self._coordinator.state.workers:
            if not self._machine_workers.is_listed(name):
                self._unlisted[name] = self._unlisted.get(name, 0) + 1
        self._observe_ids(lambda: self._worker_ids.observe(listed))
        self._machines_by_worker = {
            machine.worker: machine for machine in listed if machine.worker
        }
        self._spare_machines = self._find_spare_machines({self._pool})

    def observe_registration(self, entry: WorkerEntry) -> None:
        """Observe by a registration whether a restarted worker has kept its id."""
        self._observe_ids(lambda: self._worker_ids.observe_registration(entry))

    def _observe_ids(self, observe: Callable[[], None]) -> None:
        """Log if an observation shows something new."""
        may_keep_id = self._worker_ids.may_keep_id
        observe()
        if self._worker_ids.may_keep_id != may_keep_id:
            self._log.write(
                "worker_ids_observed", may_keep_id=self._worker_ids.may_keep_id
            )

    def _find_spare_machines(self, pools: set[PoolId]) -> list[Machine]:
        """Return the machines of standby pools that this instance may move."""
        return [
            machine
            for machine in self._listed_machines
            if machine.pool in pools
            and machine.state is MachineState.UP
            and self._is_movable(machine)
        ]

    async def _take_spare_machines(self, sources: list[PoolId]) -> None:
        """Move standby machines to this pool that their pool's owner does not move.

        That owner may be gone, while its last report is still recent. Nothing runs on a
        standby machine, and a claim keeps two holders from moving the same one.

        Args:
            sources: Standby pool of each machine that is planned to move to this pool.
        """
        now = self._clock.monotonic()
        if not sources:
            self._unserved_since = None
            return
        if self._unserved_since is None:
            self._unserved_since = now
        if now - self._unserved_since < GIVER_WAIT_SECONDS:
            return
        self._unserved_since = None
        await self._refresh_machines()
        machines = self._find_spare_machines(set(sources))[: len(sources)]
        self._log.write(
            "machines_taken",
            pool=self._pool,
            sources=sorted(set(sources)),
            wanted=len(sources),
            machines=len(machines),
        )
        await self._move([(machine, self._pool) for machine in machines])

    async def _move_spare_machines(
        self, targets: list[PoolId], requested: list[RequestedMove]
    ) -> None:
        """Move standby machines.

        Args:
            targets: Pool that each machine moves to.
            requested: Moves of further machines.
        """
        moves = []
        for move in requested:
            for machine in self._spare_machines:
                has_label = not move.label or move.label in machine.labels
                if has_label and not self._is_under_maintenance(machine.machine):
                    self._spare_machines.remove(machine)
                    self._log_requested(move, machine=machine.machine)
                    moves.append((machine, move.target))
                    break
        machines = []
        while self._spare_machines and len(machines) < len(targets):
            machine = self._spare_machines.pop()
            if not self._is_under_maintenance(machine.machine):
                machines.append(machine)
        await self._move(moves + list(zip(machines, targets, strict=False)))

    async def _move_workers(self, targets: list[PoolId]) -> None:
        requested = list(targets)
        for target, _ in self._pending_moves.values():
            if target in requested:
                requested.remove(target)
        if self._pending_moves or (requested and self._find_movable()):
            await self._refresh_machines()
        now = self._clock.monotonic()
        movable = self._find_movable()
        for worker, target in zip(movable, requested, strict=False):
            self._begin_move(worker, target)
        ready = self._list_ready_moves(now)
        outcomes = await self._move([(machine, target) for _, machine, target in ready])
        for worker, machine, _ in ready:
            outcome = outcomes.get(machine.machine)
            if outcome is MachineOrderOutcome.DONE:
                self._remove_move(worker.worker)
                self._handle_moved_worker(worker.worker)
            elif outcome is not None and not self._may_move_late(worker):
                self._cancel_move(worker)

    def _drain_requested(self, moves: list[RequestedMove]) -> None:
        """Begin to move workers to the pools that request their machines."""
        pending = Counter(target for target, _ in self._pending_moves.values())
        for move in moves:
            if pending[move.target]:
                pending[move.target] -= 1
                continue
            for worker in self._find_movable():
                if worker.has_label(move.label):
                    self._log_requested(move, worker=worker.worker)
                    self._begin_move(worker, move.target)
                    break

    def _log_requested(self, move: RequestedMove, **names: str) -> None:
        self._log.write(
            "machine_requested",
            pool=self._pool,
            target=move.target,
            label=move.label,
            **names,
        )

    def _begin_move(self, worker: WorkerView, target: PoolId) -> None:
        """Keep a worker from new tasks, so that its machine can move."""
        worker.is_cordoned = True
        self._pending_moves[worker.worker] = (target, self._clock.monotonic())
        if not self._worker_ids.is_decided:
            worker.needs_contact = True
            self._hooks.on_change()

    def _handle_moved_worker(self, worker: WorkerId) -> None:
        """Handle that the order for its machine has ended a worker."""
        if not self._worker_ids.may_keep_id:
            self._coordinator.handle_worker_end(worker, "machine moved")
            self._hooks.on_change()

    def _list_ready_moves(self, now: float) -> list[tuple[WorkerView, Machine, PoolId]]:
        """Return the pending moves of drained workers."""
        ready = []
        for name, (target, _) in self._pending_moves.items():
            worker = self._coordinator.state.workers.get(name)
            machine = self._machines_by_worker.get(name)
            if worker is None or worker.entry is None or machine is None:
                continue
            is_free = not worker.runs and not self._may_start_elsewhere(worker, now)
            # Only the move of a known worker shows whether workers keep their ids.
            is_known = self._worker_ids.is_decided or worker.is_contact_recent(now)
            if is_free and is_known and self._is_movable(machine):
                ready.append((worker, machine, target))
        return ready

    def _cancel_overdue_moves(self) -> None:
        """Cancel the moves that were not ordered in time, or whose worker is gone.

        A worker without a registration may return as it was. An order without a
        response may still move a worker.
        """
        now = self._clock.monotonic()
        for name, (_, planned_at) in list(self._pending_moves.items()):
            worker = self._coordinator.state.workers.get(name)
            if worker is None:
                self._remove_move(name)
            elif self._may_move_late(worker):
                continue
            elif worker.entry is None or now - planned_at > DRAIN_GRACE_SECONDS:
                self._cancel_move(worker)

    def _is_movable(self, machine: Machine) -> bool:
        return (
            machine.machine not in self._unmovable
            and not self._is_under_maintenance(machine.machine)
            and self._load_registry.can_order(
                machine.machine, self._instance, self._machine_lease
            )
        )

    def _may_move_late(self, worker: WorkerView) -> bool:
        """Return whether an order without a response may still move a worker.

        The answer to a repeat of the order tells nothing of the first one.
        """
        until = self._uncertain_until.get(worker.worker, float("-inf"))
        return self._clock.monotonic() < until

    def _remove_move(self, worker: WorkerId) -> None:
        self._pending_moves.pop(worker, None)
        self._uncertain_until.pop(worker, None)

    def _cancel_move(self, worker: WorkerView) -> None:
        worker.is_cordoned = False
        self._remove_move(worker.worker)
        self._metrics.count("move_given_up")
        self._hooks.on_change()

    async def _move(
        self, moves: list[tuple[Machine, PoolId]]
    ) -> dict[MachineId, MachineOrderOutcome]:
        """Claim and order moves; return the outcomes of the answered orders.

        The orders are sent at the same time, since a pool at its demand peak needs
        dozens of machines within a second. A move whose order got no response may
        have begun.

        Raises:
            StoreError: A claim failed; its orders and those after it were not sent.
        """
        outcomes: dict[MachineId, MachineOrderOutcome] = {}
        for start in range(0, len(moves), MOVES_PER_CLAIM_LIMIT):
            batch = moves[start : start + MOVES_PER_CLAIM_LIMIT]
            token = await self._load_registry.claim_moves(
                {machine.machine: target for machine, target in batch},
                self._instance,
                {
                    machine.machine: machine.worker
                    for machine, _ in batch
                    if self._is_worker_known(machine)
                },
            )
            results = await gather(
                *(self._order_move(machine, target, token) for machine, target in batch)
            )
            for (machine, _), outcome in zip(batch, results, strict=True):
                if outcome is not None:
                    outcomes[machine.machine] = outcome
        return outcomes

    def _is_worker_known(self, machine: Machine) -> bool:
        """Return whether the listed worker of a machine has just responded."""
        worker = self._coordinator.state.workers.get(machine.worker)
        now = self._clock.monotonic()
        return worker is not None and worker.is_contact_recent(now)

    async def _order_move(
        self, machine: Machine, target: PoolId, token: FenceToken
    ) -> MachineOrderOutcome | None:
        """Send the order for a move; return None if there was no response."""
        try:
            outcome = await self._gate.send(
                lambda: (
                    self._hooks.can_order_machines()
                    and self._load_registry.is_order_timely(machine.machine)
                ),
                lambda: self._machines.move(machine.machine, target, token),
            )
        except MachineControlError as error:
            self._uncertain_until[machine.worker] = (
                self._clock.monotonic() + self._machine_lease
            )
            self._metrics.count("move_retry", type(error).__name__)
            self._log.write(
                "move_unanswered", machine=machine.machine, detail=str(error)
            )
            return None
        if outcome is None:
            self._load_registry.record_refusal(machine.machine)
            return MachineOrderOutcome.TRY_LATER
        self._metrics.count("move", outcome.value)
        self._log.write(
            "machine_moved",
            machine=machine.machine,
            worker=machine.worker,
            source=machine.pool,
            target=target,
            token=token,
            answer=outcome.value,
        )
        if outcome is not MachineOrderOutcome.DONE:
            self._load_registry.record_refusal(machine.machine)
        if outcome is MachineOrderOutcome.UNKNOWN_MACHINE:
            self._unmovable.add(machine.machine)
        return outcome
