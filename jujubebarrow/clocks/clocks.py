"""Interface of the time source."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Time source for decisions; simulations and tests use a manual clock."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; the value never decreases."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch, synchronised between hosts."""
