"""Decoders of the documents that the operator and the workers write to the store."""

from typing import Any, TypeVar

from msgspec import Struct, convert, field

from jujubebarrow.fleets.advice_options import AdviceOptions
from jujubebarrow.fleets.fleet_maps import FleetMap, index_routes
from jujubebarrow.fleets.pool_specs import PoolSpec
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.fleets.team_specs import TeamSpec
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.identifiers import PoolId, QueueId, TeamId, ZoneId
from jujubebarrow.key_digests import digest_key
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.decode_errors import DECODE_ERRORS
from jujubebarrow.platform.wire_addresses import is_address
from jujubebarrow.platform.wire_numbers import WireDurationMs, WireTimestampMs
from jujubebarrow.platform.wire_resources import WireResources
from jujubebarrow.runtimes.document_readers import DocumentReader
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.rows import Row
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry, WorkerState

OPERATOR_TABLE = "op"
WORKER_TABLE = "servers"
STATUS_TABLE = "status"
CONFIG_NAME = "config"
WAVE_PREFIX = "wave/"

Wire = TypeVar("Wire")


class WireAdvice(Struct, rename="pascal"):
    """Timing of the placement advice for a queue, in milliseconds."""

    # Response time of the advice service for a request without workers.
    decide_ms: float = 0.0
    # Additional response time for each worker in the request.
    each_ms: float = 0.0
    # Validity of a ticket.
    valid_ms: float = 0.0


class WireRoute(Struct, rename="pascal"):
    """Configuration of a queue, which the platform calls a route."""

    name: str
    host: str
    prefix: str
    # Name of the pool that runs the queue's tasks, not an address.
    backend: str
    # Longest time until a caller gets a response.
    timeout_ms: float = 0.0
    # Time allowed in addition to the duration of a job's work; does not limit the
    # response time.
    slo_ms: float = 0.0
    # Priority of the queue; 0 is the highest.
    priority: int = 0
    # Failed runs of one task after which its job fails; does not limit repeated
    # requests.
    max_attempts: int = 1
    # Factor that a job's objective applies to the longest chain of work.
    stretch: float = 1.0
    # Accepts callers without an API key.
    public: bool = False
    advice: WireAdvice | None = None


class WireService(Struct, rename="pascal"):
    """Configuration of a pool, which the platform calls a service."""

    name: str
    health_path: str = ""
    # Workers refuse tasks that exceed their capacity.
    enforce_capacity: bool = False
    # The machines of the pool are powered off and cause no cost.
    standby: bool = False


class WireTenant(Struct, rename="pascal"):
    """Configuration of a team, which the platform calls a tenant."""

    name: str
    api_keys: list[str] = []
    weight: float = 1.0
    # Upper limit on the team's resources in all pools together; 0 means no limit.
    maximum: WireResources = field(default_factory=WireResources)


class WireLimits(Struct, rename="pascal"):
    """Limits on the requests of callers."""

    max_body_bytes: int = 0


