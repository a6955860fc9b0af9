"""What the callers' handlers need."""

from collections.abc import Callable
from dataclasses import dataclass

from jujubebarrow.callers.authenticators import Authenticator
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_accesses import JobAccess
from jujubebarrow.services.request_services import RequestService
from jujubebarrow.settings.settings import Settings


@dataclass(frozen=True, slots=True)
class CallerContext:
    """Services behind the callers' interface."""

    settings: Settings
    clock: Clock
    metrics: MetricsRegistry
    authenticator: Authenticator
    requests: RequestService
    jobs: JobAccess
    is_ready: Callable[[], bool]
    is_stopping: Callable[[], bool]
