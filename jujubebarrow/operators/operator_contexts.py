"""Services that the operators' web handlers use."""

from collections.abc import Callable
from dataclasses import dataclass

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.operators.status_readers import StatusReader
from jujubebarrow.runtimes.job_accesses import JobAccess
from jujubebarrow.services.configuration_services import ConfigurationService
from jujubebarrow.services.explanations import ExplanationLog
from jujubebarrow.services.peer_services import PeerService
from jujubebarrow.settings.settings import Settings
from jujubebarrow.upstreams.upstream_clients import UpstreamClient


@dataclass(frozen=True, slots=True)
class OperatorContext:
    """Services and settings that the operators' web handlers use.

    Attributes:
        settings: Validated settings of the instance.
        clock: Time source.
        metrics: Registry of the counters and latencies.
        configuration: Configuration records in force.
        configuration_service: Service that commits changes of the configuration.
        status_reader: Source of the fleet's status, preset plans and waves.
        peers: Client for requests to other entry instances.
        explanations: Log of this instance's recent decisions.
        jobs: Access to accepted jobs.
        upstreams: Client for commands to the fleet's instances.
        can_write: Returns whether this instance may accept configuration changes.
    """

    settings: Settings
    clock: Clock
    metrics: MetricsRegistry
    configuration: Configuration
    configuration_service: ConfigurationService
    status_reader: StatusReader
    peers: PeerService
    explanations: ExplanationLog
    jobs: JobAccess
    upstreams: UpstreamClient
    can_write: Callable[[], bool]