class WireConfig(Struct, rename="pascal"):
    """Configuration of the fleet."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    tenants: list[WireTenant] = []
    limits: WireLimits = field(default_factory=WireLimits)


class WireWave(Struct, rename="pascal"):
    """Request for a maintenance wave."""

    wave: int
    machines: list[str]
    # Time within which the maintenance of every machine must begin.
    duration_s: float
    # Limit on the machines that the wave takes down at a time.
    maximum: int


class WireWorker(Struct, rename="pascal"):
    """Registration of a worker."""

    # Name of the worker's pool.
    backend: str
    address: str
    zone: str
    # "ready" or "draining"; a registration with another value is ignored.
    state: str
    capacity: WireResources
    # Hardware kind and rack.
    labels: list[str] = []
    # Minimum time until a draining worker shuts down.
    remaining_ms: WireDurationMs = 0.0
    # Remaining time during which a newly started worker runs slower.
    cold_left_ms: WireDurationMs = 0.0
    machine: str = ""
    # Start time of the worker process in Unix milliseconds.
    born: WireTimestampMs = field(default=0, name="born")


class PlatformDocuments(DocumentReader):
    """Decodes documents in the platform's format.

    Args:
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(self, log: DecisionLog, metrics: MetricsRegistry):
        self._log = log
        self._metrics = metrics

    @property
    def operator_table(self) -> str:
        """Name of the table with the operator's documents."""
        return OPERATOR_TABLE

    @property
    def worker_table(self) -> str:
        """Name of the table with the workers' registrations."""
        return WORKER_TABLE

    def is_fleet(self, row: Row) -> bool:
        """Return whether a row holds the configuration of the fleet."""
        return RowKey.parse(row.key).name == CONFIG_NAME and row.value is not None

    def read_fleet(self, row: Row) -> FleetMap | None:
        """Return the decoded configuration.

        Counts and logs a row that cannot be decoded, and returns None for that row.
        """
        wire = self._convert(row, WireConfig)
        return _make_fleet(wire) if wire is not None else None

    def read_wave(self, row: Row) -> WaveRequest | None:
        """Return the decoded request for a maintenance wave.

        Returns None for a row of another kind. Counts and logs a row that cannot be
        decoded, and returns None for that row.
        """
        if not RowKey.parse(row.key).name.startswith(WAVE_PREFIX) or row.value is None:
            return None
        wire = self._convert(row, WireWave)
        if wire is None:
            return None
        return WaveRequest(
            wave=wire.wave,
            machines=tuple(MachineId(name) for name in wire.machines),
            duration=wire.duration_s,
            max_concurrent=wire.maximum,
        )

    def parse_worker_id(self, row: Row) -> WorkerId:
        """Return the id of the worker that a registration row describes."""
        return WorkerId(RowKey.parse(row.key).name)

    def read_worker(self, row: Row) -> WorkerEntry | None:
        """Return the decoded registration of a worker.

        Counts and logs a row that cannot be decoded, and counts a registration with
        an unknown state or an invalid address. Returns None for such a row.
        """
        wire = self._convert(row, WireWorker)
        if wire is None:
            return None
        if not is_address(wire.address):
            self._metrics.count("row_unreadable", "worker address")
            return None
        try:
            state = WorkerState(wire.state)
        except ValueError:
            self._metrics.count("row_unreadable", "worker state")
            return None
        return WorkerEntry(
            worker=self.parse_worker_id(row),
            started_at_ms=wire.born,
            pool=PoolId(wire.backend),
            address=wire.address,
            zone=ZoneId(wire.zone),
            state=state,
            capacity=wire.capacity.to_resources(),
            labels=tuple(wire.labels),
            remaining=wire.remaining_ms / 1000,
            warm_up=wire.cold_left_ms / 1000,
            machine=MachineId(wire.machine),
        )

    def make_wave_status(
        self, wave: int, is_completed: bool
    ) -> tuple[str, dict[str, Any]]:
        """Return the row key and the status document of a maintenance wave."""
        key = str(RowKey(STATUS_TABLE, "", f"{WAVE_PREFIX}{wave}"))
        return key, {"Wave": wave, "State": "completed" if is_completed else "running"}

    def _convert(self, row: Row, wire_type: type[Wire]) -> Wire | None:
        try:
            return convert(row.value, wire_type)
        except DECODE_ERRORS as error:
            self._metrics.count("row_unreadable", RowKey.parse(row.key).table)
            self._log.write("row_unreadable", key=row.key, detail=str(error))
            return None


def _make_fleet(wire: WireConfig) -> FleetMap:
    routes = [_make_route(route) for route in wire.routes]
    return FleetMap(
        version=wire.version,
        routes=index_routes(routes),
        queues={route.queue: route for route in routes},
        pools={
            PoolId(service.name): PoolSpec(
                pool=PoolId(service.name),
                is_standby=service.standby,
                enforces_capacity=service.enforce_capacity,
                health_path=service.health_path,
            )
            for service in wire.services
        },
        teams={
            TeamId(tenant.name): TeamSpec(
                team=TeamId(tenant.name),
                weight=tenant.weight,
                limit=tenant.maximum.to_resources(),
            )
            for tenant in wire.tenants
        },
        keys={
            digest_key(key): TeamId(tenant.name)
            for tenant in wire.tenants
            for key in tenant.api_keys
        },
        body_limit=wire.limits.max_body_bytes,
    )


def _make_route(wire: WireRoute) -> QueueRoute:
    advice = None
    if wire.advice is not None:
        advice = AdviceOptions(
            wire.advice.decide_ms / 1000,
            wire.advice.each_ms / 1000,
            wire.advice.valid_ms / 1000,
        )
    return QueueRoute(
        queue=QueueId(wire.name),
        host=wire.host,
        prefix=wire.prefix,
        pool=PoolId(wire.backend),
        is_open=wire.public,
        target=wire.slo_ms / 1000,
        stretch=wire.stretch,
        attempts=wire.max_attempts,
        priority=wire.priority,
        timeout=wire.timeout_ms / 1000,
        advice=advice,
    )
