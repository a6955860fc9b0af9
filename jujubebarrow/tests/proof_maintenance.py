"""Property test: concurrent changes keep availability budgets and lose no instance.

Guards against too many unavailable instances in a pool, because several controllers and
operators change instances at the same time, each based on a configuration that may be
outdated.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jujubebarrow.configurations.configurations import (
    CONFIGURATION_PREFIX,
    Configuration,
    row_key,
)
from jujubebarrow.configurations.drain_causes import DrainCause
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.pool_records import Pool
from jujubebarrow.configurations.preset_records import Preset
from jujubebarrow.configurations.record_bases import Record
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.selection_records import Selection
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.maintenance.observations import FleetObservations, PoolDemand
from jujubebarrow.maintenance.planners import FleetPlanner
from jujubebarrow.maintenance.transitions import (
    mark_failed,
    return_to_service,
    start_drain,
)
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools.move_planners import MovePlanner
from jujubebarrow.standins.tables import Table
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.table_audits import TableAudit

POOLS = ("labels", "orders", "spare")
NAMES = [f"{pool}-{number}" for pool in POOLS for number in range(4)]
ACTOR_NUMBERS = st.integers(0, 2)
INSTANCE_NAMES = st.sampled_from(NAMES)


class Actor:
    """Controller or operator whose configuration may be outdated."""

    def __init__(self, number: int):
        metrics = MetricsRegistry()
        self.configuration = Configuration(metrics, InvariantMonitor(metrics))
        self.planner = FleetPlanner(MovePlanner(5.0, 1.0), metrics)
        self.number = number


class MaintenanceMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.table = Table()
        self.audit = TableAudit(self.table)
        self.now = 1000.0
        self.serial = 0
        self.actors = [Actor(number) for number in range(3)]
        for pool in POOLS:
            self._put(
                RecordKind.POOL, pool, Pool(unavailable_limit=2, spare=pool == "spare")
            )
        for number, name in enumerate(NAMES):
            record = Instance(
                pool=name.rsplit("-", 1)[0],
                zone="zone-a",
                rack=f"rack-{number % 4 // 2}",
                address=f"10.0.0.{number + 1}:80",
            )
            self._put(RecordKind.INSTANCE, name, record)
        self._put(RecordKind.PRESET, "ordinary", Preset(maintenance=True))
        self._put(RecordKind.SELECTION, "preset", Selection(preset="ordinary"))
        self._put(RecordKind.MAINTENANCE, "wave", Maintenance(started=self.now))
        for actor in self.actors:
            self._sync(actor)

    def _put(self, kind: RecordKind, name: str, record: Record) -> None:
        value = record.model_dump(mode="json")
        writes = {row_key(kind, name): value}
        self.table.commit(Transaction(writes=writes, nonce="setup"))

    def _sync(self, actor: Actor) -> None:
        since = actor.configuration.revision
        actor.configuration.apply(self.table.changes(CONFIGURATION_PREFIX, since).rows)

    def _commit(self, change: Change) -> None:
        self.serial += 1
        transaction = change.make_transaction({}, str(self.serial))
        if not self.table.commit(transaction).nonces:
            self.audit.check(transaction)

    @rule(actor=ACTOR_NUMBERS)
    def sync_configuration(self, actor: int) -> None:
        self._sync(self.actors[actor])

    @rule(
        actor=ACTOR_NUMBERS,
        busy_pool=st.sampled_from(POOLS),
        unreachable=st.sets(INSTANCE_NAMES, max_size=2),
        drained=st.sets(INSTANCE_NAMES),
    )
    def run_control_round(
        self, actor: int, busy_pool: str, unreachable, drained
    ) -> None:
        """Run a control round on a configuration that may be outdated."""
        controller = self.actors[actor]
        observations = FleetObservations(
            demands={busy_pool: PoolDemand(32, 0, 50, 4.0)},
            unreachable=unreachable,
            failed_with_report=set(NAMES),
            drained=drained,
            rebooted=drained,
        )
        for change in controller.planner.plan(
            controller.configuration, observations, self.now
        ):
            self._commit(change)

    @rule(actor=ACTOR_NUMBERS, name=INSTANCE_NAMES, pool=st.sampled_from(POOLS))
    def move(self, actor: int, name: str, pool: str) -> None:
        self._commit_if_allowed(
            actor, start_drain, name, DrainCause.MOVE, pool, "operator"
        )

    @rule(actor=ACTOR_NUMBERS, name=INSTANCE_NAMES)
    def drain(self, actor: int, name: str) -> None:
        self._commit_if_allowed(
            actor, start_drain, name, DrainCause.OPERATOR, None, "operator"
        )

    @rule(actor=ACTOR_NUMBERS, name=INSTANCE_NAMES)
    def fail(self, actor: int, name: str) -> None:
        self._commit_if_allowed(actor, mark_failed, name, "failed")

    @rule(actor=ACTOR_NUMBERS, name=INSTANCE_NAMES)
    def resume(self, actor: int, name: str) -> None:
        self._commit_if_allowed(actor, return_to_service, name, "operator", None)

    def _commit_if_allowed(
        self, actor: int, make_change, name: str, *arguments
    ) -> None:
        try:
            change = make_change(self.actors[actor].configuration, name, *arguments)
        except RefusalError:
            return
        self._commit(change)

    @rule(seconds=st.sampled_from([1.0, 6.0]))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def audit_finds_no_violation(self) -> None:
        assert not self.audit.violations, self.audit.violations

    @invariant()
    def no_instance_is_lost(self) -> None:
        rows = self.table.read(CONFIGURATION_PREFIX + RecordKind.INSTANCE.value).rows
        records = [Instance.model_validate(row.value) for row in rows]
        assert len(records) == len(NAMES)
        assert all(record.pool in POOLS for record in records)
        serving = [r for r in records if r.state is InstanceState.SERVING]
        assert all(record.target is None for record in serving)


class MaintenanceProof(MaintenanceMachine.TestCase):  # type: ignore[name-defined,misc]
    pass
