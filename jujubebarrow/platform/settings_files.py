"""The platform's settings file."""

from dataclasses import dataclass
from pathlib import Path

from jujubebarrow.errors.exceptions import SettingsError
from jujubebarrow.identifiers import InstanceId, ZoneId

PATH_VARIABLE = "JUJUBEBARROW_CONFIG"
DEFAULT_PATH = "/etc/jujubebarrow/settings.conf"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """What the platform tells a process; times in seconds.

    Attributes:
        instance: Name of the machine.
        zone: Availability zone.
        caller_address: IP and port for callers.
        ready_address: IP and port for the platform's readiness probe.
        store_address: IP and port of the store.
        machine_address: IP and port of the machine service; empty if none.
        advice_address: IP and port of the placement advice; empty if none.
        inner_address: IP and port for calls between instances.
        metrics_port: Port on which the process serves its metrics.
        heartbeat: Time between two heartbeats of a worker.
        longest_lease: Longest lease that a worker grants.
        stop_grace: Longest time that a worker takes to stop a run.
        early_start: How much earlier than its time an occurrence may start.
        revoke: Time after which a withdrawn key must not work.
        grace: Time between SIGTERM and SIGKILL.
        retention: How long the outcome of a job must be shown.
        machine_lease: Time after an order for a machine before another holder
            may give one.
        downtime: Time that a machine is down for maintenance.
        pace_delay: Time until a changed pace shows.
        harm: Time for which a task may be over its target because of others.
        notice: Time during which a task that was away counts as unavailable.
    """

    instance: InstanceId
    zone: ZoneId
    caller_address: str
    ready_address: str
    store_address: str
    machine_address: str
    advice_address: str
    inner_address: str
    metrics_port: int
    heartbeat: float
    longest_lease: float
    stop_grace: float
    early_start: float
    revoke: float
    grace: float
    retention: float
    machine_lease: float
    downtime: float
    pace_delay: float
    harm: float
    notice: float


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and check the platform's settings file.

    Raises:
        SettingsError: With one sentence for each fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error.strerror}"]) from error
    return _Fields(text).to_settings()


class _Fields:
    """Lines of the form name=value; unknown names are ignored."""

    def __init__(self, text: str):
        self._values: dict[str, str] = {}
        self._faults: list[str] = []
        for line in text.splitlines():
            name, found, value = line.partition("=")
            if found:
                self._values[name.strip()] = value.strip()

    def _text(self, name: str, default: str | None = None) -> str:
        value = self._values.get(name, "")
        if value:
            return value
        if default is None:
            self._faults.append(f"{name}: is missing")
            return ""
        return default

    def _number(self, name: str, default: float, scale: float = 1.0) -> float:
        text = self._values.get(name, "")
        if not text:
            return default
        try:
            value = float(text) * scale
        except ValueError:
            self._faults.append(f"{name}: {text!r} is not a number")
            return default
        if value < 0:
            self._faults.append(f"{name}: {text!r} is negative")
        return value

    def _milliseconds(self, name: str, default: float) -> float:
        return self._number(name, default, 1e-3)

    def _port(self, name: str) -> int:
        text = self._text(name, "0,0").split(",")[0]
        if not text.isdigit():
            self._faults.append(f"{name}: {text!r} is not a port")
            return 0
        return int(text)

    def to_settings(self) -> PlatformSettings:
        """Return the checked settings.

        Raises:
            SettingsError: With one sentence for each fault.
        """
        settings = PlatformSettings(
            instance=InstanceId(self._text("NodeName")),
            zone=ZoneId(self._text("Zone", "")),
            caller_address=self._text("ListenAddrs.FrontAddr"),
            ready_address=self._text("ListenAddrs.ReadyAddr"),
            store_address=self._text("platform.Address"),
            machine_address=self._text("CloudApi.Address", ""),
            advice_address=self._text("Advice", ""),
            inner_address=f"{self._text('Ip')}:{self._port('PortRange') + 1}",
            metrics_port=self._port("PortRange"),
            heartbeat=self._milliseconds("HeartbeatMs", 1.5),
            longest_lease=self._milliseconds("Bounds.HoldMaxMs", 6.0),
            stop_grace=self._milliseconds("Bounds.StopGraceMs", 0.4),
            early_start=self._milliseconds("Bounds.early_ms", 0.0),
            revoke=self._milliseconds("Bounds.RevokeMs", 5.0),
            grace=self._number("Bounds.GraceS", 6.0),
            retention=self._number("Bounds.status_s", 120.0),
            machine_lease=self._milliseconds("Bounds.LeaseMs", 3.0),
            downtime=self._number("Bounds.UpkeepS", 2.0),
            pace_delay=self._milliseconds("Bounds.PaceMs", 0.1),
            harm=self._milliseconds("Bounds.HarmMs", 4.0),
            notice=self._milliseconds("Bounds.NoticeMs", 4.5),
        )
        if self._faults:
            raise SettingsError(self._faults)
        return settings
