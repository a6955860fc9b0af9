"""Claims duties in the store while this instance is a claimant."""

from asyncio import gather
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random
from uuid import uuid4

from msgspec import Struct, ValidationError, convert

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.claim_planners import ClaimPlanner
from jujubebarrow.ownerships.claimant_policies import ClaimantPolicy
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import DutyId, DutyRow, InstanceRow
from jujubebarrow.ownerships.peer_progresses import PeerProgress
from jujubebarrow.ownerships.service_gaps import ServiceGaps
from jujubebarrow.pauses import Pause
from jujubebarrow.runtimes.duty_listeners import DutyListener
from jujubebarrow.runtimes.heartbeat_watchers import (
    HeartbeatWatcher,
    make_heartbeat_key,
)
from jujubebarrow.runtimes.instance_directories import InstanceDirectory
from jujubebarrow.runtimes.lease_renewers import (
    LEASE_SECONDS,
    RENEW_PERIOD_SECONDS,
    LeaseRenewer,
)
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.workloads.identifiers import FenceToken

OWNER_POLL_SECONDS = 0.4
"""Seconds between two polls of the owners of all duties."""
SETTLE_SECONDS = 0.3
"""Seconds after an instance's start in which the instance claims no duty, to wait for
the heartbeats of other instances; instances that start together all start within that
time."""
STARTUP_SECONDS = 4.0
"""Seconds after this instance's start in which owners are polled more often, since no
pool has an owner after a power failure."""
STARTUP_POLL_SECONDS = 0.12
"""Seconds between two polls of the owners during startup."""
JOIN_CHECK_SECONDS = 0.5
"""Seconds between two checks whether this instance should become a claimant."""
START_CHECK_SECONDS = 0.02
"""Seconds between two such checks until the heartbeats have been read, and the shortest
time between any two."""
LEAVE_SECONDS = (4.0, 10.0)
"""Range of the time for which too many claimants are preferred to this one before it
leaves; different for each, so that not too many leave at once."""
SILENT_HEARTBEAT_SECONDS = 60.0
"""Silence after which the heartbeat of a lost instance is deleted."""
PURGE_PERIOD_SECONDS = 20.0
"""Seconds between two deletions of such heartbeats by an owner of duties."""
DUTY_PREFIX = "duty/"


class _Holder(Struct):
    holder: str
    incarnation: str
    # Revision of the claim; None in the row that the claim has written.
    claimed: int | None = None


