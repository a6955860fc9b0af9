"""Reads and writes the progress of maintenance waves in the store."""

from dataclasses import dataclass
from uuid import uuid4

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.maintenance.wave_records import MachineMaintenance, WaveRecord
from jujubebarrow.runtimes.wave_reporters import WaveReporter
from jujubebarrow.stores.row_errors import ROW_ERRORS
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction


@dataclass(slots=True)
class StoredWave:
    """Progress of a wave as last read or written.

    Attributes:
        record: State of each machine, and the time at which the wave was first seen.
        revision: Revision of the row; 0 if the row does not exist.
        deadline: Monotonic time in seconds by which the maintenance of every machine
            must have begun.
    """

    record: WaveRecord
    revision: int
    deadline: float


class WaveStore:
    """Reads and writes the progress of waves.

    Args:
        store: Store shared by all instances.
        reporter: Creates the document that shows a wave's status to operators.
        clock: Time source.
    """

    def __init__(self, store: Store, reporter: WaveReporter, clock: Clock):
        self._store = store
        self._reporter = reporter
        self._clock = clock
        self._store_clock = StoreClock(clock)

    async def read(self, wave: WaveRequest) -> StoredWave:
        """Return a wave's progress; the first read of a wave stores its row.

        Raises:
            StoreError: The read failed, or whether the row was stored is unknown.
            TransactionConflictError: Another owner has stored the row first.
        """
        key = make_key(TableName.WAVES, "", str(wave.wave))
        sent_at = self._clock.monotonic()
        found = await self._store.read(key)
        self._store_clock.record_store_time(sent_at, found.clock)
        for row in found.rows:
            if row.key == key and row.value:
                record = _decode_record(row)
                first_seen_at = self._store_clock.to_local_time(record.first_seen_at)
                return StoredWave(record, row.revision, first_seen_at + wave.duration)
        machines = {name: MachineMaintenance() for name in wave.machines}
        record = WaveRecord(machines, self._store_clock.to_store_time(sent_at))
        stored = StoredWave(record, ABSENT_REVISION, sent_at + wave.duration)
        await self.write(wave, stored, record)
        return stored

    async def write(
        self, wave: WaveRequest, stored: StoredWave, record: WaveRecord
    ) -> int:
        """Store a wave's progress and its status for operators; return the revision.

        Args:
            wave: Request that the progress belongs to.
            stored: Progress as last read or written; updated by the call.
            record: New progress.

        Raises:
            StoreError: Whether the progress was stored is unknown.
            TransactionConflictError: Another owner has changed the row meanwhile.
        """
        key = make_key(TableName.WAVES, "", str(wave.wave))
        status_key, status = self._reporter.make_wave_status(
            wave.wave, record.is_completed
        )
        transaction = Transaction(
            conditions={key: stored.revision},
            writes={key: record.to_document(), status_key: status},
            nonce=uuid4().hex,
        )
        stored.revision = await self._store.commit(transaction)
        stored.record = record
        return stored.revision


def _decode_record(row: Row) -> WaveRecord:
    try:
        return WaveRecord.from_document(row.value or {})
    except ROW_ERRORS as error:
        raise StoreError(f"unreadable wave {row.key}: {error!r}", False) from error
