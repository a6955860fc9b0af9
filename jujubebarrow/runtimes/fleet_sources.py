"""Interface to the configuration of the fleet, wherever it is kept."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.fleets.wave_requests import WaveRequest


class FleetSource(ABC):
    """Keeps the newest configuration and how old the knowledge of it is."""

    @property
    @abstractmethod
    def fleet(self) -> FleetMap | None:
        """Configuration in force; None before the first."""

    @property
    @abstractmethod
    def waves(self) -> dict[str, WaveRequest]:
        """Requests for maintenance that the owners of pools carry out."""

    @property
    @abstractmethod
    def age(self) -> float:
        """Seconds since the question whose answer confirmed the configuration."""

    @property
    @abstractmethod
    def is_fresh(self) -> bool:
        """Whether calls with a key may be taken."""

    @abstractmethod
    def listen(self, listener: Callable[[FleetMap], None]) -> None:
        """Have a function called with each new configuration."""

    @abstractmethod
    def open(self) -> None:
        """Start to follow the configuration."""

    @abstractmethod
    async def close(self) -> None:
        """Stop to follow it."""
