"""Renews the lease under which this instance owns duties."""

from collections.abc import Callable
from dataclasses import replace
from uuid import uuid4

from msgspec import ValidationError

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.lease_observers import GAP_GRACE_SECONDS
from jujubebarrow.ownerships.ownership_rows import InstanceRow
from jujubebarrow.pauses import Pause
from jujubebarrow.runtimes.heartbeat_watchers import (
    FEED_SPACING_SECONDS,
    make_heartbeat,
    make_heartbeat_key,
    make_spare_key,
    read_heartbeat,
)
from jujubebarrow.stores.row_keys import TableName
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction

LEASE_SECONDS = 2.0
"""Seconds for which a heartbeat lets an instance keep its duties; short enough that the
leases of runs outlast a takeover of their pool."""
RENEW_PERIOD_SECONDS = 0.5
"""Seconds from the sending of a heartbeat to that of the next one; a lease leaves time
for three attempts to renew it."""
RENEW_RETRY_SECONDS = 0.1
"""Seconds between a failed heartbeat and the next one."""
RECOVERY_SECONDS = GAP_GRACE_SECONDS + FEED_SPACING_SECONDS
"""Seconds after a delayed renewal of the lease in which the instance claims no duty, as
other instances may have had the same difficulty: the time in which they renew their
leases, and until their heartbeats are read."""
FAILING_COUNT = 2
"""Failed attempts in a row, one in each partition, from which an instance tells others
that it cannot renew its lease."""
LOGGED_ATTEMPTS_LIMIT = 8
"""Most attempts of a failed call that its log line names."""
DELAY_RATIO = 2.0
DELAY_SECONDS = 0.3
"""A renewal is delayed if it takes this much longer than that ratio to the usual time;
a slow store delays them all."""
USUAL_WEIGHT_RATIO = 0.2
"""Weight of the last renewal in the usual time of a renewal."""


