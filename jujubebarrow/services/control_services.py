"""Controls the fleet from the instance that holds the control lease."""

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
from jujubebarrow.upstreams.upstream_clients import UpstreamClient

CONTROL_KEY = "control/holder"


class ControlLease(BaseModel):
    """Stored row of the control lease.

    Attributes:
        instance: Id of the instance that holds the lease.
        incarnation: Incarnation of the holder's process.
        beat: Number of the process's attempts to acquire or renew the lease.
    """

    model_config = ConfigDict(frozen=True)

    instance: str
    incarnation: str
    beat: int


class ControlService(BackgroundLoop):
    """Acquires the control lease and executes the planner's changes.

    Every change is committed on the condition that the lease's row is unchanged.
    Therefore, a paused holder whose lease another instance has acquired cannot commit
    changes.

    Args:
        identity: Identity of this process.
        platform: Store that holds the lease's row.
        configuration: Records in force in this process.
        configuration_service: Service that commits changes of records.
        planner: Planner that decides on changes.
        observer: Observer that collects the state of the fleet.
        upstreams: Client that sends commands to instances.
        purger: Purger of expired claims.
        clock: Time source.
        settings: Settings with the periods of control and the lease.
        metrics: Registry of the counters.
        can_hold_lease: Returns whether this instance may hold the lease.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        platform: Store,
        configuration: Configuration,
        configuration_service: ConfigurationService,
        planner: FleetPlanner,
        observer: FleetObserver,
        upstreams: UpstreamClient,
        purger: ClaimPurger,
        clock: Clock,
        settings: Settings,
        metrics: MetricsRegistry,
        can_hold_lease: Callable[[], bool],
    ):
        super().__init__()
        self._identity = identity
        self._platform = platform
        self._configuration = configuration
        self._configuration_service = configuration_service
        self._planner = planner
        self._observer = observer
        self._upstreams = upstreams
        self._purger = purger
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._can_hold_lease = can_hold_lease
        self._lease_revision: int | None = None
        self._lease_attempt_count = 0
        self._observed_lease_revision = -1
        self._lease_observed_at = 0.0

    @property
    def is_lease_holder(self) -> bool:
        """Whether this instance holds the control lease."""
        return self._lease_revision is not None

    async def close(self) -> None:
        """Stop control and release the lease."""
        await super().close()
        if self._lease_revision is not None:
            await self._release(self._lease_revision)

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
        self._lease_revision = None

    async def _run(self) -> None:
        while True:
            try:
                await self._run_round()
            except (StoreError, RefusalError, DispatchError) as error:
                self._metrics.count("control_round_failed", type(error).__name__)
            except Exception:
                logger.exception("control round failed")
                self._metrics.count("control_round_failed", "unexpected")
            await sleep(self._settings.control_period)

    async def _run_round(self) -> None:
        if not self._can_hold_lease():
            return
        if self._lease_revision is None:
            await self._acquire_if_expired()
            return
        if not await self._acquire_or_renew(self._lease_revision):
            return
        await self._purger.purge()
        await self._apply_changes()

    async def _acquire_if_expired(self) -> None:
        rows = (await self._platform.read(CONTROL_KEY)).rows
        revision = rows[0].revision if rows else 0
        now = self._clock.monotonic()
        if revision != self._observed_lease_revision:
            self._observed_lease_revision = revision
            self._lease_observed_at = now
        has_expired = now - self._lease_observed_at >= self._settings.control_lease
        if revision == 0 or has_expired:
            await self._acquire_or_renew(revision)

    async def _acquire_or_renew(self, revision: int) -> bool:
        self._lease_attempt_count += 1
        lease = ControlLease(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            beat=self._lease_attempt_count,
        )
        transaction = Transaction(
            conditions={CONTROL_KEY: revision},
            writes={CONTROL_KEY: lease.model_dump()},
            nonce=uuid4().hex,
        )
        try:
            new_revision = await self._platform.commit(transaction)
        except TransactionConflictError:
            self._record_loss()
            return False
        if self._lease_revision is None:
            logger.info("acquired the control lease")
        self._lease_revision = new_revision
        return True

    def _record_loss(self) -> None:
        if self._lease_revision is not None:
            logger.info("lost the control lease")
        self._lease_revision = None

    async def _apply_changes(self) -> None:
        observations = await self._observer.observe()
        changes = self._planner.plan(
            self._configuration, observations, self._clock.wall()
        )
        for change in changes[: self._settings.control_rows]:
            await self._execute(change)

    async def _execute(self, change: Change) -> None:
        instance = _find_changed_instance(change)
        if instance is not None and instance.state is InstanceState.SERVING:
            # The command is sent before the change is committed, because an instance
            # that is recorded as serving must not refuse work.
            await self._upstreams.resume(instance.address)
        if self._lease_revision is None:
            return
        guards = {CONTROL_KEY: self._lease_revision}
        await self._configuration_service.commit(change, guards)
        self._metrics.count("control_change", change.reason.split(" ", 1)[0])
        logger.info("{}: {}", change.subject, change.reason)
        if instance is None:
            return
        if instance.state is InstanceState.DRAINING:
            await self._upstreams.drain(instance.address)
        elif instance.state is InstanceState.REBOOTING:
            await self._upstreams.reboot(instance.address)


def _find_changed_instance(change: Change) -> Instance | None:
    for (kind, _), record in change.writes.items():
        if kind is RecordKind.INSTANCE and isinstance(record, Instance):
            return record
    return None
