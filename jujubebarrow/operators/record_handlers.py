"""Web handlers for configuration records."""

from jujubebarrow.configurations.budget_records import Budget
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.operators.operator_handlers import OperatorHandler
from jujubebarrow.operators.record_checks import (
    WRITABLE_KINDS,
    check_instance_change,
    check_references,
    check_unused,
    parse_kind,
    parse_record,
)
from jujubebarrow.operators.record_documents import RecordDocument, RecordList


class RecordsHandler(OperatorHandler):
    """Lists the records of a kind."""

    def get(self, kind_name: str) -> None:
        """Return all records of a kind."""
        kind = parse_kind(kind_name)
        records = [
            make_record_document(self, kind, name)
            for name in self.context.configuration.list_names(kind)
        ]
        self.send_document(RecordList(records=records))


class RecordHandler(OperatorHandler):
    """Returns, writes and deletes one record."""

    def get(self, kind_name: str, name: str) -> None:
        """Return a record."""
        self.send_document(make_record_document(self, parse_kind(kind_name), name))

    async def put(self, kind_name: str, name: str) -> None:
        """Write a record if its row still has the revision in If-Match."""
        kind = parse_kind(kind_name)
        record = parse_record(kind, self.body)
        configuration = self.context.configuration
        check_references(configuration, record)
        if isinstance(record, Instance):
            check_instance_change(configuration.instance(name), record)
        change = Change(
            writes={(kind, name): record},
            conditions={(kind, name): self._parse_expected_revision()},
            reason=f"{kind.value} {name} written",
            subject=name,
        )
        await self.commit(change)

    async def delete(self, kind_name: str, name: str) -> None:
        """Delete a record that no other record names."""
        kind = parse_kind(kind_name)
        if kind not in WRITABLE_KINDS:
            raise RefusalError(ErrorKind.BAD_REQUEST, f"{kind.value} stay")
        check_unused(self.context.configuration, kind, name)
        change = Change(
            writes={(kind, name): None},
            conditions={(kind, name): self._parse_expected_revision()},
            reason=f"{kind.value} {name} deleted",
            subject=name,
        )
        self._remove_from_budget(change, kind, name)
        await self.commit(change)

    def _remove_from_budget(self, change: Change, kind: RecordKind, name: str) -> None:
        configuration = self.context.configuration
        instance = configuration.instance(name)
        if kind is not RecordKind.INSTANCE or instance is None:
            return
        budget_name = (RecordKind.BUDGET, instance.pool)
        remaining = set(configuration.budget(instance.pool).unavailable) - {name}
        change.writes[budget_name] = Budget(unavailable=sorted(remaining))
        change.conditions[budget_name] = configuration.row_revision(*budget_name)

    def _parse_expected_revision(self) -> int:
        if self.request.headers.get("If-None-Match") == "*":
            return 0
        text = self.request.headers.get("If-Match", "").strip('"')
        if not text.isdigit():
            raise RefusalError(
                ErrorKind.BAD_REQUEST, "If-Match must name the revision that was read"
            )
        return int(text)


def make_record_document(
    handler: OperatorHandler, kind: RecordKind, name: str
) -> RecordDocument:
    """Return the document of a record.

    Raises:
        RefusalError: The record does not exist.
    """
    row = handler.context.configuration.row(kind, name)
    if row is None or row.value is None:
        raise RefusalError(ErrorKind.NOT_FOUND, f"{kind.value} {name}")
    return RecordDocument(
        kind=kind.value, name=name, revision=row.revision, value=row.value
    )
