"""Stores claims on requests in the platform's table."""

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

INLINE_BODY_LIMIT_BYTES = 4096
RELEASED_CLAIM_LIMIT = 100_000
MIN_POLL_SECONDS = 0.05
MAX_POLL_SECONDS = 1.0
STORE_RETRY_SECONDS = 1.0


@dataclass(slots=True, eq=False)
class ClaimHandle:
    """Claim of this process, which permits the process to send one request once.

    Attributes:
        key: Key of the claim's row.
        revision: Revision of the row when this process claimed the request.
        claim: Claim that the row contains.
        outcome: Future of the run's outcome; its result is None if the outcome is
            unknown, the claim was not written or the claim was released.
    """

    key: str
    revision: int
    claim: Claim
    outcome: "Future[Outcome | None]"


class ClaimStore:
    """Claims requests that must run at most once, and records their outcomes.

    Args:
        platform: Store with the claims' table and the objects for long bodies.
        batcher: Group commit of the claims' rows.
        identity: Identity of this process.
        clock: Time source.
        random: Source of jitter.
        metrics: Registry of the counters.
        has_ended: Returns whether the process with an instance id and an incarnation
            has certainly ended.
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
        self._handles: dict[str, ClaimHandle] = {}
        self._released: OrderedDict[str, None] = OrderedDict()
        self._tasks: set[Task[None]] = set()

    async def close(self, timeout: float) -> None:
        """Wait up to `timeout` seconds for pending writes of outcomes and releases."""
        if self._tasks:
            await wait(self._tasks, timeout=timeout)

    async def claim(
        self, team: str, queue: str, idempotency_key: str, body: bytes, deadline: float
    ) -> ClaimHandle | Outcome:
        """Claim a request, or return the outcome of an earlier request with its key.

        Args:
            team: Team that sent the request.
            queue: Queue of the request.
            idempotency_key: Key that the caller chose.
            body: Body of the request; a repeated request must have the same body.
            deadline: Monotonic time in seconds at which waiting ends.

        Raises:
            RefusalError: The key was used with another body, the outcome of the earlier
                request is unknown or still missing at the deadline, or the store
                failed.
        """
        now = self._clock.wall()
        key, other_keys = claim_keys(team, queue, idempotency_key, now)
        digest = digest_body(body)
        revision: int | None = ABSENT_REVISION
        poll_seconds = MIN_POLL_SECONDS
        while True:
            if revision is not None and key not in self._handles:
                handle = await self._try_claim(key, other_keys, digest, revision)
                if handle is not None:
                    return handle
            result = await self._check_rows([key, *other_keys], digest)
            if isinstance(result, Outcome):
                return result
            revision = result
            if revision is None:
                poll_seconds = await self._wait_for_change(key, poll_seconds, deadline)

    async def _try_claim(
        self, key: str, other_keys: list[str], digest: str, revision: int
    ) -> ClaimHandle | None:
        claim = Claim(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            state=ClaimState.CLAIMED,
            body_digest=digest,
            claimed=self._clock.wall(),
        )
        handle = ClaimHandle(key, 0, claim, get_running_loop().create_future())
        # The handle is registered before the write, so that a concurrent request with
        # the same key in this process waits for the outcome of this request.
        self._handles[key] = handle
        try:
            handle.revision = await self._batcher.write(
                key, claim.model_dump(mode="json"), revision, tuple(other_keys)
            )
        except TransactionConflictError:
            self._remove(handle, None)
            return None
        except StoreError as error:
            # The write may still take effect, but the request was not sent.
            self._add_released(key)
            self._remove(handle, None)
            self._start_task(self._delete_with_retries(key))
            raise RefusalError(ErrorKind.STORE_UNAVAILABLE, "claim") from error
        self._released.pop(key, None)
        return handle

    async def _check_rows(self, keys: list[str], digest: str) -> Outcome | int | None:
        """Return a recorded outcome, the row revision to replace, or None to wait.

        Args:
            keys: Keys under which the claim may be stored; a new claim uses the first.
            digest: Digest of the request's body.
        """
        for key in keys:
            handle = self._handles.get(key)
            if handle is not None:
                return _check_handle(handle, digest)
        for key in keys:
            row = await self._read_row(key)
            if row is not None:
                return await self._check_row(row, digest, key == keys[0])
        return ABSENT_REVISION

    async def _check_row(
        self, row: Row, digest: str, is_replaceable: bool
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
            return await self._load_outcome(claim.outcome)
        if verdict is ClaimVerdict.TAKE_OVER and not is_replaceable:
            # This process released the claim, but the claim's row exists under another
            # day's key: the write may have taken effect after the deletion was tried.
            # The row is deleted first, as a new claim requires that none exists.
            await self._try_delete(key)
            return None
        if verdict is ClaimVerdict.TAKE_OVER:
            return row.revision
        if verdict is ClaimVerdict.REUSED:
            raise RefusalError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
        if verdict is ClaimVerdict.UNKNOWN:
            raise RefusalError(ErrorKind.RUN_UNKNOWN)
        return None

    async def _wait_for_change(
        self, key: str, poll_seconds: float, deadline: float
    ) -> float:
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            raise RefusalError(ErrorKind.IN_PROGRESS, retry_after=MAX_POLL_SECONDS)
        handle = self._handles.get(key)
        if handle is not None:
            await wait([handle.outcome], timeout=remaining)
            return poll_seconds
        await sleep(min(remaining, poll_seconds * self._random.uniform(0.5, 1.0)))
        return min(MAX_POLL_SECONDS, poll_seconds * 2)

    async def _read_row(self, key: str) -> Row | None:
        try:
            rows = await self._platform.read(key)
        except StoreError as error:
            # An earlier request with the same idempotency key may have run.
            raise RefusalError(
                ErrorKind.IN_PROGRESS, "store", retry_after=STORE_RETRY_SECONDS
            ) from error
        return rows.rows[0] if rows.rows else None

    async def _load_outcome(self, outcome: Outcome) -> Outcome:
        if not outcome.stored:
            return outcome
        try:
            body = await self._platform.get_object(outcome.stored)
        except StoreError as error:
            raise RefusalError(
                ErrorKind.IN_PROGRESS, "store", retry_after=STORE_RETRY_SECONDS
            ) from error
        return outcome.model_copy(update={"body": body.decode("latin-1")})

    def record_outcome(self, handle: ClaimHandle, outcome: Outcome) -> None:
        """Record the outcome of a claimed request in the background."""
        handle.outcome.set_result(outcome)
        self._start_task(self._record_with_retries(handle, ClaimState.DONE, outcome))

    def release(self, handle: ClaimHandle) -> None:
        """Release the claim on a request that was certainly not started."""
        self._add_released(handle.key)
        self._remove(handle, None)
        self._start_task(self._delete_with_retries(handle.key))

    def record_unknown(self, handle: ClaimHandle) -> None:
        """Record that a claimed request may have run, but its outcome is unknown."""
        handle.outcome.set_result(None)
        self._start_task(self._record_with_retries(handle, ClaimState.LOST, None))

    async def _record_with_retries(
        self, handle: ClaimHandle, state: ClaimState, outcome: Outcome | None
    ) -> None:
        update = {"state": state, "outcome": outcome}
        try:
            while not await self._try_record(handle, update):
                await sleep(STORE_RETRY_SECONDS * self._random.uniform(0.5, 1.0))
        finally:
            self._remove(handle, outcome)

    async def _try_record(self, handle: ClaimHandle, update: dict[str, object]) -> bool:
        try:
            outcome = update["outcome"]
            if isinstance(outcome, Outcome):
                update = update | {"outcome": await self._store_body(outcome)}
            claim = handle.claim.model_copy(update=update)
            value = claim.model_dump(mode="json")
            await self._batcher.write(handle.key, value, handle.revision)
        except TransactionConflictError:
            # An earlier attempt of this process took effect, but the response was lost.
            self._metrics.count("claim_record_conflict")
        except StoreError:
            self._metrics.count("retry", "claim-record")
            return False
        return True

    async def _store_body(self, outcome: Outcome) -> Outcome:
        if len(outcome.body) <= INLINE_BODY_LIMIT_BYTES:
            return outcome
        name = uuid4().hex
        await self._platform.put_object(name, outcome.body.encode("latin-1"))
        return outcome.model_copy(update={"body": "", "stored": name})

    async def _delete_with_retries(self, key: str) -> None:
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
            if key in self._handles:
                # The key was claimed again: the row belongs to the new request.
                return True
            await self._batcher.write(key, None, row.revision)
        except TransactionConflictError:
            return True
        except StoreError:
            self._metrics.count("retry", "claim-release")
            return False
        return True

    def _add_released(self, key: str) -> None:
        self._released[key] = None
        if len(self._released) > RELEASED_CLAIM_LIMIT:
            # Without an entry in this list, a released claim counts as a claim with an
            # unknown outcome: repeated requests are refused and never run twice.
            self._released.popitem(last=False)

    def _remove(self, handle: ClaimHandle, outcome: Outcome | None) -> None:
        if self._handles.get(handle.key) is handle:
            del self._handles[handle.key]
        if not handle.outcome.done():
            handle.outcome.set_result(outcome)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _check_handle(handle: ClaimHandle, digest: str) -> Outcome | None:
    if handle.claim.body_digest != digest:
        raise RefusalError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
    if not handle.outcome.done():
        return None
    outcome = handle.outcome.result()
    if outcome is None:
        raise RefusalError(ErrorKind.RUN_UNKNOWN)
    return outcome
