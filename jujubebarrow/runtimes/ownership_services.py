"""Writes this instance's heartbeat to the store and claims duties there."""

from abc import ABC, abstractmethod
from asyncio import sleep
from collections.abc import Awaitable, Callable
from typing import Any
from uuid import uuid4

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.claim_planners import ClaimPlanner
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import DutyId, DutyRow
from jujubebarrow.runtimes.heartbeat_watchers import (
    HeartbeatWatcher,
    heartbeat_row,
    make_heartbeat,
)
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.workloads.identifiers import FenceToken

LEASE_SECONDS = 2.0
"""Seconds for which a heartbeat lets an instance keep its duties; short enough that
leases of runs outlast a takeover."""
RENEW_PERIOD_SECONDS = 0.5
"""Seconds between heartbeats; three fit into one lease."""
OWNER_POLL_SECONDS = 0.4
"""Seconds between two polls of the owners of all duties."""
SETTLE_SECONDS = 0.3
"""Seconds after the start in which this instance claims no duty, to wait for the
heartbeats of other instances; instances that start together do so within this time."""
STARTUP_SECONDS = 4.0
"""Seconds after the start in which owners are polled more often, since no pool has an
owner after a power failure."""
STARTUP_POLL_SECONDS = 0.12
"""Seconds between two polls of the owners during startup."""
DUTY_PREFIX = "duty/"


class DutyListener(ABC):
    """Receives changes of the duties that this instance owns."""

    @abstractmethod
    async def on_claimed(self, duty: DutyId, token: FenceToken) -> None:
        """Start to serve a claimed duty."""

    @abstractmethod
    async def on_lost(self, duty: DutyId) -> None:
        """Stop serving a duty that this instance no longer owns."""

    @abstractmethod
    def is_serving(self, duty: DutyId) -> bool:
        """Return whether this instance is serving a duty."""

    @abstractmethod
    def on_peers_changed(self, addresses: list[str]) -> None:
        """Apply the addresses of the other live instances."""


