"""Claims in the platform's table."""

from asyncio import Future, Task, create_task, get_running_loop, sleep, wait
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any
from uuid import uuid4

from jujubebarrow.claims.claim_states import ClaimState, ClaimVerdict
from jujubebarrow.claims.claims import Claim, Outcome, claim_keys, digest_body
from jujubebarrow.claims.verdicts import decide_verdict
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import (
    RefusalError,
    StoreError,
    TransactionConflictError,
)
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.services.commit_batchers import CommitBatcher
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION

INLINE_BODY_LIMIT = 4096
RELEASED_LIMIT = 100_000
SHORTEST_POLL_SECONDS = 0.05
LONGEST_POLL_SECONDS = 1.0
STORE_RETRY_SECONDS = 1.0


@dataclass(slots=True, eq=False)
class ClaimTicket:
    """Right of this process to send one request once.

    Attributes:
        key: Key of the claim's row.
        revision: Revision of the row.
        claim: Value of the row.
        outcome: Resolved when the run has ended; None if it is unknown.
    """

    key: str
    revision: int
    claim: Claim
    outcome: "Future[Outcome | None]"


class ClaimStore:
    """Claims requests, and records what became of them.

    Args:
        platform: Table and object store.
        batcher: Group commit.
        identity: This process.
        clock: Time source.
        random: Source of jitter.
        metrics: Where verdicts are counted.
        has_ended: Tells whether an instance's process has ended for certain.
    """

    def __init__(
        self,
        platform: Store,
        batcher: CommitBatcher,
        identity: PeerIdentity,
        clock: Clock,
        random: Random,
        metrics: MetricsRegistry,
        has_ended: Callable[[str, str], bool],
    ):
        self._platform = platform
        self._batcher = batcher
        self._identity = identity
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._has_ended = has_ended
        self._tickets: dict[str, ClaimTicket] = {}
        self._released: OrderedDict[str, None] = OrderedDict()
        self._tasks: set[Task[None]] = set()

    async def close(self, timeout: float) -> None:
        """Wait some seconds for outcomes that are being recorded."""
        if self._tasks:
            await wait(self._tasks, timeout=timeout)

    async def claim(
        self, team: str, queue: str, idempotency_key: str, body: bytes, deadline: float
    ) -> ClaimTicket | Outcome:
        """Claim a request, or return the outcome of an earlier one.

        Args:
            team: Team.
            queue: Queue.
            idempotency_key: Key that the caller chose.
            body: Body, which a repeat must have too.
            deadline: Monotonic time in seconds at which waiting ends.

        Raises:
            RefusalError: The request must not be sent now.
        """
        now = self._clock.wall()
        key, others = claim_keys(team, queue, idempotency_key, now)
        digest = digest_body(body)
        revision: int | None = ABSENT_REVISION
        poll = SHORTEST_POLL_SECONDS
        while True:
            if revision is not None and key not in self._tickets:
                ticket = await self._try_claim(key, others, digest, revision)
                if ticket is not None:
                    return ticket
            found = await self._inspect([key, *others], digest)
            if isinstance(found, Outcome):
                return found
            revision = found
            if revision is None:
                poll = await self._wait(key, poll, deadline)

    async def _try_claim(
        self, key: str, others: list[str], digest: str, revision: int
    ) -> ClaimTicket | None:
        claim = Claim(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            state=ClaimState.CLAIMED,
            body_digest=digest,
            claimed=self._clock.wall(),
        )
        ticket = ClaimTicket(key, 0, claim, get_running_loop().create_future())
        # Registered first, so that a concurrent repeat here waits for it.
        self._tickets[key] = ticket
        try:
            ticket.revision = await self._batcher.write(
                key, claim.model_dump(mode="json"), revision, tuple(others)
            )
        except TransactionConflictError:
            self._forget(ticket, None)
            return None
        except StoreError as error:
            # The write may still take effect, but nothing was sent.
            self._note_released(key)
            self._forget(ticket, None)
            self._start(self._delete_later(key))
            raise RefusalError(ErrorKind.STORE_UNAVAILABLE, "claim") from error
        self._released.pop(key, None)
        return ticket

    async def _inspect(self, keys: list[str], digest: str) -> Outcome | int | None:
        """Return an outcome, the revision to claim over, or None to wait.

        Args:
            keys: Rows where the claim may stand; a new one would be the first.
            digest: Digest of the body.
        """
        for key in keys:
            ticket = self._tickets.get(key)
            if ticket is not None:
                return _inspect_ticket(ticket, digest)
        for key in keys:
            row = await self._read(key)
            if row is not None:
                return await self._inspect_row(row, digest, key == keys[0])
        return ABSENT_REVISION

    async def _inspect_row(
        self, row: Row, digest: str, replaceable: bool
    ) -> Outcome | int | None:
        key = row.key
        claim = Claim.model_validate(row.value)
        verdict = decide_verdict(
            claim,
            digest,
            self._identity.incarnation,
            self._has_ended,
            self._released,
            key,
        )
        self._metrics.count("claim_verdict", verdict.value)
        if verdict is ClaimVerdict.REPLAY and claim.outcome is not None:
            return await self._load(claim.outcome)
        if verdict is ClaimVerdict.TAKE_OVER and not replaceable:
            # A row of another day, which may have landed after its deletion was
            # tried; it goes before a new claim is made.
            await self._try_delete(key)
            return None
        if verdict is ClaimVerdict.TAKE_OVER:
            return row.revision
        if verdict is ClaimVerdict.REUSED:
            raise RefusalError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
        if verdict is ClaimVerdict.UNKNOWN:
            raise RefusalError(ErrorKind.RUN_UNKNOWN)
        return None

    async def _wait(self, key: str, poll: float, deadline: float) -> float:
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            raise RefusalError(ErrorKind.IN_PROGRESS, retry_after=LONGEST_POLL_SECONDS)
        ticket = self._tickets.get(key)
        if ticket is not None:
            await wait([ticket.outcome], timeout=remaining)
            return poll
        await sleep(min(remaining, poll * self._random.uniform(0.5, 1.0)))
        return min(LONGEST_POLL_SECONDS, poll * 2)

    async def _read(self, key: str) -> Row | None:
        try:
            rows = await self._platform.read(key)
        except StoreError as error:
            # An earlier request with this key may have run.
            raise RefusalError(
                ErrorKind.IN_PROGRESS, "store", retry_after=STORE_RETRY_SECONDS
            ) from error
        return rows.rows[0] if rows.rows else None

    async def _load(self, outcome: Outcome) -> Outcome:
        if not outcome.stored:
            return outcome
        try:
            body = await self._platform.get_object(outcome.stored)
        except StoreError as error:
            raise RefusalError(
                ErrorKind.IN_PROGRESS, "store", retry_after=STORE_RETRY_SECONDS
            ) from error
        return outcome.model_copy(update={"body": body.decode("latin-1")})

    def finish(self, ticket: ClaimTicket, outcome: Outcome) -> None:
        """Record an outcome in the background."""
        ticket.outcome.set_result(outcome)
        self._start(self._record(ticket, ClaimState.DONE, outcome))

    def give_up(self, ticket: ClaimTicket) -> None:
        """Delete a claim whose request was certainly not started."""
        self._note_released(ticket.key)
        self._forget(ticket, None)
        self._start(self._delete_later(ticket.key))

    def lose(self, ticket: ClaimTicket) -> None:
        """Record that it is unknown whether the request ran."""
        ticket.outcome.set_result(None)
        self._start(self._record(ticket, ClaimState.LOST, None))

    async def _record(
        self, ticket: ClaimTicket, state: ClaimState, outcome: Outcome | None
    ) -> None:
        update = {"state": state, "outcome": outcome}
        try:
            while not await self._try_record(ticket, update):
                await sleep(STORE_RETRY_SECONDS * self._random.uniform(0.5, 1.0))
        finally:
            self._forget(ticket, outcome)

    async def _try_record(self, ticket: ClaimTicket, update: dict[str, object]) -> bool:
        try:
            outcome = update["outcome"]
            if isinstance(outcome, Outcome):
                update = update | {"outcome": await self._store_body(outcome)}
            claim = ticket.claim.model_copy(update=update)
            value = claim.model_dump(mode="json")
            await self._batcher.write(ticket.key, value, ticket.revision)
        except TransactionConflictError:
            # Our own earlier write took effect after its answer was lost.
            self._metrics.count("claim_record_conflict")
        except StoreError:
            self._metrics.count("retry", "claim-record")
            return False
        return True

    async def _store_body(self, outcome: Outcome) -> Outcome:
        if len(outcome.body) <= INLINE_BODY_LIMIT:
            return outcome
        name = uuid4().hex
        await self._platform.put_object(name, outcome.body.encode("latin-1"))
        return outcome.model_copy(update={"body": "", "stored": name})

    async def _delete_later(self, key: str) -> None:
        while key in self._released and not await self._try_delete(key):
            await sleep(STORE_RETRY_SECONDS * self._random.uniform(0.5, 1.0))

    async def _try_delete(self, key: str) -> bool:
        try:
            rows = await self._platform.read(key)
            if not rows.rows:
                return True
            row = rows.rows[0]
            claim = Claim.model_validate(row.value)
            if claim.incarnation != self._identity.incarnation:
                return True
            if key not in self._released or claim.state is not ClaimState.CLAIMED:
                return True
            if key in self._tickets:
                # Claimed again meanwhile; the row belongs to the new request.
                return True
            await self._batcher.write(key, None, row.revision)
        except TransactionConflictError:
            return True
        except StoreError:
            self._metrics.count("retry", "claim-release")
            return False
        return True

    def _note_released(self, key: str) -> None:
        self._released[key] = None
        if len(self._released) > RELEASED_LIMIT:
            # A forgotten release is judged as unknown, never as free.
            self._released.popitem(last=False)

    def _forget(self, ticket: ClaimTicket, outcome: Outcome | None) -> None:
        if self._tickets.get(ticket.key) is ticket:
            del self._tickets[ticket.key]
        if not ticket.outcome.done():
            ticket.outcome.set_result(outcome)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _inspect_ticket(ticket: ClaimTicket, digest: str) -> Outcome | None:
    if ticket.claim.body_digest != digest:
        raise RefusalError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
    if not ticket.outcome.done():
        return None
    outcome = ticket.outcome.result()
    if outcome is None:
        raise RefusalError(ErrorKind.RUN_UNKNOWN)
    return outcome
