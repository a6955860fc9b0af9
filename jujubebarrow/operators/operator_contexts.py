"""What the operators' handlers need."""

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
    """Services behind the operators' interface."""

    settings: Settings
    clock: Clock
    metrics: MetricsRegistry
    configuration: Configuration
    configurations: ConfigurationService
    status: StatusReader
    peers: PeerService
    explanations: ExplanationLog
    jobs: JobAccess
    upstreams: Upstreams
    may_write: Callable[[], bool]