class LeaseRenewer(BackgroundLoop):
    """Writes this instance's heartbeat while the instance is a claimant.

    Args:
        identity: This instance as its heartbeats show it to the others.
        store: Store that holds the heartbeats.
        to_store_time: Converts a local time to the store's clock; None if unknown.
        owns_duties: Returns whether the instance owns duties.
        on_joined: Called when the instance becomes a claimant.
        on_lapsed: Called when a lapsed lease has been renewed; the duties then have to
            be confirmed.
        clock: Time source; must keep running while a machine is suspended.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        identity: InstanceRow,
        store: Store,
        to_store_time: Callable[[float], float | None],
        owns_duties: Callable[[], bool],
        on_joined: Callable[[], None],
        on_lapsed: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        super().__init__()
        self._identity = identity
        self._key = make_heartbeat_key(identity.instance)
        self._other_key = make_spare_key(identity.instance)
        self._has_switched = False
        self._store = store
        self._to_store_time = to_store_time
        self._owns_duties = owns_duties
        self._on_joined = on_joined
        self._on_lapsed = on_lapsed
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._is_claimant = False
        self._is_leaving = False
        self._is_stopping = False
        self._pause = Pause()
        self._revision: int | None = None
        self._renewal_count = 0
        self._usual_seconds = 0.0
        self._renewed_until = float("-inf")
        self._valid_until = float("-inf")
        self._is_confirmed = True
        self._is_revoked = False
        self._failure_count = 0
        self._lapse_count = 0
        self._may_claim_from = float("-inf")

    @property
    def is_claimant(self) -> bool:
        """Whether the instance renews its lease and may claim duties."""
        return self._is_claimant and not self._is_leaving

    @property
    def is_stopping(self) -> bool:
        """Whether the instance has begun to release its duties to stop."""
        return self._is_stopping

    @property
    def valid_until(self) -> float:
        """Monotonic time in seconds until which no other instance takes over duties."""
        return self._valid_until

    @property
    def is_confirmed(self) -> bool:
        """Whether the lease has not lapsed since the duties were last confirmed.

        Another instance may have taken over the duties while the lease was lapsed, or
        may be about to claim them because it has not read the renewal yet.
        """
        return self._is_confirmed

    @property
    def is_failing(self) -> bool:
        """Whether the last attempts to renew the lease got no response."""
        return self._is_claimant and self._failure_count >= FAILING_COUNT

    @property
    def lapse_count(self) -> int:
        """Number of renewals of a lapsed lease."""
        return self._lapse_count

    @property
    def may_claim_from(self) -> float:
        """Monotonic time in seconds from which duties may be claimed."""
        return self._may_claim_from

    @property
    def renewal_count(self) -> int:
        """Number of renewals of the lease."""
        return self._renewal_count

    def join(self, is_late: bool = False) -> None:
        """Become a claimant and renew the lease at once.

        Args:
            is_late: Whether the other claimants may only have had difficulties with the
                store, so that they need time to renew their leases.
        """
        if not self._is_claimant and not self._is_stopping:
            self._is_claimant = True
            self._log.write("claimant_joined", capacity=self._identity.pool_capacity)
            if is_late:
                self._wait_for_others()
            self._pause.interrupt()
            self._on_joined()
        self._is_leaving = False

    def leave(self) -> None:
        """Stop being a claimant; the heartbeat is deleted."""
        if self._is_claimant and not self._owns_duties():
            self._is_leaving = True
            self._pause.interrupt()

    def confirm(self) -> None:
        """Let the renewed lease take effect, since the duties are confirmed."""
        self._is_confirmed = True
        self._valid_until = self._renewed_until

    def suspend(self) -> None:
        """Suspend the lease until the duties are confirmed."""
        self._is_confirmed = False
        self._valid_until = min(self._valid_until, self._clock.monotonic())
        self._on_lapsed()

    def stop(self) -> None:
        """Renew no lease any more, since the instance releases its duties."""
        self._is_stopping = True

    def make_stopping_transaction(self) -> Transaction:
        """Return the transaction that shows the others that this instance stops.

        It has no condition, because repeating the write is harmless.
        """
        return Transaction(writes={self._key: self._make_heartbeat()}, nonce=_nonce())

    def record_failure(self, event: str, error: StoreError) -> None:
        """Count a failed call to the store, and log it while duties are owned."""
        self._metrics.count(event)
        if self._owns_duties():
            lease_left = round(self._valid_until - self._clock.monotonic(), 3)
            self._log.write(
                event,
                detail=str(error),
                attempts=error.attempts[:LOGGED_ATTEMPTS_LIMIT],
                lease_left=lease_left,
            )

    async def _run(self) -> None:
        await self._join_again()
        while True:
            if not self._is_claimant or self._is_stopping:
                await self._pause.sleep()
            elif self._is_leaving:
                await self._delete()
            else:
                sent_at = self._clock.monotonic()
                await self._renew()
                has_failed = self._revision is None
                elapsed = self._clock.monotonic() - sent_at
                await self._pause.sleep(
                    RENEW_RETRY_SECONDS
                    if has_failed
                    else RENEW_PERIOD_SECONDS - elapsed
                )

    def _make_heartbeat(self) -> dict[str, object]:
        return make_heartbeat(
            replace(
                self._identity,
                is_stopping=self._is_stopping,
                renewal_count=self._renewal_count,
                sent_at=self._to_store_time(self._clock.monotonic()),
                owns_duties=self._owns_duties(),
            )
        )

    async def _join_again(self) -> None:
        """Become a claimant if this instance was one before it was restarted.

        The others take over the duties of its former run when they read the heartbeat.
        """
        try:
            self._revision = await self._read_revision(self._key)
        except StoreError as error:
            self.record_failure("heartbeat_failed", error)
            return
        if self._revision != ABSENT_REVISION:
            self.join()

    async def _renew(self) -> None:
        sent_at = self._clock.monotonic()
        try:
            if self._revision is None:
                self._revision = await self._read_revision(self._key)
                if self._is_revoked:
                    # Others may claim the duties until the lease is renewed.
                    self._valid_until = min(self._valid_until, sent_at)
            transaction = Transaction(
                conditions={self._key: self._revision},
                writes={self._key: self._make_heartbeat()},
                nonce=_nonce(),
            )
            self._revision = await self._store.commit(transaction)
        except StoreError as error:
            self.record_failure("heartbeat_failed", error)
            self._switch_partition()
            self._failure_count += 1
            self._wait_for_others()
            return
        except TransactionConflictError:
            # An earlier heartbeat whose response was lost has taken effect late, after
            # the revision was read; or another instance has revoked the lease.
            self._revision = None
            self._metrics.count("heartbeat_conflict")
            return
        now = self._clock.monotonic()
        self._renewal_count += 1
        self._failure_count = 0
        has_lapsed = self._is_revoked or float("-inf") < self._renewed_until < now
        self._is_revoked = False
        self._renewed_until = max(self._renewed_until, sent_at + LEASE_SECONDS)
        self._record_duration(now - sent_at)
        if has_lapsed:
            self._wait_for_others()
            self._lapse_count += 1
            self.suspend()
        elif self._is_confirmed:
            self._valid_until = self._renewed_until

    def _switch_partition(self) -> None:
        """Renew the lease in the other partition, as this one may not answer."""
        self._key, self._other_key = self._other_key, self._key
        self._revision = None
        self._has_switched = True

    def _record_duration(self, seconds: float) -> None:
        if seconds > DELAY_RATIO * self._usual_seconds + DELAY_SECONDS:
            self._wait_for_others()
        weight = USUAL_WEIGHT_RATIO
        self._usual_seconds += weight * (seconds - self._usual_seconds)

    def _wait_for_others(self) -> None:
        self._may_claim_from = self._clock.monotonic() + RECOVERY_SECONDS

    async def _delete(self) -> None:
        if self._owns_duties():
            self._is_leaving = False
            return
        # The instance claims nothing from here on until it joins again.
        self._renewed_until = self._valid_until = float("-inf")
        self._is_confirmed = True
        self._is_claimant = self._is_leaving = False
        revision, self._revision = self._revision, None
        self._log.write("claimant_left", capacity=self._identity.pool_capacity)
        if revision is None:
            # Without the condition, a deletion that takes effect late could delete a
            # later heartbeat. The others notice the silence instead.
            return
        revisions = {self._key: revision}
        try:
            if self._has_switched:
                revisions[self._other_key] = await self._read_revision(self._other_key)
            for key, found in revisions.items():
                await self._store.commit(
                    Transaction(
                        conditions={key: found}, writes={key: None}, nonce=_nonce()
                    )
                )
        except (StoreError, TransactionConflictError) as error:
            # The others notice the silence instead.
            self._metrics.count("heartbeat_undeleted", type(error).__name__)

    async def _read_revision(self, key: str) -> int:
        found = await self._store.read(key)
        for row in found.rows:
            if row.key == key:
                self._note_revocation(row)
                return row.revision
        return ABSENT_REVISION

    def _note_revocation(self, row: Row) -> None:
        """Note that another instance has revoked the lease of this run."""
        try:
            heartbeat = read_heartbeat(row)
        except ValidationError:
            self._metrics.count("row_unreadable", TableName.HEARTBEATS.value)
            return
        if (
            (heartbeat.is_revoked or heartbeat.is_blocked)
            and heartbeat.incarnation == self._identity.incarnation
            and not self._is_revoked
        ):
            self._is_revoked = True
            self._metrics.count("own_lease_revoked")
            self._log.write("own_lease_revoked", owns_duties=self._owns_duties())


def _nonce() -> str:
    return uuid4().hex
