"""Reads and validates a settings file."""

from pathlib import Path

import jsonc
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from jujubebarrow.errors.exceptions import SettingsError
from jujubebarrow.settings.settings import Settings

SECRET_SETTINGS = frozenset({"peer_secret"})
SHOWN_LENGTH_LIMIT = 60


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Args:
        path: Path of the settings file, which contains JSON with comments.

    Raises:
        SettingsError: The file cannot be read, is not JSON with comments, or has
            invalid settings; carries one message for each fault.
    """
    try:
        document = jsonc.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error.strerror}"]) from error
    except ValueError as error:
        raise SettingsError([f"{path}: is not JSON with comments: {error}"]) from error
    return check_settings(document)


def check_settings(document: object) -> Settings:
    """Validate a settings document, including relations between settings.

    Args:
        document: Parsed content of a settings file.

    Returns:
        Validated settings.

    Raises:
        SettingsError: The settings are invalid; carries one message for each fault.
            Relations are checked only if every setting is valid by itself.
    """
    try:
        settings = Settings.model_validate(document)
    except ValidationError as error:
        faults = [_describe_fault(detail) for detail in error.errors()]
        raise SettingsError(faults) from error
    faults = _find_conflicts(settings)
    if faults:
        raise SettingsError(faults)
    return settings


def _describe_fault(detail: ErrorDetails) -> str:
    path = ".".join(str(part) for part in detail["loc"]) or "(document)"
    name = str(detail["loc"][0]) if detail["loc"] else ""
    field = Settings.model_fields.get(name)
    if field is None and name:
        return f"{path}: unknown setting"
    shown = "" if name in SECRET_SETTINGS else f" {_shorten(detail['input'])}"
    unit = f" (unit: {find_setting_unit(name)})" if field else ""
    return f"{path}:{shown}: {detail['msg']}{unit}"


def _shorten(value: object) -> str:
    text = repr(value)
    if len(text) <= SHOWN_LENGTH_LIMIT:
        return text
    return text[:SHOWN_LENGTH_LIMIT] + "..."


def find_setting_unit(name: str) -> str:
    """Return the unit of a setting, given by name."""
    extra = Settings.model_fields[name].json_schema_extra
    return str(extra["unit"]) if isinstance(extra, dict) else ""


def _find_conflicts(settings: Settings) -> list[str]:
    faults = []
    if settings.loan_period > settings.task_lease:
        faults.append(
            f"loan_period: {settings.loan_period}: must not exceed task_lease "
            f"{settings.task_lease} (unit: s)"
        )
    if settings.deadline_limit + settings.clock_error > settings.task_lease:
        faults.append(
            f"deadline_limit: {settings.deadline_limit}: must be at least clock_error "
            f"below task_lease {settings.task_lease} (unit: s)"
        )
    if settings.default_deadline > settings.deadline_limit:
        faults.append(
            f"default_deadline: {settings.default_deadline}: must not exceed "
            f"deadline_limit {settings.deadline_limit} (unit: s)"
        )
    ports = {settings.caller_port, settings.operator_port, settings.peer_port}
    if len(ports) < 3:
        faults.append("caller_port, operator_port, peer_port: must differ (unit: port)")
    return faults
