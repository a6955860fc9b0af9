"""Heartbeat of this instance and its claims of duties, in the store."""

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
from jujubebarrow.ownerships.holders import DutyId, DutyRow
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.runtimes.heartbeat_followers import (
    HeartbeatFollower,
    heartbeat_row,
    make_heartbeat,
)
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT, Transaction
from jujubebarrow.workloads.identifiers import FenceToken

LEASE = 2.0
"""Seconds after its heartbeat for which an instance owns its duties; short, so
that leases of tasks outlast a take-over."""
RENEW_PERIOD = 0.5
"""Seconds between heartbeats; three fit into a lease."""
WATCH_PERIOD = 0.4
"""Seconds between looks at the owners of all duties."""
SETTLE = 0.3
"""Seconds after the start in which other instances' heartbeats are awaited; they
start within that of one another."""
HURRY = 4.0
"""Seconds after the start in which owners are looked at more often: after a loss of
power all pools are free."""
HURRY_PERIOD = 0.12
"""Seconds between two such looks."""
DUTY_PREFIX = "duty/"


class DutyListener(ABC):
    """Takes changes of what this instance owns."""

    @abstractmethod
    async def on_claimed(self, duty: DutyId, token: FenceToken) -> None:
        """Begin a duty."""

    @abstractmethod
    async def on_lost(self, duty: DutyId) -> None:
        """End a duty that another instance has taken over."""

    @abstractmethod
    def is_serving(self, duty: DutyId) -> bool:
        """Return whether a duty is being carried out."""

    @abstractmethod
    def on_peers(self, addresses: list[str]) -> None:
        """Take over where the other live instances can be reached."""


