"""Interface to the configuration of the fleet, independent of its storage."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.fleets.wave_requests import WaveRequest


class FleetSource(ABC):
    """Provides the newest configuration and its freshness.

    Freshness: the time since the configuration was last confirmed to be in force.
    """

    @property
    @abstractmethod
    def fleet(self) -> FleetMap | None:
        """Configuration in force; None before the first one is read."""

    @property
    @abstractmethod
    def waves(self) -> dict[str, WaveRequest]:
        """Maintenance waves requested by the operator, by row key."""

    @property
    @abstractmethod
    def age(self) -> float:
        """Upper bound in seconds of the time since the configuration was confirmed."""

    @property
    @abstractmethod
    def is_fresh(self) -> bool:
        """Whether the configuration is recent enough to accept calls with a key."""

    @abstractmethod
    def add_listener(self, listener: Callable[[FleetMap], None]) -> None:
        """Register a function that is called with each new configuration."""

    @abstractmethod
    def open(self) -> None:
        """Start watching the configuration."""

    @abstractmethod
    async def close(self) -> None:
        """Stop watching the configuration."""
