"""Claims a seat for this instance and hands it back."""

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
"""Claims in one refresh, each after losing a race for a seat."""


class SeatService(BackgroundLoop):
    """Reads the platform's list and the seats, and holds seats.

    Every seat is to be held by someone, since its part of the limits is of no
    use otherwise. Instances therefore hold several seats while there are fewer
    instances than seats, and hand one over to an instance that has none.

    Args:
        identity: This process.
        platform: Table and list.
        ledger: Gets the seat.
        freshness: Gets the other holders.
        absences: Gets the list.
        clock: Time source.
        settings: Periods.
        metrics: Where claims are counted.
        on_change: Called after each reading.
        ready_peers: Returns the peers that take work.
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
        ready_peers: Callable[[], frozenset[str]],
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
        self._ready_peers = ready_peers
        self._seats: dict[str, tuple[Seat, int]] = {}
        self._announced: dict[str, float] = {}
        self._awaited: set[str] = set()
        self._releasing: set[int] = set()
        self._settled = False

    @property
    def number(self) -> int | None:
        """Number of the first own seat, or None."""
        return min(self._ledger.seats, default=None)

    @property
    def may_write(self) -> bool:
        """Whether this instance may accept configuration changes.

        It may once every other holder has answered it, and so counts it among
        those whose silence leaves a doubt.
        """
        return self.number is not None and self._settled and not self._awaited

    def addresses(self) -> dict[str, str]:
        """Return the peer addresses of all other holders by instance."""
        return {
            seat.instance: seat.peer_address
            for seat, _ in self._seats.values()
            if seat.instance and seat.incarnation != self._identity.incarnation
        }

    def has_ended(self, instance: str, incarnation: str) -> bool:
        """Return whether an instance's process has ended for certain."""
        if self._absences.is_terminated(instance):
            return True
        for seat, _ in self._seats.values():
            if seat.instance == instance:
                return seat.incarnation != incarnation
        return False

    def note_holder(self, incarnation: str, seat: int | None) -> None:
        """Count a peer among the holders as soon as it says that it is one."""
        if seat is None:
            return
        self._announced[incarnation] = self._clock.monotonic()
        self._tell_holders()

    def note_answer(self, incarnation: str) -> None:
        """Record that a peer answered a heartbeat that named the own seat."""
        self._awaited.discard(incarnation)

    def _tell_holders(self) -> None:
        self._freshness.set_holders(frozenset(self._holders()), self._settled)

    def _holders(self) -> set[str]:
        seated = {seat.incarnation for seat, _ in self._seats.values() if seat.instance}
        return (seated | self._announced.keys()) - {self._identity.incarnation}

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
        await self._resolve_lost_answers()
        for _ in range(CLAIM_ATTEMPTS):
            if not self._balance().should_claim_seat or await self._claim():
                break
            await self._read_seats()
        if self._balance().should_release_seat:
            await self._hand_over()

    async def _read_seats(self) -> None:
        asked = self._clock.monotonic()
        rows = await self._platform.read(SEAT_PREFIX)
        # Who announced itself before the reading is in it if it holds a seat.
        self._announced = {
            incarnation: time
            for incarnation, time in self._announced.items()
            if time >= asked
        }
        self._seats = {
            row.key: (Seat.model_validate(row.value), row.revision) for row in rows.rows
        }
        for seat, _ in self._seats.values():
            if seat.instance:
                self._absences.track(seat.instance)
        self._check_own()
        if self._settled:
            self._awaited &= self._holders()
        elif self._ledger.seats:
            # Read after the claim, so that of two new holders one knows the other.
            self._awaited = self._holders()
            self._settled = True
        self._tell_holders()

    def _check_own(self) -> None:
        for number in self._ledger.seats:
            row = self._seats.get(seat_key(number))
            if row is None or row[0].incarnation != self._identity.incarnation:
                logger.error("seat {} was taken over", number)
                self._metrics.count("seat_lost")
                self._ledger.drop_seat(number)
        if not self._ledger.seats:
            self._settled = False

    async def _resolve_lost_answers(self) -> None:
        """Take seats whose claim was not confirmed, and repeat releases."""
        for number in range(self._settings.seats):
            row = self._seats.get(seat_key(number))
            own = row is not None and row[0].incarnation == self._identity.incarnation
            if row is None or not own:
                self._releasing.discard(number)
            elif number in self._releasing:
                # A release may still be on its way, so it is never taken back.
                await self._write_release(number, row[0].usable_from)
            elif number not in self._ledger.seats:
                self._ledger.add_seat(number, row[0].usable_from)

    def _balance(self) -> SeatBalance:
        rows = [seat for seat, _ in self._seats.values() if seat.instance]
        stale = [seat for seat in rows if self._is_stale(seat)]
        held = Counter(
            seat.instance
            for seat in rows
            if seat not in stale and not self._absences.is_terminated(seat.instance)
        )
        return SeatBalance(
            instance=self._identity.instance,
            seats=self._settings.seats,
            held=dict(held),
            ready=self._ready_peers(),
            stale=len(stale),
        )

    def _is_stale(self, seat: Seat) -> bool:
        if seat.instance != self._identity.instance:
            return False
        return seat.incarnation != self._identity.incarnation

    async def _claim(self) -> bool:
        """Claim a seat; return False if another instance was faster."""
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
            await self._write(offer.number, offer.revision, self._own_seat(offer))
        except TransactionConflictError:
            self._metrics.count("retry", "seat-claim")
            return False
        self._ledger.add_seat(offer.number, offer.usable_from)
        logger.info("holds seat {}", offer.number)
        await self._read_seats()
        return True

    async def _hand_over(self) -> None:
        """Release one of several seats for an instance that has none."""
        for number in reversed(self._ledger.seats):
            if self._ledger.try_drop_seat(number):
                await self._write_release(number, self._clock.wall())
                return

    def _own_seat(self, offer: SeatOffer) -> Seat:
        address = f"{self._settings.address}:{self._settings.dialled_port}"
        return Seat(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            zone=self._identity.zone,
            peer_address=address,
            usable_from=offer.usable_from,
        )

    async def _write(self, number: int, revision: int, seat: Seat) -> None:
        transaction = Transaction(
            conditions={seat_key(number): revision},
            writes={seat_key(number): seat.model_dump()},
            nonce=uuid4().hex,
        )
        await self._platform.commit(transaction)

    async def release(self) -> None:
        """Hand all seats back after all own work has ended."""
        usable_from = self._ledger.lent_until() + self._settings.clock_error
        for number in self._ledger.seats:
            self._ledger.drop_seat(number)
            await self._write_release(number, usable_from)

    async def _write_release(self, number: int, usable_from: float) -> None:
        row = self._seats.get(seat_key(number))
        if row is None:
            return
        self._releasing.add(number)
        released = Seat(
            instance="",
            incarnation="",
            zone="",
            peer_address="",
            usable_from=max(usable_from, row[0].usable_from),
        )
        try:
            await self._write(number, row[1], released)
        except (StoreError, TransactionConflictError):
            self._metrics.count("seat_release_failed")
