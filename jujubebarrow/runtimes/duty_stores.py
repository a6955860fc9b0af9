"""Rows with the owners of duties in the store."""

from dataclasses import replace
from typing import Any
from uuid import uuid4

from msgspec import Struct, ValidationError, convert

from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.ownership_rows import DutyId, DutyRow, InstanceRow
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction

DUTY_PREFIX = "duty/"


class _Holder(Struct):
    holder: str
    incarnation: str
    # Revision of the claim; None in the row that the claim has written.
    claimed: int | None = None


class DutyStore:
    """Reads and writes the owners of duties; each write depends on the row's revision.

    Args:
        identity: This instance.
        store: Store shared by all instances.
        metrics: Registry of the counters.
    """

    def __init__(self, identity: InstanceRow, store: Store, metrics: MetricsRegistry):
        self._identity = identity
        self._store = store
        self._metrics = metrics

    async def read(self) -> dict[DutyId, DutyRow]:
        """Return the owners of all duties.

        Raises:
            StoreError: The store does not answer.
        """
        found = await self._store.read(make_key(TableName.CONTROL, "", ""))
        duties = {}
        for row in found.rows:
            name = RowKey.parse(row.key).name
            if row.value is not None and name.startswith(DUTY_PREFIX):
                duty = self._decode(name, row)
                duties[duty.duty] = duty
        return duties

    def _decode(self, name: str, row: Row) -> DutyRow:
        """Decode the owner of a duty; an unreadable row counts as one without owner."""
        duty = DutyId(name.removeprefix(DUTY_PREFIX))
        try:
            holder = convert(row.value, _Holder)
        except ValidationError:
            self._metrics.count("row_unreadable", TableName.CONTROL.value)
            return DutyRow(duty, InstanceId(""), IncarnationId(""), row.revision)
        return DutyRow(
            duty,
            InstanceId(holder.holder),
            IncarnationId(holder.incarnation),
            row.revision,
            holder.claimed,
        )

    async def claim(self, duty: DutyId, row: DutyRow | None) -> DutyRow:
        """Make this instance the owner of a duty.

        Args:
            duty: Id of the duty.
            row: Row as last read; None if there is none.

        Raises:
            StoreError: Whether the claim took effect may be unknown.
            TransactionConflictError: The row has changed since it was read.
        """
        revision = await self._write(
            duty, row.revision if row else ABSENT_REVISION, self._make_holder()
        )
        identity = self._identity
        return DutyRow(duty, identity.instance, identity.incarnation, revision)

    async def confirm(self, row: DutyRow) -> DutyRow:
        """Write the row of an owned duty anew; claims of the former revision fail then.

        Raises:
            StoreError: Whether the row was written may be unknown.
            TransactionConflictError: The row has changed since it was read.
        """
        value = self._make_holder() | {"claimed": row.token}
        revision = await self._write(row.duty, row.revision, value)
        return replace(row, revision=revision, claim_revision=row.token)

    async def release(self, row: DutyRow) -> None:
        """Leave a duty without an owner.

        Raises:
            StoreError: Whether the row was written may be unknown.
            TransactionConflictError: The row has changed since it was read.
        """
        await self._write(row.duty, row.revision, {"holder": "", "incarnation": ""})

    def _make_holder(self) -> dict[str, Any]:
        return {
            "holder": self._identity.instance,
            "incarnation": self._identity.incarnation,
        }

    async def _write(self, duty: DutyId, revision: int, value: dict[str, Any]) -> int:
        key = make_key(TableName.CONTROL, "", DUTY_PREFIX + duty)
        return await self._store.commit(
            Transaction(
                conditions={key: revision}, writes={key: value}, nonce=uuid4().hex
            )
        )
