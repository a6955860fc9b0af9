"""Claims seats for this instance and releases them."""

from asyncio import sleep
from collections import Counter
from collections.abc import Callable
from uuid import uuid4

from loguru import logger

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.freshness import FreshnessLease
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.limits.ledgers import LimitLedger
from jujubebarrow.members.absences import AbsenceTracker
from jujubebarrow.members.seat_balances import SeatBalance
from jujubebarrow.members.seat_claims import SeatOffer, choose_seat
from jujubebarrow.members.seats import SEAT_PREFIX, Seat, seat_key
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.settings.settings import Settings
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

CLAIM_ATTEMPTS = 4
"""Maximum number of claims per refresh; a claim that lost a race for a seat is
repeated."""


class SeatService(BackgroundLoop):
    """Reads the platform's instance list and the seats, and claims seats.

    The upper limits are divided among the seats, hence the quota of a seat without a
    holder is unused. An instance therefore holds several seats while there are fewer
    instances than seats, and releases one for an instance that holds none.

    Args:
        identity: Identity of this process.
        platform: Store that holds the seats' rows and lists the instances.
        ledger: Ledger that receives the claimed seats.
        freshness: Freshness lease that receives the other seat holders.
        absences: Tracker that receives the instance list.
        clock: Time source.
        settings: Settings with the number of seats and the period of refreshes.
        metrics: Registry of the counters.
        on_change: Called after each refresh.
        list_ready_peers: Returns the ids of the peers that accept requests.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        platform: Store,
        ledger: LimitLedger,
        freshness: FreshnessLease,
        absences: AbsenceTracker,
        clock: Clock,
        settings: Settings,
        metrics: MetricsRegistry,
        on_change: Callable[[], None],
        list_ready_peers: Callable[[], frozenset[str]],
    ):
        super().__init__()
        self._identity = identity
        self._platform = platform
        self._ledger = ledger
        self._freshness = freshness
        self._absences = absences
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._on_change = on_change
        self._list_ready_peers = list_ready_peers
        self._seats: dict[str, tuple[Seat, int]] = {}
        self._announced_at: dict[str, float] = {}
        self._unacknowledged_holders: set[str] = set()
        self._releasing_seats: set[int] = set()
        self._has_read_holders = False

    @property
    def seat_number(self) -> int | None:
        """Lowest number of the seats that this instance holds; None without a seat."""
        return min(self._ledger.seats, default=None)

    @property
    def can_write(self) -> bool:
        """Whether this instance may accept configuration changes.

        Every other holder must first have acknowledged a heartbeat with this
        instance's seat. Those holders then need this instance's attestations to
        prove that their configuration is fresh.
        """
        return (
            self.seat_number is not None
            and self._has_read_holders
            and not self._unacknowledged_holders
        )

    def list_holder_addresses(self) -> dict[str, str]:
        """Return the peer addresses of all other seat holders by instance."""
        return {
            seat.instance: seat.peer_address
            for seat, _ in self._seats.values()
            if seat.instance and seat.incarnation != self._identity.incarnation
        }

    def has_ended(self, instance: str, incarnation: str) -> bool:
        """Return whether an instance's process has certainly ended."""
        if self._absences.is_terminated(instance):
            return True
        for seat, _ in self._seats.values():
            if seat.instance == instance:
                return seat.incarnation != incarnation
        return False

    def record_holder(self, incarnation: str, seat: int | None) -> None:
        """Count a peer among the seat holders as soon as the peer announces a seat."""
        if seat is None:
            return
        self._announced_at[incarnation] = self._clock.monotonic()
        self._update_holders()

    def record_acknowledgment(self, incarnation: str) -> None:
        """Record that a peer acknowledged a heartbeat with this instance's seat."""
        self._unacknowledged_holders.discard(incarnation)

    def _update_holders(self) -> None:
        self._freshness.set_seat_holders(
            frozenset(self._list_other_holders()), self._has_read_holders
        )

    def _list_other_holders(self) -> set[str]:
        recorded = {
            seat.incarnation for seat, _ in self._seats.values() if seat.instance
        }
        return (recorded | self._announced_at.keys()) - {self._identity.incarnation}

    async def _run(self) -> None:
        while True:
            try:
                await self._refresh()
            except StoreError:
                self._metrics.count("retry", "seat-refresh")
            self._on_change()
            await sleep(self._settings.list_period)

    async def _refresh(self) -> None:
        self._absences.update(await self._platform.list_instances())
        await self._read_seats()
        if not self._absences.is_listed(self._identity.instance):
            return
        await self._resolve_unconfirmed_writes()
        for _ in range(CLAIM_ATTEMPTS):
            if not self._make_balance().should_claim_seat or await self._try_claim():
                break
            await self._read_seats()
        if self._make_balance().should_release_seat:
            await self._release_one()

    async def _read_seats(self) -> None:
        read_at = self._clock.monotonic()
        rows = await self._platform.read(SEAT_PREFIX)
        # Announcements before the read are dropped, because the rows contain each of
        # these peers that still holds a seat.
        self._announced_at = {
            incarnation: time
            for incarnation, time in self._announced_at.items()
            if time >= read_at
        }
        self._seats = {
            row.key: (Seat.model_validate(row.value), row.revision) for row in rows.rows
        }
        for seat, _ in self._seats.values():
            if seat.instance:
                self._absences.track(seat.instance)
        self._drop_superseded_seats()
        if self._has_read_holders:
            self._unacknowledged_holders &= self._list_other_holders()
        elif self._ledger.seats:
            # The rows were read after this instance claimed a seat. If two instances
            # claim seats at the same time, at least one of them finds the other.
            self._unacknowledged_holders = self._list_other_holders()
            self._has_read_holders = True
        self._update_holders()

    def _drop_superseded_seats(self) -> None:
        for number in self._ledger.seats:
            row = self._seats.get(seat_key(number))
            if row is None or row[0].incarnation != self._identity.incarnation:
                logger.error(
                    "seat {} is no longer recorded for this process; dropping the seat",
                    number,
                )
                self._metrics.count("seat_lost")
                self._ledger.remove_seat(number)
        if not self._ledger.seats:
            self._has_read_holders = False

    async def _resolve_unconfirmed_writes(self) -> None:
        """Add seats whose claims were unconfirmed; repeat unconfirmed releases."""
        for number in range(self._settings.seats):
            row = self._seats.get(seat_key(number))
            is_own_seat = (
                row is not None and row[0].incarnation == self._identity.incarnation
            )
            if row is None or not is_own_seat:
                self._releasing_seats.discard(number)
            elif number in self._releasing_seats:
                # An earlier release may still take effect, hence the seat is released
                # again and never kept.
                await self._write_release(number, row[0].usable_from)
            elif number not in self._ledger.seats:
                self._ledger.add_seat(number, row[0].usable_from)

    def _make_balance(self) -> SeatBalance:
        held_seats = [seat for seat, _ in self._seats.values() if seat.instance]
        stale_seats = [seat for seat in held_seats if self._is_stale(seat)]
        held_counts = Counter(
            seat.instance
            for seat in held_seats
            if seat not in stale_seats
            and not self._absences.is_terminated(seat.instance)
        )
        return SeatBalance(
            instance=self._identity.instance,
            total_count=self._settings.seats,
            count_by_holder=dict(held_counts),
            ready=self._list_ready_peers(),
            stale_count=len(stale_seats),
        )

    def _is_stale(self, seat: Seat) -> bool:
        if seat.instance != self._identity.instance:
            return False
        return seat.incarnation != self._identity.incarnation

    async def _try_claim(self) -> bool:
        """Claim an unused seat if any; return False if another instance was faster."""
        quarantine = self._settings.task_lease + 2 * self._settings.clock_error
        offer = choose_seat(
            self._seats,
            self._settings.seats,
            self._identity,
            self._absences.is_terminated,
            self._clock.wall(),
            quarantine,
        )
        if offer is None:
            return True
        try:
            await self._write_seat(offer.number, offer.revision, self._make_seat(offer))
        except TransactionConflictError:
            self._metrics.count("retry", "seat-claim")
            return False
        self._ledger.add_seat(offer.number, offer.usable_from)
        logger.info("claimed seat {}", offer.number)
        await self._read_seats()
        return True

    async def _release_one(self) -> None:
        """Release a seat for an instance without one, if the other seats suffice."""
        for number in reversed(self._ledger.seats):
            if self._ledger.try_remove_seat(number):
                await self._write_release(number, self._clock.wall())
                return

    def _make_seat(self, offer: SeatOffer) -> Seat:
        address = f"{self._settings.address}:{self._settings.dialled_port}"
        return Seat(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            zone=self._identity.zone,
            peer_address=address,
            usable_from=offer.usable_from,
        )

    async def _write_seat(self, number: int, revision: int, seat: Seat) -> None:
        transaction = Transaction(
            conditions={seat_key(number): revision},
            writes={seat_key(number): seat.model_dump()},
            nonce=uuid4().hex,
        )
        await self._platform.commit(transaction)

    async def release(self) -> None:
        """Release all seats; all work of this instance must have ended before."""
        usable_from = self._ledger.lent_until() + self._settings.clock_error
        for number in self._ledger.seats:
            self._ledger.remove_seat(number)
            await self._write_release(number, usable_from)

    async def _write_release(self, number: int, usable_from: float) -> None:
        row = self._seats.get(seat_key(number))
        if row is None:
            return
        self._releasing_seats.add(number)
        released = Seat(
            instance="",
            incarnation="",
            zone="",
            peer_address="",
            usable_from=max(usable_from, row[0].usable_from),
        )
        try:
            await self._write_seat(number, row[1], released)
        except (StoreError, TransactionConflictError):
            self._metrics.count("seat_release_failed")
