"""Validation of records that operators write."""

from pydantic import ValidationError

from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.key_records import Key
from jujubebarrow.configurations.preset_records import Preset
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.configurations.record_bases import Record
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.records import RECORD_TYPES
from jujubebarrow.configurations.selection_records import Selection
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind

WRITABLE_KINDS = frozenset(
    {
        RecordKind.POOL,
        RecordKind.QUEUE,
        RecordKind.TEAM,
        RecordKind.PRESET,
        RecordKind.INSTANCE,
    }
)
"""Kinds that operators write as whole records; other kinds have their own commands."""
PROTECTED_FIELDS = ("pool", "state", "cause", "target", "maintained", "moved")
"""Fields of an instance that operators cannot write; operators change an instance's
state or pool by the drain, resume and move actions."""


def parse_kind(text: str) -> RecordKind:
    """Return the kind of record with a name.

    Raises:
        RefusalError: No kind has the name.
    """
    try:
        return RecordKind(text)
    except ValueError as error:
        raise RefusalError(ErrorKind.NOT_FOUND, f"no records {text}") from error


def parse_record(kind: RecordKind, body: bytes) -> Record:
    """Return the record in a request body.

    Raises:
        RefusalError: Operators cannot write the kind, or the record is invalid; the
            detail names the path of each invalid field.
    """
    if kind not in WRITABLE_KINDS:
        raise RefusalError(ErrorKind.BAD_REQUEST, f"{kind.value} have own commands")
    try:
        return RECORD_TYPES[kind].model_validate_json(body)
    except ValidationError as error:
        faults = [
            f"{'.'.join(str(part) for part in detail['loc'])}: {detail['msg']}"
            for detail in error.errors()
        ]
        raise RefusalError(ErrorKind.BAD_REQUEST, "; ".join(faults)) from error


def check_references(configuration: Configuration, record: Record) -> None:
    """Raise RefusalError if the record names a record that does not exist."""
    match record:
        case Queue(pool=pool, teams=teams):
            _require_records(configuration, RecordKind.POOL, [pool])
            _require_records(configuration, RecordKind.TEAM, teams)
        case Instance(pool=pool):
            _require_records(configuration, RecordKind.POOL, [pool])
        case Preset(sizes=sizes):
            _require_records(configuration, RecordKind.POOL, list(sizes))
        case Key(team=team):
            _require_records(configuration, RecordKind.TEAM, [team])
        case Selection(preset=preset):
            _require_records(configuration, RecordKind.PRESET, [preset])


def _require_records(
    configuration: Configuration, kind: RecordKind, names: list[str]
) -> None:
    for name in names:
        if configuration.row(kind, name) is None:
            raise RefusalError(ErrorKind.BAD_REQUEST, f"{kind.value}: no {name}")


def check_instance_change(old: Instance | None, new: Instance) -> None:
    """Raise RefusalError for a change that would bypass the availability budget.

    Operators change pool and state of an instance only by the drain, resume and move
    actions, which respect the budget.
    """
    if old is None:
        if new.state is not InstanceState.SERVING:
            raise RefusalError(ErrorKind.BAD_REQUEST, "a new instance is serving")
        return
    for field in PROTECTED_FIELDS:
        if getattr(old, field) != getattr(new, field):
            raise RefusalError(
                ErrorKind.BAD_REQUEST, f"{field} changes by drain, resume or move"
            )


def check_unused(configuration: Configuration, kind: RecordKind, name: str) -> None:
    """Raise RefusalError if other records name the record to be deleted."""
    references: list[str] = []
    if kind is RecordKind.POOL:
        references = list(configuration.pool_instances(name))
        references += [
            queue
            for queue in configuration.list_names(RecordKind.QUEUE)
            if (record := configuration.queue(queue)) and record.pool == name
        ]
    elif kind is RecordKind.TEAM:
        references = [
            digest[:12]
            for digest in configuration.list_names(RecordKind.KEY)
            if (record := configuration.key(digest)) and record.team == name
        ]
    elif kind is RecordKind.PRESET and configuration.preset_name == name:
        references = ["the preset in force"]
    if references:
        raise RefusalError(
            ErrorKind.BAD_REQUEST, f"{name} is used by {', '.join(references[:5])}"
        )
