"""Records in the store what a later owner of a pool has to wait for.

That is the end of the leases of unresponsive workers, and the time until which workers
may execute starts that got no response.

The record serves successive owners of a pool while a worker is unreachable: without the
record, each new owner would wait again for the longest lease that an earlier owner may
have granted.
"""

import builtins
from asyncio import Event, sleep, wait_for
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from uuid import uuid4

from msgspec import convert, json

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.late_start_records import (
    LateStartRecord,
    decode_late_starts,
    encode_late_starts,
)
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.recorded_leases import (
    RecordedLease,
    decode_leases,
    encode_leases,
)
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.progress_writers import DisplacedError
from jujubebarrow.stores.row_errors import ROW_ERRORS
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.workloads.identifiers import WorkerId

UPDATE_PERIOD_SECONDS = 0.25
"""Time between two checks whether the row is up to date; a worker that becomes
reachable again waits up to this time for a lease."""
UPDATE_SPACING_SECONDS = 0.05
"""Shortest time between two writes; starts that get no response meanwhile share one."""
UNRESPONSIVE_AFTER_SECONDS = 0.8
"""Time without a response after which a worker's lease is recorded; a single lost
response must not be enough, since responses of healthy workers get lost as well."""
TOKEN = "token"
LEASES = "leases"
LATE_STARTS = "late"
LATE_STARTS_MARGIN_SECONDS = 1.0
"""Time added to the end of late starts, so that not each of them changes the row."""


