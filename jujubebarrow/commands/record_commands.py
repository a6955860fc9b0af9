"""Commands for configuration records."""

import json
from typing import Any, ClassVar
from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.commands.failures import CommandError, ExitCode
from jujubebarrow.operators.record_documents import (
    CommittedChange,
    RecordDocument,
    RecordList,
)

KIND_ARGUMENT = argument(
    "kind", "One of pools, queues, teams, presets, instances, keys, budgets."
)


def make_record_path(kind: str, name: str) -> str:
    """Return the URL path of a record in the operators' interface."""
    return f"/v1/records/{quote(kind, safe='')}/{quote(name, safe='')}"


class ListCommand(OperatorCommand):
    """Lists the records of a kind."""

    name = "list"
    description = "List records."
    arguments = [KIND_ARGUMENT]

    def run_with(self, client: OperatorClient) -> None:
        """Print all records of a kind."""
        kind = self.argument("kind")
        record_list = client.get(f"/v1/records/{quote(kind, safe='')}", RecordList)
        fields = list(record_list.records[0].value) if record_list.records else []
        rows = [
            [item.name, item.revision, *(item.value.get(field, "") for field in fields)]
            for item in record_list.records
        ]
        self.print_table(record_list, ["name", "revision", *fields], rows)


class ShowCommand(OperatorCommand):
    """Shows one record."""

    name = "show"
    description = "Show one record."
    arguments = [KIND_ARGUMENT, argument("record", "Name.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print a record with one field per line."""
        path = make_record_path(self.argument("kind"), self.argument("record"))
        record = client.get(path, RecordDocument)
        rows = [[field, value] for field, value in record.value.items()]
        self.print_table(
            record, ["field", f"value at revision {record.revision}"], rows
        )


class SetCommand(OperatorCommand):
    """Creates or changes a record."""

    name = "set"
    description = "Create a record or change some of its fields."
    arguments: ClassVar[list[Any]] = [
        KIND_ARGUMENT,
        argument("record", "Name."),
        argument("fields", "field=value, the value in JSON or as text.", multiple=True),
    ]

    def run_with(self, client: OperatorClient) -> None:
        """Write the record, unless its revision has changed since the read."""
        kind, name = self.argument("kind"), self.argument("record")
        path = make_record_path(kind, name)
        current = _read_current(client, path)
        value = dict(current.value) if current else {}
        value.update(_parse_field(text) for text in self.argument("fields"))
        revision = current.revision if current else 0
        committed = client.change("PUT", path, CommittedChange, value, revision)
        self.print_result(
            committed, f"{kind} {name} written at revision {committed.revision}"
        )


class DeleteCommand(OperatorCommand):
    """Deletes a record that no other record names."""

    name = "delete"
    description = "Delete a record that nothing names."
    arguments = [KIND_ARGUMENT, argument("record", "Name.")]

    def run_with(self, client: OperatorClient) -> None:
        """Delete the record, unless its revision has changed since the read."""
        kind, name = self.argument("kind"), self.argument("record")
        path = make_record_path(kind, name)
        current = client.get(path, RecordDocument)
        committed = client.change(
            "DELETE", path, CommittedChange, None, current.revision
        )
        self.print_result(
            committed, f"{kind} {name} deleted at revision {committed.revision}"
        )


def _read_current(client: OperatorClient, path: str) -> RecordDocument | None:
    try:
        return client.get(path, RecordDocument)
    except CommandError as error:
        if error.code is ExitCode.REFUSED and "no such resource" in str(error):
            return None
        raise


def _parse_field(text: str) -> tuple[str, Any]:
    field, equals, value = text.partition("=")
    if not equals:
        raise CommandError(
            ExitCode.USAGE, f"invalid field {text}: expected field=value"
        )
    try:
        return field, json.loads(value)
    except ValueError:
        return field, value
