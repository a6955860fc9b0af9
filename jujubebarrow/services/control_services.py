"""Control of the fleet by the instance that holds the control lease."""

from asyncio import sleep
from collections.abc import Callable
from uuid import uuid4

from loguru import logger
from pydantic import BaseModel, ConfigDict

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.errors.exceptions import (
    DispatchError,
    RefusalError,
    StoreError,
    TransactionConflictError,
)
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.maintenance.planners import FleetPlanner
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.services.claim_purgers import ClaimPurger
from jujubebarrow.services.configuration_services import ConfigurationService
from jujubebarrow.services.fleet_observers import FleetObserver
from jujubebarrow.settings.settings import Settings
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.upstreams.upstreams import Upstreams

CONTROL_KEY = "control/holder"


class ControlLease(BaseModel):
    """Row of the control lease."""

    model_config = ConfigDict(frozen=True)

    instance: str
    incarnation: str
    beat: int


class ControlService(BackgroundLoop):
    """Holds the control lease and carries out the planner's changes.

    Every change is conditional on the lease's row, so that a holder that was
    paused changes nothing after another took over.

    Args:
        identity: This process.
        platform: Table.
        configuration: Records in force.
        configurations: Commits changes.
        planner: Decides.
        observer: Sees the fleet.
        upstreams: Carries out commands.
        purger: Deletes old claims.
        clock: Time source.
        settings: Periods.
        metrics: Where changes are counted.
        may_hold: Tells whether this instance may hold the lease.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        platform: Store,
        configuration: Configuration,
        configurations: ConfigurationService,
        planner: FleetPlanner,
        observer: FleetObserver,
        upstreams: Upstreams,
        purger: ClaimPurger,
        clock: Clock,
        settings: Settings,
        metrics: MetricsRegistry,
        may_hold: Callable[[], bool],
    ):
        super().__init__()
        self._identity = identity
        self._platform = platform
        self._configuration = configuration
        self._configurations = configurations
        self._planner = planner
        self._observer = observer
        self._upstreams = upstreams
        self._purger = purger
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._may_hold = may_hold
        self._held_revision: int | None = None
        self._beat = 0
        self._seen_revision = -1
        self._seen_at = 0.0

    @property
    def holds(self) -> bool:
        """Whether this instance holds the control lease."""
        return self._held_revision is not None

    async def close(self) -> None:
        """Stop control and hand the lease back."""
        await super().close()
        if self._held_revision is not None:
            await self._release(self._held_revision)

    async def _release(self, revision: int) -> None:
        transaction = Transaction(
            conditions={CONTROL_KEY: revision},
            writes={CONTROL_KEY: None},
            nonce=uuid4().hex,
        )
        try:
            await self._platform.commit(transaction)
        except (StoreError, TransactionConflictError):
            self._metrics.count("control_release_failed")
        self._held_revision = None

    async def _run(self) -> None:
        while True:
            try:
                await self._round()
            except (StoreError, RefusalError, DispatchError) as error:
                self._metrics.count("control_round_failed", type(error).__name__)
            except Exception:
                logger.exception("round of control failed")
                self._metrics.count("control_round_failed", "unexpected")
            await sleep(self._settings.control_period)

    async def _round(self) -> None:
        if not self._may_hold():
            return
        if self._held_revision is None:
            await self._watch()
            return
        if not await self._renew(self._held_revision):
            return
        await self._purger.purge()
        await self._control()

    async def _watch(self) -> None:
        rows = (await self._platform.read(CONTROL_KEY)).rows
        revision = rows[0].revision if rows else 0
        now = self._clock.monotonic()
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_at = now
        lapsed = now - self._seen_at >= self._settings.control_lease
        if revision == 0 or lapsed:
            await self._renew(revision)

    async def _renew(self, revision: int) -> bool:
        self._beat += 1
        lease = ControlLease(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            beat=self._beat,
        )
        transaction = Transaction(
            conditions={CONTROL_KEY: revision},
            writes={CONTROL_KEY: lease.model_dump()},
            nonce=uuid4().hex,
        )
        try:
            renewed = await self._platform.commit(transaction)
        except TransactionConflictError:
            self._lose()
            return False
        if self._held_revision is None:
            logger.info("holds the control lease")
        self._held_revision = renewed
        return True

    def _lose(self) -> None:
        if self._held_revision is not None:
            logger.info("lost the control lease")
        self._held_revision = None

    async def _control(self) -> None:
        observations = await self._observer.observe()
        changes = self._planner.plan(
            self._configuration, observations, self._clock.wall()
        )
        for change in changes[: self._settings.control_rows]:
            await self._carry_out(change)

    async def _carry_out(self, change: Change) -> None:
        instance = _changed_instance(change)
        if instance is not None and instance.state is InstanceState.SERVING:
            # Before the change, so that no instance in service refuses work.
            await self._upstreams.resume(instance.address)
        if self._held_revision is None:
            return
        guards = {CONTROL_KEY: self._held_revision}
        await self._configurations.commit(change, guards)
        self._metrics.count("control_change", change.reason.split(" ", 1)[0])
        logger.info("{}: {}", change.subject, change.reason)
        if instance is None:
            return
        if instance.state is InstanceState.DRAINING:
            await self._upstreams.drain(instance.address)
        elif instance.state is InstanceState.REBOOTING:
            await self._upstreams.reboot(instance.address)


def _changed_instance(change: Change) -> Instance | None:
    for (kind, _), record in change.writes.items():
        if kind is RecordKind.INSTANCE and isinstance(record, Instance):
            return record
    return None
