"""Interface to the workers."""

from abc import ABC, abstractmethod

from jujubebarrow.coordinators.order_results import OrderResult
from jujubebarrow.coordinators.orders import (
    HoldOrder,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from jujubebarrow.errors.exceptions import JujubebarrowError
from jujubebarrow.workloads.worker_reports import HoldReport


class WorkerSilentError(JujubebarrowError):
    """A worker gave no answer that can be used."""


class WorkerFencedError(JujubebarrowError):
    """A worker has seen a higher fencing token."""


class WorkerGateway(ABC):
    """Sends orders to workers; one call is one attempt."""

    @abstractmethod
    async def start(self, order: StartOrder) -> OrderResult:
        """Start a run."""

    @abstractmethod
    async def stop(self, order: StopOrder) -> OrderResult:
        """Stop a run."""

    @abstractmethod
    async def pace(self, order: PaceOrder) -> OrderResult:
        """Set the share of its speed at which a run works."""

    @abstractmethod
    async def hold(self, order: HoldOrder) -> HoldReport:
        """Extend the lease and return the lists of runs and ends.

        Raises:
            WorkerSilentError: No usable answer.
            WorkerFencedError: Another owner has taken over.
        """
