"""Claims duties in the store while this instance is a claimant."""

from asyncio import gather
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any
from uuid import uuid4

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.claim_planners import ClaimPlanner
from jujubebarrow.ownerships.claimant_policies import ClaimantPolicy
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import DutyId, DutyRow, InstanceRow
from jujubebarrow.ownerships.peer_probes import PeerProbe
from jujubebarrow.ownerships.peer_progresses import PeerProgress
from jujubebarrow.ownerships.service_gaps import ServiceGaps
from jujubebarrow.pauses import Pause
from jujubebarrow.runtimes.claimant_memberships import ClaimantMembership
from jujubebarrow.runtimes.duty_listeners import DutyListener
from jujubebarrow.runtimes.duty_stores import DutyStore
from jujubebarrow.runtimes.heartbeat_watchers import (
    HeartbeatWatcher,
    find_latest_key,
    get_revision,
    read_heartbeats,
)
from jujubebarrow.runtimes.instance_directories import InstanceDirectory
from jujubebarrow.runtimes.lease_renewers import (
    LEASE_SECONDS,
    RENEW_PERIOD_SECONDS,
    LeaseRenewer,
)
from jujubebarrow.runtimes.loss_detectors import OVERDUE_SECONDS, LossDetector
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.workloads.identifiers import FenceToken

OWNER_POLL_SECONDS = 0.4
"""Seconds between two polls of the owners of all duties."""
SETTLE_SECONDS = 0.3
"""Seconds after an instance's start in which the instance claims no duty, to wait for
the heartbeats of other instances; instances that start together all start within that
time."""
STARTUP_POLL_SECONDS = 0.12
"""Seconds between two polls of the owners during startup."""
SILENT_HEARTBEAT_SECONDS = 60.0
"""Silence after which the heartbeat of a lost instance is deleted."""
PURGE_PERIOD_SECONDS = 20.0
"""Seconds between two deletions of such heartbeats by an owner of duties."""


