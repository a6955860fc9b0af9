"""Interface to what serves the duties that an instance owns."""

from abc import ABC, abstractmethod

from jujubebarrow.ownerships.ownership_rows import DutyId
from jujubebarrow.ownerships.service_obstacles import ServiceObstacle
from jujubebarrow.workloads.identifiers import FenceToken


class DutyListener(ABC):
    """Receives changes of the duties that this instance owns."""

    @abstractmethod
    async def on_claimed(self, duty: DutyId, token: FenceToken) -> None:
        """Start serving a claimed duty."""

    @abstractmethod
    async def on_lost(self, duty: DutyId) -> None:
        """Stop serving a duty that this instance no longer owns."""

    @abstractmethod
    def is_serving(self, duty: DutyId) -> bool:
        """Return whether this instance is serving a duty."""

    @abstractmethod
    def find_obstacle(self, duty: DutyId) -> ServiceObstacle | None:
        """Return why this instance cannot serve a duty in time; None if it can."""

    @abstractmethod
    def on_peers_changed(self, addresses: list[str]) -> None:
        """Handle the present addresses of the other live instances."""
