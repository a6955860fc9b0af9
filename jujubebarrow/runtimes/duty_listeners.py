"""Interface to what serves the duties that an instance owns."""

from abc import ABC, abstractmethod

from jujubebarrow.ownerships.ownership_rows import DutyId
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
    def is_able_to_serve(self, duty: DutyId) -> bool:
        """Return whether this instance has and reaches all that a duty needs."""

    @abstractmethod
    def on_peers_changed(self, addresses: list[str]) -> None:
        """Handle the present addresses of the other live instances."""