class OwnershipService:
    """Renews this instance's lease and claims duties.

    Args:
        instance: Id of this instance.
        incarnation: Id of the present run of the instance's process.
        address: IP and port for calls between instances; empty if calls are not served.
        store: Store shared by all instances.
        listener: Receives claimed and lost duties.
        clock: Time source; must keep counting while the machine is suspended.
        log: Log that receives the decisions.
        metrics: Registry of counters and latencies.
    """

    def __init__(
        self,
        instance: InstanceId,
        incarnation: IncarnationId,
        address: str,
        store: Store,
        listener: DutyListener,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._instance = instance
        self._incarnation = incarnation
        self._address = address
        self._store = store
        self._listener = listener
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._observer = LeaseObserver(LEASE_SECONDS)
        self._planner = ClaimPlanner(instance, self._observer)
        self._rows: dict[DutyId, DutyRow] = {}
        self._owned: dict[DutyId, FenceToken] = {}
        self._revision: int | None = None
        self._valid_until = float("-inf")
        self._is_stopping = False
        self._started_at = clock.monotonic()
        follower = HeartbeatWatcher(store, self._observer, clock, log, metrics)
        self._loops: list[BackgroundLoop] = [
            follower,
            _PeriodicLoop(self._renew, lambda: RENEW_PERIOD_SECONDS),
            _PeriodicLoop(self._poll_owners, self._choose_poll_period),
        ]
        self.duties: list[DutyId] = []

    @property
    def valid_until(self) -> float:
        """Monotonic time in seconds before which no other instance takes over."""
        return self._valid_until

    @property
    def owned(self) -> dict[DutyId, FenceToken]:
        """Fencing token of each duty that this instance owns."""
        return self._owned

    @property
    def peer_addresses(self) -> list[str]:
        """Addresses of the other live instances."""
        alive = self._observer.list_alive(self._clock.monotonic())
        return [
            row.address
            for row in alive
            if row.address and row.instance != self._instance
        ]

    @property
    def rows(self) -> dict[DutyId, DutyRow]:
        """Rows of all duties as last read."""
        return self._rows

    def open(self) -> None:
        """Start the heartbeat and the poll of the owners."""
        for loop in self._loops:
            loop.open()

    async def close(self) -> None:
        """Stop the heartbeat and the poll of the owners."""
        for loop in self._loops:
            await loop.close()

    async def hand_over(self) -> None:
        """Release all duties, so that other instances can claim them without a wait."""
        self._is_stopping = True
        conditions = {}
        writes: dict[str, dict[str, Any] | None] = {}
        for duty in self._owned:
            key = _duty_key(duty)
            conditions[key] = self._rows[duty].revision
            writes[key] = {"holder": "", "incarnation": ""}
        released = list(self._owned)
        for duty in released:
            await self._end_duty(duty, "handed over")
        transactions = [
            Transaction(conditions=conditions, writes=writes, nonce=uuid4().hex),
            # Marks this instance as stopping for the other instances. The write has no
            # condition, because repeating the write is harmless.
            Transaction(
                writes={self._own_key: self._make_own_heartbeat()}, nonce=uuid4().hex
            ),
        ]
        for transaction in transactions:
            if not transaction.writes:
                continue
            try:
                await self._store.commit(transaction)
            except (StoreError, TransactionConflictError) as error:
                self._log.write("hand_over_failed", duties=released, detail=str(error))

    @property
    def _own_key(self) -> str:
        return heartbeat_row(self._instance)

    def _make_own_heartbeat(self) -> dict[str, Any]:
        return make_heartbeat(self._incarnation, self._is_stopping, self._address)

    async def _renew(self) -> None:
        if self._is_stopping:
            return
        sent_at = self._clock.monotonic()
        try:
            if self._revision is None:
                self._revision = await self._read_own_revision()
            transaction = Transaction(
                conditions={self._own_key: self._revision},
                writes={self._own_key: self._make_own_heartbeat()},
                nonce=uuid4().hex,
            )
            self._revision = await self._store.commit(transaction)
        except StoreError as error:
            self._record_failure("heartbeat_failed", str(error))
            self._revision = None
            return
        except TransactionConflictError:
            # An earlier heartbeat whose answer was lost has taken effect meanwhile.
            self._revision = None
            self._metrics.count("heartbeat_conflict")
            return
        self._valid_until = max(self._valid_until, sent_at + LEASE_SECONDS)

    async def _read_own_revision(self) -> int:
        found = await self._store.read(self._own_key)
        for row in found.rows:
            if row.key == self._own_key:
                return row.revision
        return ABSENT_REVISION

    def _record_failure(self, event: str, detail: str) -> None:
        lease_left = round(self._valid_until - self._clock.monotonic(), 3)
        self._metrics.count(event)
        if self._owned:
            self._log.write(event, detail=detail, lease_left=lease_left)

    def _choose_poll_period(self) -> float:
        if self._clock.monotonic() < self._started_at + STARTUP_SECONDS:
            return STARTUP_POLL_SECONDS
        return OWNER_POLL_SECONDS

    async def _poll_owners(self) -> None:
        try:
            found = await self._store.read(make_key(TableName.CONTROL, "", ""))
        except StoreError as error:
            self._record_failure("owners_unread", str(error))
            return
        now = self._clock.monotonic()
        self._apply_rows(found.rows)
        for duty in list(self._owned):
            row = self._rows.get(duty)
            if row is None or row.revision != self._owned[duty]:
                await self._end_duty(duty, "taken over")
        if self._is_stopping or now < self._started_at + SETTLE_SECONDS:
            return
        if now > self._valid_until:
            return
        await self._reclaim_unserved()
        for duty in self._planner.choose(self.duties, self._rows, now):
            await self._claim(duty)

    async def _reclaim_unserved(self) -> None:
        """Claim the duties again that this instance owns by row but does not serve.

        A claim whose answer was lost may have taken effect, and a pool's owner may have
        stopped although the row still names this instance. Without a new claim, either
        case leaves the pool unserved until this instance ends. A new claim brings a new
        fencing token.
        """
        for duty, row in list(self._rows.items()):
            is_own = (row.holder, row.incarnation) == (
                self._instance,
                self._incarnation,
            )
            if not is_own or self._listener.is_serving(duty):
                continue
            if duty in self._owned:
                await self._end_duty(duty, "not served")
            self._metrics.count("duty_taken_up")
            await self._claim(duty)

    def _apply_rows(self, rows: list[Row]) -> None:
        self._rows = {}
        for row in rows:
            name = RowKey.parse(row.key).name
            if row.value is not None and name.startswith(DUTY_PREFIX):
                duty = _read_duty(name, row)
                self._rows[duty.duty] = duty
        self._listener.on_peers_changed(self.peer_addresses)

    async def _claim(self, duty: DutyId) -> None:
        row = self._rows.get(duty)
        key = _duty_key(duty)
        conditions = {key: row.revision if row else ABSENT_REVISION}
        value = {"holder": self._instance, "incarnation": self._incarnation}
        transaction = Transaction(
            conditions=conditions, writes={key: value}, nonce=uuid4().hex
        )
        try:
            revision = await self._store.commit(transaction)
        except (StoreError, TransactionConflictError) as error:
            self._metrics.count("claim_failed", type(error).__name__)
            return
        token = FenceToken(revision)
        self._rows[duty] = DutyRow(duty, self._instance, self._incarnation, revision)
        self._owned[duty] = token
        silence_seconds = None
        if row and row.holder:
            silence_seconds = round(
                self._observer.seconds_since_heartbeat(
                    row.holder, self._clock.monotonic()
                ),
                2,
            )
        self._log.write(
            "duty_claimed",
            duty=duty,
            token=token,
            former=row.holder if row else "",
            silence=silence_seconds if silence_seconds != float("inf") else None,
        )
        await self._listener.on_claimed(duty, token)

    async def _end_duty(self, duty: DutyId, reason: str) -> None:
        token = self._owned.pop(duty)
        row = self._rows.get(duty)
        self._log.write(
            "duty_dropped",
            duty=duty,
            token=token,
            reason=reason,
            holder=row.holder if row else "",
        )
        await self._listener.on_lost(duty)


class _PeriodicLoop(BackgroundLoop):
    def __init__(
        self, step: Callable[[], Awaitable[None]], period: Callable[[], float]
    ):
        super().__init__()
        self._step = step
        self._period = period

    async def _run(self) -> None:
        while True:
            await self._step()
            await sleep(self._period())


def _duty_key(duty: DutyId) -> str:
    return make_key(TableName.CONTROL, "", DUTY_PREFIX + duty)


def _read_duty(name: str, row: Row) -> DutyRow:
    value = row.value or {}
    return DutyRow(
        DutyId(name.removeprefix(DUTY_PREFIX)),
        InstanceId(value["holder"]),
        IncarnationId(value["incarnation"]),
        row.revision,
    )