class OwnershipService:
    """Makes this instance a claimant if there are too few, and claims duties.

    A claimant renews a lease, reads the leases of the others and polls the owners of
    the duties. Any other instance only reads now and then whether there are enough
    claimants.

    Args:
        identity: This instance as its heartbeats show it to the others.
        store: Store shared by all instances.
        listener: Receives claimed and lost duties.
        random: Random generator of the times at which instances become claimants.
        clock: Time source; must keep running while a machine is suspended.
        log: Decision log.
        metrics: Registry of the counters.

    Attributes:
        duties: All duties that the instances share, as configured.
    """

    def __init__(
        self,
        identity: InstanceRow,
        store: Store,
        listener: DutyListener,
        random: Random,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._identity = identity
        self._instance = identity.instance
        self._incarnation = identity.incarnation
        self._store = store
        self._listener = listener
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._observer = LeaseObserver(LEASE_SECONDS)
        self._planner = ClaimPlanner(identity.instance, self._observer)
        self._duty_rows: dict[DutyId, DutyRow] = {}
        self._owned_duties: dict[DutyId, FenceToken] = {}
        self._gaps = ServiceGaps()
        self._peer_progress = PeerProgress(
            identity.instance, self._observer, RENEW_PERIOD_SECONDS
        )
        self._started_at = clock.monotonic()
        self._random = random
        self._policy = ClaimantPolicy(identity, self._observer, random)
        self._pause = Pause()
        self._has_decided = False
        self._join_at: float | None = None
        self._surplus_until: float | None = None
        self._purged_at = self._started_at
        self._peers: frozenset[str] = frozenset()
        self._heartbeat_watcher = HeartbeatWatcher(
            store,
            self._observer,
            lambda: self._renewer.is_claimant,
            clock,
            log,
            metrics,
        )
        self._renewer = LeaseRenewer(
            identity,
            store,
            self._heartbeat_watcher.to_store_time,
            lambda: bool(self._owned_duties),
            self._heartbeat_watcher.wake,
            self._check_soon,
            clock,
            log,
            metrics,
        )
        self._directory = InstanceDirectory(
            identity.instance,
            identity.address,
            store,
            lambda: not self._renewer.is_claimant and not self._renewer.is_stopping,
            lambda: bool(self._owned_duties),
            random,
            clock,
            metrics,
        )
        self._loops: list[BackgroundLoop] = [
            self._heartbeat_watcher,
            self._renewer,
            self._directory,
            _PeriodicLoop(self._check, self._choose_check_period, self._pause),
        ]
        self.duties: list[DutyId] = []

    @property
    def lease_valid_until(self) -> float:
        """Monotonic time in seconds until which no other instance takes over duties."""
        return self._renewer.valid_until

    @property
    def is_claimant(self) -> bool:
        """Whether this instance renews a lease and may claim duties."""
        return self._renewer.is_claimant

    @property
    def owned_duties(self) -> dict[DutyId, FenceToken]:
        """Fencing token of each duty that this instance owns."""
        return self._owned_duties

    @property
    def peer_addresses(self) -> list[str]:
        """Addresses of the other live instances, as far as known."""
        claimants = [
            row.address
            for row in self._observer.list_alive(self._clock.monotonic())
            if row.address and row.instance != self._instance
        ]
        return list(dict.fromkeys([*claimants, *self._directory.addresses]))

    @property
    def duty_rows(self) -> dict[DutyId, DutyRow]:
        """Rows of all duties as last read."""
        return self._duty_rows

    def open(self) -> None:
        """Start the heartbeat and the poll of the owners."""
        for loop in self._loops:
            loop.open()

    async def close(self) -> None:
        """Stop the heartbeat and the poll of the owners."""
        for loop in self._loops:
            await loop.close()

    async def hand_over(self) -> None:
        """Release all duties; other instances can then claim them without a wait."""
        is_claimant = self._renewer.is_claimant
        self._renewer.stop()
        released = list(self._owned_duties)
        await self._release(released, "handed over")
        if is_claimant:
            await self._commit_release(
                self._renewer.make_stopping_transaction(), released
            )
        await self._directory.remove()

    async def _release(self, duties: list[DutyId], reason: str) -> None:
        for duty in duties:
            if duty in self._owned_duties:
                await self._end_duty(duty, reason)
        await gather(*(self._clear_holder(duty) for duty in duties))

    async def _clear_holder(self, duty: DutyId) -> None:
        key = _duty_key(duty)
        transaction = Transaction(
            conditions={key: self._duty_rows[duty].revision},
            writes={key: {"holder": "", "incarnation": ""}},
            nonce=uuid4().hex,
        )
        await self._commit_release(transaction, [duty])

    async def _commit_release(
        self, transaction: Transaction, duties: list[DutyId]
    ) -> None:
        try:
            await self._store.commit(transaction)
        except (StoreError, TransactionConflictError) as error:
            self._log.write("hand_over_failed", duties=duties, detail=str(error))

    def _check_soon(self) -> None:
        self._pause.interrupt()

    def _choose_check_period(self) -> float:
        now = self._clock.monotonic()
        if self._renewer.is_claimant:
            is_starting = now < self._started_at + STARTUP_SECONDS
            return STARTUP_POLL_SECONDS if is_starting else OWNER_POLL_SECONDS
        if self._join_at is not None:
            wait_seconds = max(START_CHECK_SECONDS, self._join_at - now)
            return min(JOIN_CHECK_SECONDS, wait_seconds)
        return JOIN_CHECK_SECONDS if self._has_decided else START_CHECK_SECONDS

    async def _check(self) -> None:
        if self._renewer.is_stopping:
            return
        if not self._renewer.is_claimant:
            await self._join_if_wanted()
        if self._renewer.is_claimant:
            await self._poll_owners()
            self._leave_if_surplus()
            await self._purge_silent()
        self._report_peers()

    async def _join_if_wanted(self) -> None:
        """Become a claimant if there are too few, after a random delay."""
        now = self._clock.monotonic()
        if not self._observer.is_current(now) or not self.duties:
            return
        is_starting, self._has_decided = not self._has_decided, True
        if not self._policy.is_wanted(len(self.duties), now):
            self._join_at = None
        elif self._join_at is None:
            delay = self._policy.choose_delay(len(self.duties), is_starting, now)
            self._join_at = now + delay
        elif now >= self._join_at:
            self._join_at = None
            if await self._heartbeat_watcher.read_now() and self._policy.is_wanted(
                len(self.duties), self._clock.monotonic()
            ):
                is_late = now > self._started_at + STARTUP_SECONDS
                self._renewer.join(is_late)

    def _leave_if_surplus(self) -> None:
        now = self._clock.monotonic()
        if self._owned_duties or not self._policy.is_surplus(len(self.duties), now):
            self._surplus_until = None
        elif self._surplus_until is None:
            self._surplus_until = now + self._random.uniform(*LEAVE_SECONDS)
        elif now >= self._surplus_until:
            self._surplus_until = None
            self._renewer.leave()

    async def _purge_silent(self) -> None:
        """Delete the heartbeats of instances that have long been lost."""
        now = self._clock.monotonic()
        if not self._owned_duties or now < self._purged_at + PURGE_PERIOD_SECONDS:
            return
        self._purged_at = now
        for row in self._observer.list_silent(SILENT_HEARTBEAT_SECONDS, now):
            key = make_heartbeat_key(row.instance)
            transaction = Transaction(
                conditions={key: row.revision}, writes={key: None}, nonce=uuid4().hex
            )
            try:
                await self._store.commit(transaction)
            except (StoreError, TransactionConflictError) as error:
                self._metrics.count("heartbeat_undeleted", type(error).__name__)

    def _report_peers(self) -> None:
        addresses = self.peer_addresses
        if self._peers != frozenset(addresses):
            self._peers = frozenset(addresses)
            self._listener.on_peers_changed(addresses)

    async def _poll_owners(self) -> None:
        is_confirmed = self._renewer.is_confirmed
        try:
            found = await self._store.read(make_key(TableName.CONTROL, "", ""))
        except StoreError as error:
            self._renewer.record_failure("owners_unread", str(error))
            return
        now = self._clock.monotonic()
        serviceable_seconds = self._peer_progress.measure(
            now, self._renewer.renewal_count
        )
        self._apply_rows(found.rows)
        for duty in list(self._owned_duties):
            row = self._duty_rows.get(duty)
            if row is None or row.token != self._owned_duties[duty]:
                await self._end_duty(duty, "taken over")
        if not is_confirmed and not await self._confirm_duties():
            return
        if self._renewer.is_stopping or now < self._started_at + SETTLE_SECONDS:
            return
        if now > self._renewer.valid_until:
            return
        await self._reclaim_unserved()
        await self._release_unserved(now, serviceable_seconds)
        if now < self._renewer.may_claim_from:
            return
        poll_period = self._choose_check_period()
        for duty in self._planner.choose(
            self.duties, self._duty_rows, poll_period, now
        ):
            await self._claim(duty)

    async def _confirm_duties(self) -> bool:
        """Write the rows of the owned duties after the lease had lapsed.

        A claim of an instance that has not read the renewal of the lease fails then,
        because the claim has the former revision of the row as a condition.

        Returns:
            Whether all duties are confirmed.
        """
        for duty in list(self._owned_duties):
            row, key = self._duty_rows[duty], _duty_key(duty)
            value = {
                "holder": self._instance,
                "incarnation": self._incarnation,
                "claimed": row.token,
            }
            transaction = Transaction(
                conditions={key: row.revision}, writes={key: value}, nonce=uuid4().hex
            )
            try:
                revision = await self._store.commit(transaction)
            except (StoreError, TransactionConflictError) as error:
                self._metrics.count("confirmation_failed", type(error).__name__)
                return False
            self._duty_rows[duty] = replace(
                row, revision=revision, claim_revision=row.token
            )
            self._log.write("duty_confirmed", duty=duty, token=row.token)
        self._renewer.confirm()
        return True

    async def _reclaim_unserved(self) -> None:
        """Claim again the duties whose row names this instance but that are not served.

        A claim may have taken effect although the response was lost, and a pool's owner
        may have stopped although the row still names this instance. Without a new
        claim, the pool would stay unserved in both cases until this instance ends. A
        new claim returns a new fencing token. A duty that this instance has failed to
        serve is released again instead.
        """
        for duty, row in list(self._duty_rows.items()):
            is_held_here = (row.holder, row.incarnation) == (
                self._instance,
                self._incarnation,
            )
            if not is_held_here or self._listener.is_serving(duty):
                continue
            if self._planner.is_abstaining(duty, self._clock.monotonic()):
                # The release of the duty was not stored.
                await self._release([duty], "not served")
                continue
            self._metrics.count("duty_taken_up")
            await self._claim(duty)

    async def _release_unserved(self, now: float, seconds: float) -> None:
        """Release duties that this instance owns but fails to serve.

        Another instance may have a better link to the store or to the workers.

        Args:
            now: Monotonic time in seconds.
            seconds: Time since the last poll in which other instances could serve.
        """
        overdue = {}
        for duty in self._owned_duties:
            obstacle = self._listener.find_obstacle(duty)
            if obstacle is None:
                self._gaps.add_service(duty, seconds)
                continue
            self._gaps.add_gap(duty, seconds)
            if self._gaps.is_overdue(duty):
                overdue[duty] = obstacle
        if not overdue or not self._planner.has_successor(now):
            return
        for duty, obstacle in overdue.items():
            self._log.write("duty_unserved", duty=duty, obstacle=obstacle.value)
            self._planner.abstain(duty, now)
            self._gaps.record_release(duty)
        await self._release(list(overdue), "not served")

    def _apply_rows(self, rows: list[Row]) -> None:
        self._duty_rows = {}
        for row in rows:
            name = RowKey.parse(row.key).name
            if row.value is not None and name.startswith(DUTY_PREFIX):
                duty = self._read_duty(name, row)
                self._duty_rows[duty.duty] = duty

    def _read_duty(self, name: str, row: Row) -> DutyRow:
        """Decode the owner of a duty; an unreadable row counts as one without owner."""
        duty = DutyId(name.removeprefix(DUTY_PREFIX))
        try:
            holder = convert(row.value, _Holder)
        except ValidationError:
            self._metrics.count("row_unreadable", TableName.CONTROL.value)
            return DutyRow(duty, InstanceId(""), IncarnationId(""), row.revision)
        return DutyRow(
            duty,
            InstanceId(holder.holder),
            IncarnationId(holder.incarnation),
            row.revision,
            holder.claimed,
        )

    async def _claim(self, duty: DutyId) -> None:
        row = self._duty_rows.get(duty)
        key = _duty_key(duty)
        conditions = {key: row.revision if row else ABSENT_REVISION}
        value = {"holder": self._instance, "incarnation": self._incarnation}
        transaction = Transaction(
            conditions=conditions, writes={key: value}, nonce=uuid4().hex
        )
        lapse_count = self._renewer.lapse_count
        try:
            revision = await self._store.commit(transaction)
        except (StoreError, TransactionConflictError) as error:
            self._metrics.count("claim_failed", type(error).__name__)
            return
        if self._renewer.lapse_count != lapse_count:
            # Another instance may have taken over the duty since the claim took effect.
            self._renewer.suspend()
        token = FenceToken(revision)
        if duty in self._owned_duties:
            await self._end_duty(duty, "claimed again")
        self._duty_rows[duty] = DutyRow(
            duty, self._instance, self._incarnation, revision
        )
        self._owned_duties[duty] = token
        self._gaps.start(duty)
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
        self._directory.update_soon()
        await self._listener.on_claimed(duty, token)

    async def _end_duty(self, duty: DutyId, reason: str) -> None:
        token = self._owned_duties.pop(duty)
        self._gaps.remove(duty)
        row = self._duty_rows.get(duty)
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
        self,
        action: Callable[[], Awaitable[None]],
        get_period: Callable[[], float],
        pause: Pause,
    ):
        super().__init__()
        self._action = action
        self._get_period = get_period
        self._pause = pause

    async def _run(self) -> None:
        while True:
            await self._action()
            await self._pause.sleep(self._get_period())


def _duty_key(duty: DutyId) -> str:
    return make_key(TableName.CONTROL, "", DUTY_PREFIX + duty)
