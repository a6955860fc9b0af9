"""Interface of the time source."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time for decisions, replaced by a manual one in tests."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds from an arbitrary start that never go back."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch, synchronised between hosts."""