class OwnershipService:
    """Keeps this instance's lease and claims duties.

    Args:
        instance: This instance.
        incarnation: This run of its process.
        address: IP and port for calls between instances; empty if it takes none.
        store: Store.
        listener: Told of claimed and lost duties.
        clock: Time source; it must not stand still while a machine is suspended.
        log: Log of decisions.
        metrics: Counters.
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
        self._observer = LeaseObserver(LEASE)
        self._planner = ClaimPlanner(instance, self._observer)
        self._rows: dict[DutyId, DutyRow] = {}
        self._owned: dict[DutyId, FenceToken] = {}
        self._revision: int | None = None
        self._valid_until = float("-inf")
        self._stopping = False
        self._started_at = clock.monotonic()
        follower = HeartbeatFollower(store, self._observer, clock, log, metrics)
        self._loops: list[BackgroundLoop] = [
            follower,
            _Periodic(self._renew, lambda: RENEW_PERIOD),
            _Periodic(self._watch, self._choose_watch_period),
        ]
        self.duties: list[DutyId] = []

    @property
    def valid_until(self) -> float:
        """Time in seconds until which no other instance takes over."""
        return self._valid_until

    @property
    def owned(self) -> dict[DutyId, FenceToken]:
        """Duties of this instance with their fencing tokens."""
        return self._owned

    @property
    def peer_addresses(self) -> list[str]:
        """Addresses of the other live instances."""
        alive = self._observer.alive(self._clock.monotonic())
        return [
            row.address
            for row in alive
            if row.address and row.instance != self._instance
        ]

    @property
    def rows(self) -> dict[DutyId, DutyRow]:
        """Owners of all duties as last read."""
        return self._rows

    def open(self) -> None:
        """Start the heartbeat and the watch."""
        for loop in self._loops:
            loop.open()

    async def close(self) -> None:
        """Stop both."""
        for loop in self._loops:
            await loop.close()

    async def hand_over(self) -> None:
        """Give all duties back, so that others need not wait for the lease's end."""
        self._stopping = True
        conditions = {}
        writes: dict[str, dict[str, Any] | None] = {}
        for duty in self._owned:
            key = _duty_key(duty)
            conditions[key] = self._rows[duty].revision
            writes[key] = {"holder": "", "incarnation": ""}
        released = list(self._owned)
        for duty in released:
            await self._drop(duty, "handed over")
        transactions = [
            Transaction(conditions=conditions, writes=writes, nonce=uuid4().hex),
            # Others stop to count on this instance; unlike above, it may be repeated.
            Transaction(writes={self._own_key: self._describe()}, nonce=uuid4().hex),
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

    def _describe(self) -> dict[str, Any]:
        return make_heartbeat(self._incarnation, self._stopping, self._address)

    async def _renew(self) -> None:
        if self._stopping:
            return
        sent_at = self._clock.monotonic()
        try:
            if self._revision is None:
                self._revision = await self._read_own_revision()
            transaction = Transaction(
                conditions={self._own_key: self._revision},
                writes={self._own_key: self._describe()},
                nonce=uuid4().hex,
            )
            self._revision = await self._store.commit(transaction)
        except StoreError as error:
            self._note_failure("heartbeat_failed", str(error))
            self._revision = None
            return
        except TransactionConflictError:
            # An earlier heartbeat whose answer was lost took effect late.
            self._revision = None
            self._metrics.count("heartbeat_conflict")
            return
        self._valid_until = max(self._valid_until, sent_at + LEASE)

    async def _read_own_revision(self) -> int:
        found = await self._store.read(self._own_key)
        for row in found.rows:
            if row.key == self._own_key:
                return row.revision
        return ABSENT

    def _note_failure(self, event: str, detail: str) -> None:
        left = round(self._valid_until - self._clock.monotonic(), 3)
        self._metrics.count(event)
        if self._owned:
            self._log.write(event, detail=detail, lease_left=left)

    def _choose_watch_period(self) -> float:
        if self._clock.monotonic() < self._started_at + HURRY:
            return HURRY_PERIOD
        return WATCH_PERIOD

    async def _watch(self) -> None:
        try:
            found = await self._store.read(make_key(TableName.CONTROL, "", ""))
        except StoreError as error:
            self._note_failure("owners_unread", str(error))
            return
        now = self._clock.monotonic()
        self._take_rows(found.rows)
        for duty in list(self._owned):
            row = self._rows.get(duty)
            if row is None or row.revision != self._owned[duty]:
                await self._drop(duty, "taken over")
        if self._stopping or now < self._started_at + SETTLE:
            return
        if now > self._valid_until:
            return
        await self._take_up_own()
        for duty in self._planner.choose(self.duties, self._rows, now):
            await self._claim(duty)

    async def _take_up_own(self) -> None:
        """Begin duties that are this instance's by their rows, but not served.

        A claim whose answer was lost may have taken effect, and an owner may have
        given up although its row still stands; both would leave a pool unserved for
        as long as this instance lives. A new claim brings a new token.
        """
        for duty, row in list(self._rows.items()):
            own = (row.holder, row.incarnation) == (self._instance, self._incarnation)
            if not own or self._listener.is_serving(duty):
                continue
            if duty in self._owned:
                await self._drop(duty, "not served")
            self._metrics.count("duty_taken_up")
            await self._claim(duty)

    def _take_rows(self, rows: list[Row]) -> None:
        self._rows = {}
        for row in rows:
            name = RowKey.parse(row.key).name
            if row.value is not None and name.startswith(DUTY_PREFIX):
                duty = _read_duty(name, row)
                self._rows[duty.duty] = duty
        self._listener.on_peers(self.peer_addresses)

    async def _claim(self, duty: DutyId) -> None:
        row = self._rows.get(duty)
        key = _duty_key(duty)
        conditions = {key: row.revision if row else ABSENT}
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
        silence = None
        if row and row.holder:
            silence = round(
                self._observer.silence(row.holder, self._clock.monotonic()), 2
            )
        self._log.write(
            "duty_claimed",
            duty=duty,
            token=token,
            former=row.holder if row else "",
            silence=silence if silence != float("inf") else None,
        )
        await self._listener.on_claimed(duty, token)

    async def _drop(self, duty: DutyId, reason: str) -> None:
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


class _Periodic(BackgroundLoop):
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
