"""Converts the operators' records to the configuration of the job core."""

from asyncio import sleep
from collections.abc import Callable

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.fleets.pool_specs import PoolSpec
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.fleets.team_specs import TeamSpec
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.identifiers import PoolId, QueueId, TeamId
from jujubebarrow.runtimes.fleet_sources import FleetSource
from jujubebarrow.services.configuration_services import ConfigurationService
from jujubebarrow.workloads.resources import Resources

CHECK_PERIOD_SECONDS = 0.2
"""Time between two checks whether the configuration has changed."""
JOB_PRIORITIES = {Priority.INTERACTIVE: 0, Priority.OVERNIGHT: 1}
"""Priority in the job core by priority of the queue's record; 0 is the highest."""


class ConfiguredFleet(BackgroundLoop, FleetSource):
    """Rebuilds the job core's configuration after each change of the records.

    The control service maintains and moves the configured instances. Pool owners
    therefore never receive maintenance waves from this source.

    Args:
        configuration: Records in force in this process.
        configuration_service: Service that bounds the age of the configuration.
        attempts: Number of failed runs of a task after which the task's job fails.
    """

    def __init__(
        self,
        configuration: Configuration,
        configuration_service: ConfigurationService,
        attempts: int,
    ):
        super().__init__()
        self._configuration = configuration
        self._configuration_service = configuration_service
        self._attempts = attempts
        self._fleet: FleetMap | None = None
        self._listeners: list[Callable[[FleetMap], None]] = []

    @property
    def fleet(self) -> FleetMap | None:
        """Job core's configuration in force; None until records have been read."""
        return self._fleet

    @property
    def waves(self) -> dict[str, WaveRequest]:
        """Requests for maintenance waves; always empty."""
        return {}

    @property
    def age(self) -> float:
        """Upper bound of the configuration's age in seconds."""
        return self._configuration_service.age

    @property
    def is_fresh(self) -> bool:
        """Whether the configuration is recent enough to accept calls with a key."""
        return self._configuration_service.is_fresh()

    def add_listener(self, listener: Callable[[FleetMap], None]) -> None:
        """Call a function with each new configuration from now on."""
        self._listeners.append(listener)

    async def _run(self) -> None:
        while True:
            self.refresh()
            await sleep(CHECK_PERIOD_SECONDS)

    def refresh(self) -> None:
        """Rebuild the configuration and call the listeners if records have changed."""
        revision = self._configuration.revision
        if not revision or (self._fleet and self._fleet.version == revision):
            return
        self._fleet = self._build(revision)
        for listener in self._listeners:
            listener(self._fleet)

    def _build(self, revision: int) -> FleetMap:
        configuration = self._configuration
        queues = {}
        for name in configuration.list_names(RecordKind.QUEUE):
            queue = configuration.queue(name)
            if queue is not None:
                queues[QueueId(name)] = self._make_route(name, queue)
        pools = {
            PoolId(name): PoolSpec(pool=PoolId(name))
            for name in configuration.list_names(RecordKind.POOL)
        }
        teams = {}
        for name in configuration.list_names(RecordKind.TEAM):
            team = configuration.team(name)
            if team is not None:
                limit = Resources(cpu=1000 * team.job_cores)
                spec = TeamSpec(team=TeamId(name), weight=team.share, limit=limit)
                teams[spec.team] = spec
        return FleetMap(
            version=revision, routes={}, queues=queues, pools=pools, teams=teams
        )

    def _make_route(self, name: str, queue: Queue) -> QueueRoute:
        return QueueRoute(
            queue=QueueId(name),
            host="",
            prefix="",
            pool=PoolId(queue.pool),
            is_open=queue.open,
            target=queue.job_target,
            stretch=queue.job_stretch,
            attempts=self._attempts,
            priority=JOB_PRIORITIES[queue.priority],
        )
