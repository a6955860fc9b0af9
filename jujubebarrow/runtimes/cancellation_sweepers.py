"""Deletes old cancellations of jobs that were not stored."""

from asyncio import sleep
from uuid import uuid4

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

RETENTION_SECONDS = 60.0
"""Time for which a cancellation keeps a submission from being stored; several times the
time for which the store may delay a write, and the deadline of a repeated one."""
PERIOD_SECONDS = 15.0
"""Time between two reads of the cancellations, which are few."""
ROWS_PER_TRANSACTION_LIMIT = 50
"""Rows deleted at once; a transaction has 100 entries, a condition and a deletion for
each row."""


class CancellationSweeper:
    """Deletes the cancellations that no late submission can concern any more.

    The age of a row counts from when this process has first read it, so that it does
    not depend on clocks of other instances. A cancellation that is repeated is written
    anew and so gets a new revision.

    Args:
        store: Store shared by all instances.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # Time in seconds at which each revision of a row was first read.
        self._found_at: dict[tuple[str, int], float] = {}

    async def run(self) -> None:
        """Delete old cancellations until cancelled."""
        while True:
            await sleep(PERIOD_SECONDS)
            await self.sweep()

    async def sweep(self) -> None:
        """Read all cancellations and delete the old ones."""
        table = TableName.CANCELLATIONS.value
        revisions: dict[str, int] = {}
        try:
            for partition in await self._store.list_partitions(table):
                prefix = make_key(TableName.CANCELLATIONS, partition, "")
                found = await self._store.read(prefix)
                revisions.update({row.key: row.revision for row in found.rows})
                await self._delete_old({row.key: row.revision for row in found.rows})
        except StoreError as error:
            self._metrics.count("cancellations_unread", str(error)[:40])
            return
        self._found_at = {
            row: at for row, at in self._found_at.items() if row in revisions.items()
        }

    async def _delete_old(self, revisions: dict[str, int]) -> None:
        """Delete the old rows of one partition.

        Args:
            revisions: Revision of each row, by its key.
        """
        now = self._clock.monotonic()
        old = [
            (key, revision)
            for key, revision in revisions.items()
            if now - self._found_at.setdefault((key, revision), now) > RETENTION_SECONDS
        ]
        for start in range(0, len(old), ROWS_PER_TRANSACTION_LIMIT):
            batch = dict(old[start : start + ROWS_PER_TRANSACTION_LIMIT])
            transaction = Transaction(
                conditions=batch, writes=dict.fromkeys(batch), nonce=uuid4().hex
            )
            try:
                await self._store.commit(transaction)
            except TransactionConflictError:
                # A cancellation was repeated, or another instance has deleted it.
                self._metrics.count("cancellations_changed")
                continue
            self._log.write("cancellations_deleted", rows=len(batch))
