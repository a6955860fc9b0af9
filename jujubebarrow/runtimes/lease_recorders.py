"""Puts on record when the leases on silent workers end.

Answers owners that follow one another while a worker is away: without a record each
of them would wait anew for the longest lease that a former one may have given.
"""

from asyncio import sleep
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.recorded_leases import (
    RecordedLease,
    decode_leases,
    encode_leases,
)
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.progress_writers import DisplacedError
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT, Transaction
from jujubebarrow.workloads.identifiers import WorkerId

PERIOD = 0.25
"""Seconds between two looks; a worker that returns waits that long for a lease."""
SILENT_AFTER = 0.8
"""Seconds without an answer from which a lease is put on record; single answers are
lost on workers that are well."""
TOKEN = "token"
LEASES = "leases"


class LeaseRecorder:
    """Keeps the row of a pool that holds the leases on its silent workers.

    The row holds the owner's token, so an owner that was displaced changes it no
    more. A worker on record gets no lease before its entry is gone.

    Args:
        state: State of the pool.
        store: Store.
        on_displaced: Called when another instance owns the pool.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        state: PoolState,
        store: Store,
        on_displaced: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._state = state
        self._store = store
        self._on_displaced = on_displaced
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._key = make_key(TableName.LEASES, state.pool, "lease")
        self._revision = ABSENT
        self._store_clock = StoreClock(clock)
        self._stored: dict[WorkerId, RecordedLease] = {}
        self._is_certain = True

    async def load(self) -> None:
        """Take the row over before any lease is given.

        Raises:
            DisplacedError: A later owner has the row.
            StoreError: Unknown.
        """
        while True:
            await self._read()
            try:
                await self._write(self._stored)
            except TransactionConflictError:
                self._metrics.count("retry", "leases")
                continue
            self._state.note_recorded_leases(self._stored)
            return

    async def run(self) -> None:
        """Record and remove leases until cancelled."""
        while True:
            try:
                await self._update()
            except StoreError as error:
                self._metrics.count("retry", "leases")
                self._metrics.count("store_unanswered", str(error)[:40])
            except TransactionConflictError:
                # A write whose answer was lost has taken effect, or the pool is
                # another instance's.
                await self._reread()
            except DisplacedError:
                self._on_displaced()
                return
            await sleep(PERIOD)

    async def _read(self) -> None:
        sent_at = self._clock.monotonic()
        found = await self._store.read(self._key)
        self._store_clock.note(sent_at, found.clock)
        row = next((row for row in found.rows if row.key == self._key), None)
        document = (row.value or {}) if row is not None else {}
        if document.get(TOKEN, 0) > self._state.token:
            raise DisplacedError
        self._revision = row.revision if row is not None else ABSENT
        self._stored = decode_leases(document.get(LEASES, {}), self._store_clock)

    async def _reread(self) -> None:
        try:
            await self._read()
        except DisplacedError:
            self._on_displaced()
        except StoreError as error:
            self._metrics.count("store_unanswered", str(error)[:40])

    async def _write(self, leases: dict[WorkerId, RecordedLease]) -> None:
        value: dict[str, Any] = {
            TOKEN: self._state.token,
            LEASES: encode_leases(leases, self._store_clock),
        }
        transaction = Transaction(
            conditions={self._key: self._revision},
            writes={self._key: value},
            nonce=uuid4().hex,
        )
        self._revision = await self._store.commit(transaction)

    async def _update(self) -> None:
        now = self._clock.monotonic()
        silent = {
            worker.worker: RecordedLease(worker.born, worker.lease_end)
            for worker in self._state.workers.values()
            if self._is_silent(worker, now)
        }
        if self._is_certain and silent.keys() == self._stored.keys():
            return
        # The write may take effect whatever its answer, also late.
        self._is_certain = False
        self._state.note_recorded_leases(self._state.recorded_leases | silent)
        await self._write(silent)
        self._stored = silent
        self._is_certain = True
        self._state.note_recorded_leases(silent)
        self._log.write(
            "silent_workers_recorded", pool=self._state.pool, workers=sorted(silent)
        )

    def _is_silent(self, worker: WorkerLedger, now: float) -> bool:
        if worker.is_contacted and not worker.failed_since:
            return False
        if worker.is_lease_recorded:
            return True
        since = worker.failed_since or self._state.taken_at
        return bool(worker.runs) and now - since > SILENT_AFTER
