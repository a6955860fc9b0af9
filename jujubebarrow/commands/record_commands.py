"""Records of the configuration."""

import json
from typing import Any, ClassVar
from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.commands.failures import CommandError, ExitCode
from jujubebarrow.operators.record_documents import (
    Committed,
    RecordDocument,
    RecordList,
)

KIND_ARGUMENT = argument(
    "kind", "One of pools, queues, teams, presets, instances, keys, budgets."
)


def record_path(kind: str, name: str) -> str:
    """Return the path of a record."""
    return f"/v1/records/{quote(kind, safe='')}/{quote(name, safe='')}"


class ListCommand(OperatorCommand):
    """Lists the records of a kind."""

    name = "list"
    description = "List records."
    arguments = [KIND_ARGUMENT]

    def run_with(self, client: OperatorClient) -> None:
        """Print all records of a kind."""
        kind = self.argument("kind")
        found = client.get(f"/v1/records/{quote(kind, safe='')}", RecordList)
        fields = list(found.records[0].value) if found.records else []
        rows = [
            [item.name, item.revision, *(item.value.get(f, "") for f in fields)]
            for item in found.records
        ]
        self.show(found, ["name", "revision", *fields], rows)


class ShowCommand(OperatorCommand):
    """Shows one record."""

    name = "show"
    description = "Show one record."
    arguments = [KIND_ARGUMENT, argument("record", "Name.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print a record, a field a line."""
        path = record_path(self.argument("kind"), self.argument("record"))
        found = client.get(path, RecordDocument)
        rows = [[field, value] for field, value in found.value.items()]
        self.show(found, ["field", f"value at revision {found.revision}"], rows)


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
        """Write the record at the revision that was read."""
        kind, name = self.argument("kind"), self.argument("record")
        path = record_path(kind, name)
        current = _read_current(client, path)
        value = dict(current.value) if current else {}
        value.update(_parse_field(text) for text in self.argument("fields"))
        revision = current.revision if current else 0
        done = client.change("PUT", path, Committed, value, revision)
        self.tell(done, f"{kind} {name} written at revision {done.revision}")


class DeleteCommand(OperatorCommand):
    """Deletes a record that nothing names."""

    name = "delete"
    description = "Delete a record that nothing names."
    arguments = [KIND_ARGUMENT, argument("record", "Name.")]

    def run_with(self, client: OperatorClient) -> None:
        """Delete the record at the revision that was read."""
        kind, name = self.argument("kind"), self.argument("record")
        path = record_path(kind, name)
        current = client.get(path, RecordDocument)
        done = client.change("DELETE", path, Committed, None, current.revision)
        self.tell(done, f"{kind} {name} deleted at revision {done.revision}")


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
        raise CommandError(ExitCode.USAGE, f"{text}: expected field=value")
    try:
        return field, json.loads(value)
    except ValueError:
        return field, value