class LeaseRecorder:
    """Maintains the row with the leases of a pool's unresponsive workers.

    The row carries the owner's fencing token, so a superseded owner can no longer
    change the row. A recorded worker gets no lease until its record is removed.

    Args:
        state: State of the pool.
        store: Store that holds the row.
        on_superseded: Called when another instance has taken over the pool.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        state: PoolState,
        store: Store,
        on_superseded: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._state = state
        self._store = store
        self._on_superseded = on_superseded
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._key = make_key(TableName.LEASES, state.pool, "lease")
        self._revision = ABSENT_REVISION
        self._store_clock = StoreClock(clock)
        self._stored: dict[WorkerId, RecordedLease] = {}
        self._stored_late: dict[WorkerId, LateStartRecord] = {}
        self._is_write_confirmed = True
        # Times until which the record of a worker has to last at least.
        self._requested_ends: dict[WorkerId, float] = {}
        self._request_event = Event()

    def request_record(self, name: WorkerId) -> bool:
        """Return whether a start of a worker may be repeated; store it if not.

        A later owner that knows of one start only would acknowledge the end of the run
        while the worker may still execute the other one. It has to know until when the
        worker may execute either of them, as this owner may be lost at any time.

        Args:
            name: Id of the worker.

        Returns:
            Whether the store has the unacknowledged starts of the worker, if any, and
            until when it may execute an order that is sent now.
        """
        now = self._clock.monotonic()
        end = now + self._state.options.late_order_window
        worker = self._state.workers.get(name)
        if worker is None or worker.late_starts_end <= now:
            return True
        record = worker.make_late_start_record(now)
        record = replace(record, end=max(record.end, end))
        if self._stored_late.get(name, LateStartRecord()).covers(record):
            return True
        self._requested_ends[name] = end
        self._request_event.set()
        return False

    async def load(self) -> None:
        """Read the row and write this owner's token before any lease is granted.

        Raises:
            DisplacedError: The row carries the token of a later owner.
            StoreError: A read or write failed or its outcome is unknown.
        """
        while True:
            await self._read()
            try:
                await self._write(self._stored, self._stored_late)
            except TransactionConflictError:
                self._metrics.count("retry", "leases")
                continue
            self._state.set_recorded_leases(self._stored)
            self._state.set_former_owners_starts(self._stored_late)
            return

    async def run(self) -> None:
        """Record and remove leases until cancelled or superseded."""
        while True:
            try:
                await self._update()
            except StoreError as error:
                self._metrics.count("retry", "leases")
                self._metrics.count("store_unanswered", str(error)[:40])
            except TransactionConflictError:
                # Either an earlier write took effect although the response was lost,
                # or another instance has taken over the pool.
                await self._try_read()
            except DisplacedError:
                self._on_superseded()
                return
            await self._wait_for_request()

    async def _wait_for_request(self) -> None:
        await sleep(UPDATE_SPACING_SECONDS)
        try:
            await wait_for(
                self._request_event.wait(),
                UPDATE_PERIOD_SECONDS - UPDATE_SPACING_SECONDS,
            )
        except builtins.TimeoutError:
            return

    def _make_late_start_records(self, now: float) -> dict[WorkerId, LateStartRecord]:
        """Return the starts to be stored, with the ends that were requested."""
        requested, self._requested_ends = self._requested_ends, {}
        return {
            name: replace(record, end=max(record.end, requested.get(name, 0.0)))
            for name, record in self._state.make_late_start_records(now).items()
        }

    async def _read(self) -> None:
        sent_at = self._clock.monotonic()
        found = await self._store.read(self._key)
        self._store_clock.record_store_time(sent_at, found.clock)
        row = next((row for row in found.rows if row.key == self._key), None)
        document = (row.value or {}) if row is not None else {}
        try:
            token = convert(document.get(TOKEN, 0), int)
            stored = decode_leases(document.get(LEASES, {}), self._store_clock)
            late = decode_late_starts(document.get(LATE_STARTS, {}), self._store_clock)
        except ROW_ERRORS:
            # Without a record, each lease counts as the longest one.
            self._metrics.count("row_unreadable", TableName.LEASES.value)
            token, stored, late = 0, {}, {}
        if token > self._state.token:
            raise DisplacedError
        self._revision = row.revision if row is not None else ABSENT_REVISION
        self._stored = stored
        self._stored_late = late

    async def _try_read(self) -> None:
        try:
            await self._read()
        except DisplacedError:
            self._on_superseded()
        except StoreError as error:
            self._metrics.count("store_unanswered", str(error)[:40])

    async def _write(
        self,
        leases: dict[WorkerId, RecordedLease],
        late: dict[WorkerId, LateStartRecord],
    ) -> None:
        value: dict[str, Any] = {
            TOKEN: self._state.token,
            LEASES: encode_leases(leases, self._store_clock),
            LATE_STARTS: {},
        }
        room = self._state.options.row_limit - len(json.encode(value))
        value[LATE_STARTS] = encode_late_starts(late, self._store_clock, room)
        transaction = Transaction(
            conditions={self._key: self._revision},
            writes={self._key: value},
            nonce=uuid4().hex,
        )
        self._revision = await self._store.commit(transaction)

    async def _update(self) -> None:
        now = self._clock.monotonic()
        self._request_event.clear()
        unresponsive = {
            worker.worker: RecordedLease(
                worker.started_at_ms, worker.timely_lease_end, worker.lease_end
            )
            for worker in self._state.workers.values()
            if self._needs_record(worker, now)
        }
        late = self._make_late_start_records(now)
        is_changed = self._is_changed(unresponsive)
        if self._is_write_confirmed and not is_changed:
            if not self._needs_late_starts_write(late):
                return
        late = {
            name: replace(record, end=record.end + LATE_STARTS_MARGIN_SECONDS)
            for name, record in late.items()
        }
        # Until the write is confirmed, the former and the new leases all count as
        # recorded: the write may take effect, even late, although its response is lost
        # or reports a failure.
        self._is_write_confirmed = False
        self._state.set_recorded_leases(self._state.recorded_leases | unresponsive)
        await self._write(unresponsive, late)
        self._stored = unresponsive
        self._stored_late = late
        self._is_write_confirmed = True
        self._state.set_recorded_leases(unresponsive)
        if not is_changed:
            return
        self._log.write(
            "silent_workers_recorded",
            pool=self._state.pool,
            workers=sorted(unresponsive),
            expire_in=[
                round(unresponsive[worker].latest_expiry - now, 1)
                for worker in sorted(unresponsive)
            ],
        )

    def _needs_late_starts_write(self, late: dict[WorkerId, LateStartRecord]) -> bool:
        """Return whether the row lacks starts or has those of an ended worker.

        Args:
            late: Starts that workers may execute late.
        """
        if any(name in self._state.ended_workers for name in self._stored_late):
            return True
        return not all(
            self._stored_late.get(name, LateStartRecord()).covers(record)
            for name, record in late.items()
        )

    def _is_changed(self, unresponsive: dict[WorkerId, RecordedLease]) -> bool:
        """Return whether the row lacks a worker, a restart or an extended lease."""
        return unresponsive.keys() != self._stored.keys() or any(
            lease.started_at_ms != self._stored[worker].started_at_ms
            or lease.expires_at > self._stored[worker].expires_at
            or lease.latest_expiry > self._stored[worker].latest_expiry
            for worker, lease in unresponsive.items()
        )

    def _needs_record(self, worker: WorkerView, now: float) -> bool:
        if worker.has_seen_token and not worker.unresponsive_since:
            return False
        if worker.is_lease_recorded:
            return True
        unresponsive_since = worker.unresponsive_since or self._state.owned_since
        return (
            bool(worker.runs) and now - unresponsive_since > UNRESPONSIVE_AFTER_SECONDS
        )
