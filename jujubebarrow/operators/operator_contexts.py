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
from jujubebarrow.upstreams.upstreams import Upstreams


@dataclass(frozen=True, slots=True)
class OperatorContext:
    """Services and settings that the operators' web handlers use.

    Attributes:
        settings: Validated settings of the instance.
        clock: Time source.
        metrics: Registry of the counters and latencies.
        configuration: Configuration records in force.
        configurations: Service that commits changes of the configuration.
        status_reader: Source of the fleet's status, preset plans and waves.
        peers: Client for requests to other entry instances.
        explanations: Log of this instance's recent decisions.
        jobs: Access to accepted jobs.
        upstreams: Client for commands to the fleet's instances.
        may_write: Returns whether this instance may accept configuration changes.
    """

    settings: Settings
    clock: Clock
    metrics: MetricsRegistry
    configuration: Configuration
    configurations: ConfigurationService
    status_reader: StatusReader
    peers: PeerService
    explanations: ExplanationLog
    jobs: JobAccess
    upstreams: Upstreams
    may_write: Callable[[], bool]
