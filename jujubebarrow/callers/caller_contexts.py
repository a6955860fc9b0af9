"""Services that the handlers of the callers' interface use."""

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
    """Services that the handlers of the callers' interface use.

    Attributes:
        settings: Settings with limits and default deadlines.
        clock: Time source.
        metrics: Registry of the counters and latencies.
        authenticator: Authenticator of callers.
        requests: Service that runs requests.
        jobs: Access to jobs and their queues.
        is_ready: Returns whether this instance accepts requests.
        is_stopping: Returns whether this instance is shutting down.
    """

    settings: Settings
    clock: Clock
    metrics: MetricsRegistry
    authenticator: Authenticator
    requests: RequestService
    jobs: JobAccess
    is_ready: Callable[[], bool]
    is_stopping: Callable[[], bool]
