"""Interface to the workers."""

from abc import ABC, abstractmethod

from jujubebarrow.coordinators.order_results import OrderResult
from jujubebarrow.coordinators.orders import (
    RenewalOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from jujubebarrow.errors.exceptions import JujubebarrowError
from jujubebarrow.workloads.worker_reports import RenewalReport


class WorkerSilentError(JujubebarrowError):
    """A worker gave no usable response."""


class WorkerFencedError(JujubebarrowError):
    """A worker has rejected an order: it has seen a higher fencing token."""


class WorkerGateway(ABC):
    """Sends orders to workers; each call makes one attempt."""

    @abstractmethod
    async def start(self, order: StartOrder) -> OrderResult:
        """Order a worker to start a run."""

    @abstractmethod
    async def stop(self, order: StopOrder) -> OrderResult:
        """Order a worker to stop a run."""

    @abstractmethod
    async def throttle(self, order: ThrottleOrder) -> OrderResult:
        """Order a worker to throttle a run to a percentage of its full speed."""

    @abstractmethod
    async def renew_lease(self, order: RenewalOrder) -> RenewalReport:
        """Renew the lease; return the lists of unfinished and finished runs.

        Raises:
            WorkerSilentError: The worker gave no usable response.
            WorkerFencedError: Another owner has taken over the pool.
        """