class OwnershipService:
    """Makes this instance a claimant if there are too few, and claims duties.

    A claimant renews a lease, reads the leases of the others and polls the owners of
    the duties. Any other instance only reads now and then whether there are enough
    claimants.

    Args:
        identity: This instance as its heartbeats show it to the others.
        store: Store shared by all instances.
        probe: Asks other instances whether they can keep their leases.
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
        probe: PeerProbe,
        listener: DutyListener,
        random: Random,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._instance = identity.instance
        self._incarnation = identity.incarnation
        self._store = store
        self._duty_store = DutyStore(identity, store, metrics)
        self._listener = listener
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._observer = LeaseObserver(LEASE_SECONDS)
        self._planner = ClaimPlanner(identity.instance, self._observer)
        self._duty_rows: dict[DutyId, DutyRow] = {}
        self._owned_duties: dict[DutyId, FenceToken] = {}
        self._former_leases_end: dict[DutyId, float] = {}
        self._gaps = ServiceGaps()
        self._peer_progress = PeerProgress(
            identity.instance, self._observer, RENEW_PERIOD_SECONDS
        )
        self._started_at = clock.monotonic()
        self._pause = Pause()
        self._purged_at = self._started_at
        self._peers: frozenset[str] = frozenset()
        self._heartbeat_watcher = HeartbeatWatcher(
            store,
            self._observer,
            lambda: self._renewer.is_claimant,
            self._handle_heartbeats,
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
        self._membership = ClaimantMembership(
            ClaimantPolicy(identity, self._observer, random),
            self._observer,
            self._heartbeat_watcher.read_now,
            self._renewer,
            random,
            clock,
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
        self._loss_detector = LossDetector(
            identity.instance,
            store,
            self._observer,
            probe,
            self._may_revoke,
            self._check_soon,
            clock,
            log,
            metrics,
        )
        self._loops: list[BackgroundLoop] = [
            self._heartbeat_watcher,
            self._renewer,
            self._directory,
            self._loss_detector,
            _PeriodicLoop(self._check, self._choose_check_period, self._pause),
        ]
        self.duties: list[DutyId] = []

    @property
    def lease_valid_until(self) -> float:
        """Monotonic time in seconds until which no other instance takes over duties."""
        return self._renewer.valid_until

    @property
    def is_failing(self) -> bool:
        """Whether this instance should renew a lease and cannot."""
        return self._renewer.is_failing

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

    def find_former_lease_end(self, duty: DutyId) -> float:
        """Return the monotonic time in seconds until which a former owner may act.

        A duty is claimed before that if the lease of its owner was revoked. Fencing
        tokens protect the store and the workers from then on; what is not fenced has to
        wait.

        Args:
            duty: Id of an owned duty.
        """
        return self._former_leases_end.get(duty, float("-inf"))

    async def confirm_claim(self, duty: DutyId, token: FenceToken) -> FenceToken | None:
        """Write the row of a duty anew if this instance's claim still holds.

        Args:
            duty: Id of the duty.
            token: Fencing token of the claim.

        Returns:
            Revision of the row, which is higher than all claims before and lower than
            all later ones; None if the claim does not hold any more.

        Raises:
            StoreError: Whether the row was written may be unknown.
            TransactionConflictError: The row has changed since it was read.
        """
        row = (await self._duty_store.read()).get(duty)
        if row is None or row.token != token:
            return None
        confirmed = await self._duty_store.confirm(row)
        self._duty_rows[duty] = confirmed
        return FenceToken(confirmed.revision)

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
            await self._log_failure(
                self._store.commit(self._renewer.make_stopping_transaction()), released
            )
        await self._directory.remove()

    async def _release(self, duties: list[DutyId], reason: str) -> None:
        for duty in duties:
            if duty in self._owned_duties:
                await self._end_duty(duty, reason)
        await gather(*(self._clear_holder(duty) for duty in duties))

    async def _clear_holder(self, duty: DutyId) -> None:
        await self._log_failure(self._duty_store.release(self._duty_rows[duty]), [duty])

    async def _log_failure(self, write: Awaitable[Any], duties: list[DutyId]) -> None:
        try:
            await write
        except (StoreError, TransactionConflictError) as error:
            self._log.write("hand_over_failed", duties=duties, detail=str(error))

    def _check_soon(self) -> None:
        self._pause.interrupt()

    def _handle_heartbeats(self, rows: list[InstanceRow]) -> None:
        """Claim duties of revoked leases at once, and look for lost instances."""
        if any(row.is_revoked for row in rows):
            self._check_soon()
        self._loss_detector.check()

    def _may_revoke(self) -> bool:
        """Return whether this instance reaches the store well enough to judge others.

        An instance whose own heartbeat is overdue may share the difficulty of others.
        """
        now = self._clock.monotonic()
        return (
            self._renewer.is_claimant
            and not self._renewer.is_stopping
            and now >= self._renewer.may_claim_from
            and self._renewer.valid_until - now >= LEASE_SECONDS - OVERDUE_SECONDS
            and self._observer.is_current(now)
        )

    def _choose_check_period(self) -> float:
        if not self._renewer.is_claimant:
            return self._membership.seconds_to_check
        if self._membership.is_starting:
            return STARTUP_POLL_SECONDS
        return OWNER_POLL_SECONDS

    async def _check(self) -> None:
        if self._renewer.is_stopping:
            return
        if not self._renewer.is_claimant:
            await self._membership.join_if_wanted(len(self.duties))
        if self._renewer.is_claimant:
            await self._poll_owners()
            self._membership.leave_if_surplus(
                len(self.duties), bool(self._owned_duties)
            )
            await self._purge_silent()
        self._report_peers()

    async def _purge_silent(self) -> None:
        """Delete the heartbeats of instances that have long been lost."""
        now = self._clock.monotonic()
        if not self._owned_duties or now < self._purged_at + PURGE_PERIOD_SECONDS:
            return
        self._purged_at = now
        for row in self._observer.list_silent(SILENT_HEARTBEAT_SECONDS, now):
            try:
                await self._delete_heartbeats(row)
            except (StoreError, TransactionConflictError) as error:
                self._metrics.count("heartbeat_undeleted", type(error).__name__)

    async def _delete_heartbeats(self, row: InstanceRow) -> None:
        """Delete the rows of a lost instance, the latest heartbeat last."""
        rows = await read_heartbeats(self._store, row.instance)
        if get_revision(rows[find_latest_key(rows)]) > row.revision:
            return
        revisions = {key: found.revision for key, found in rows.items() if found}
        for key in sorted(revisions, key=revisions.__getitem__):
            await self._store.commit(
                Transaction(
                    conditions={key: revisions[key]},
                    writes={key: None},
                    nonce=uuid4().hex,
                )
            )

    def _report_peers(self) -> None:
        addresses = self.peer_addresses
        if self._peers != frozenset(addresses):
            self._peers = frozenset(addresses)
            self._listener.on_peers_changed(addresses)

    async def _poll_owners(self) -> None:
        is_confirmed = self._renewer.is_confirmed
        try:
            self._duty_rows = await self._duty_store.read()
        except StoreError as error:
            self._renewer.record_failure("owners_unread", error)
            return
        now = self._clock.monotonic()
        serviceable_seconds = self._peer_progress.measure(
            now, self._renewer.renewal_count
        )
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
            row = self._duty_rows[duty]
            try:
                self._duty_rows[duty] = await self._duty_store.confirm(row)
            except (StoreError, TransactionConflictError) as error:
                self._metrics.count("confirmation_failed", type(error).__name__)
                return False
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

    async def _claim(self, duty: DutyId) -> None:
        row = self._duty_rows.get(duty)
        lapse_count = self._renewer.lapse_count
        try:
            claimed = await self._duty_store.claim(duty, row)
        except (StoreError, TransactionConflictError) as error:
            self._metrics.count("claim_failed", type(error).__name__)
            return
        if self._renewer.lapse_count != lapse_count:
            # Another instance may have taken over the duty since the claim took effect.
            self._renewer.suspend()
        token = FenceToken(claimed.token)
        if duty in self._owned_duties:
            await self._end_duty(duty, "claimed again")
        self._duty_rows[duty] = claimed
        self._owned_duties[duty] = token
        self._former_leases_end[duty] = self._observer.find_revoked_leases_end()
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
