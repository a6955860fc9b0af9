"""Parser of the platform's settings file."""

from dataclasses import dataclass
from math import inf
from pathlib import Path

from jujubebarrow.errors.exceptions import SettingsError
from jujubebarrow.identifiers import InstanceId, ZoneId

PATH_VARIABLE = "JUJUBEBARROW_CONFIG"
DEFAULT_PATH = "/etc/jujubebarrow/settings.conf"
DEFAULT_CORES = 1.0
"""Processor cores of a machine of which nothing is known."""
DEFAULT_LINK_MBPS = 1000.0
"""Rate of a network link of which nothing is known."""
DEFAULT_ROW_LIMIT_BYTES = 65_536


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Settings that the platform provides to an entry instance; times in seconds.

    Attributes:
        instance: Id of this instance, the name of the machine.
        zone: Availability zone of this instance.
        caller_address: IP and port that accept callers' requests.
        readiness_address: IP and port that accept the platform's readiness probe.
        store_address: IP and port of the store.
        machine_address: IP and port of the machine service; empty if there is none.
        advice_address: IP and port of the placement advice service; empty if there
            is none.
        peer_address: IP and port that accept calls from other instances.
        metrics_port: Port on which the process serves its metrics.
        heartbeat: Interval between two heartbeats of a worker.
        longest_lease: Longest lease that a worker accepts.
        stop_grace: Longest time that a worker takes to stop a run.
        early_start: How long before its scheduled time an occurrence may start.
        key_revocation_delay: Time after which a withdrawn key must be refused.
        termination_grace: Time between SIGTERM and SIGKILL.
        retention: How long the outcome of a finished job must stay readable.
        machine_lease: Time after an order for a machine in which no other lease
            holder may send an order for that machine.
        downtime: Time that a machine is down for maintenance.
        throttle_delay: Time until a throttle change takes effect.
        interference_tolerance: Longest time for which other tasks may push a task
            above its target latency.
        absence_window: Time for which a task counts as unavailable after an
            absence.
        link_mbps: Bandwidth of the machine's network link in Mbit/s.
        row_limit: Largest value of a row of the store, in bytes of base64.
        cores: Processor cores that the process can use; below 1 for a slow core.
    """

    instance: InstanceId
    zone: ZoneId
    caller_address: str
    readiness_address: str
    store_address: str
    machine_address: str
    advice_address: str
    peer_address: str
    metrics_port: int
    heartbeat: float
    longest_lease: float
    stop_grace: float
    early_start: float
    key_revocation_delay: float
    termination_grace: float
    retention: float
    machine_lease: float
    downtime: float
    throttle_delay: float
    interference_tolerance: float
    absence_window: float
    link_mbps: float
    row_limit: int
    cores: float


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and check the platform's settings file.

    Raises:
        SettingsError: The file cannot be read or has invalid values; carries one
            message for each error.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error.strerror}"]) from error
    return _SettingsParser(text).to_settings()


class _SettingsParser:
    """Parses lines of the form name=value and ignores unknown names."""

    def __init__(self, text: str):
        self._values: dict[str, str] = {}
        self._faults: list[str] = []
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self._values[name.strip()] = value.strip()

    def _text(self, name: str, default: str | None = None) -> str:
        value = self._values.get(name, "")
        if value:
            return value
        if default is None:
            self._faults.append(f"{name}: required setting is missing")
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
        if not 0 <= value < inf:
            self._faults.append(f"{name}: {text!r}, expected a number of 0 or more")
        return value

    def _milliseconds(self, name: str, default: float) -> float:
        return self._number(name, default, 1e-3)

    def _port(self, name: str) -> int:
        text = self._text(name, "0,0").split(",")[0]
        if not text.isdigit():
            self._faults.append(f"{name}: {text!r} is not a port number")
            return 0
        return int(text)

    def to_settings(self) -> PlatformSettings:
        """Return the validated settings.

        Raises:
            SettingsError: A setting is missing or invalid; carries one message for
                each error.
        """
        settings = PlatformSettings(
            instance=InstanceId(self._text("NodeName")),
            zone=ZoneId(self._text("Zone", "")),
            caller_address=self._text("ListenAddrs.FrontAddr"),
            readiness_address=self._text("ListenAddrs.ReadyAddr"),
            store_address=self._text("platform.Address"),
            machine_address=self._text("CloudApi.Address", ""),
            advice_address=self._text("Advice", ""),
            peer_address=f"{self._text('Ip')}:{self._port('PortRange') + 1}",
            metrics_port=self._port("PortRange"),
            heartbeat=self._milliseconds("HeartbeatMs", 1.5),
            longest_lease=self._milliseconds("Bounds.HoldMaxMs", 6.0),
            stop_grace=self._milliseconds("Bounds.StopGraceMs", 0.4),
            early_start=self._milliseconds("Bounds.early_ms", 0.0),
            key_revocation_delay=self._milliseconds("Bounds.RevokeMs", 5.0),
            termination_grace=self._number("Bounds.GraceS", 6.0),
            retention=self._number("Bounds.status_s", 120.0),
            machine_lease=self._milliseconds("Bounds.LeaseMs", 3.0),
            downtime=self._number("Bounds.UpkeepS", 2.0),
            throttle_delay=self._milliseconds("Bounds.PaceMs", 0.1),
            interference_tolerance=self._milliseconds("Bounds.HarmMs", 4.0),
            absence_window=self._milliseconds("Bounds.NoticeMs", 4.5),
            link_mbps=self._number("Limits.LinkMbps", DEFAULT_LINK_MBPS)
            or DEFAULT_LINK_MBPS,
            row_limit=int(self._number("platform.RowBytes", DEFAULT_ROW_LIMIT_BYTES))
            or DEFAULT_ROW_LIMIT_BYTES,
            cores=self._number("Limits.CpuShare", DEFAULT_CORES) or DEFAULT_CORES,
        )
        if self._faults:
            raise SettingsError(self._faults)
        return settings
