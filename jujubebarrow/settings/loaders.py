"""Reading and checking of a settings file."""

from pathlib import Path

import jsonc
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from jujubebarrow.errors.exceptions import SettingsError
from jujubebarrow.settings.settings import Settings

SECRET_NAMES = frozenset({"peer_secret"})
SHOWN_CHARACTERS = 60


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: File in JSON with comments.

    Raises:
        SettingsError: With one sentence for each fault.
    """
    try:
        document = jsonc.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error.strerror}"]) from error
    except ValueError as error:
        raise SettingsError([f"{path}: is not JSON with comments: {error}"]) from error
    return check_settings(document)


def check_settings(document: object) -> Settings:
    """Check a settings document as a whole.

    Raises:
        SettingsError: With one sentence for each fault.
    """
    try:
        settings = Settings.model_validate(document)
    except ValidationError as error:
        faults = [_describe(detail) for detail in error.errors()]
        raise SettingsError(faults) from error
    faults = _find_clashes(settings)
    if faults:
        raise SettingsError(faults)
    return settings


def _describe(detail: ErrorDetails) -> str:
    path = ".".join(str(part) for part in detail["loc"]) or "(document)"
    name = str(detail["loc"][0]) if detail["loc"] else ""
    field = Settings.model_fields.get(name)
    if field is None and name:
        return f"{path}: unknown setting"
    shown = "" if name in SECRET_NAMES else f" {_shorten(detail['input'])}"
    unit = f" (unit: {setting_unit(name)})" if field else ""
    return f"{path}:{shown}: {detail['msg']}{unit}"


def _shorten(value: object) -> str:
    text = repr(value)
    if len(text) <= SHOWN_CHARACTERS:
        return text
    return text[:SHOWN_CHARACTERS] + "..."


def setting_unit(name: str) -> str:
    """Return the unit of a setting."""
    extra = Settings.model_fields[name].json_schema_extra
    return str(extra["unit"]) if isinstance(extra, dict) else ""


def _find_clashes(settings: Settings) -> list[str]:
    faults = []
    if settings.loan_period > settings.task_lease:
        faults.append(
            f"loan_period: {settings.loan_period}: must not exceed task_lease "
            f"{settings.task_lease} (unit: s)"
        )
    if settings.deadline_limit + settings.clock_error > settings.task_lease:
        faults.append(
            f"deadline_limit: {settings.deadline_limit}: must leave clock_error "
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
