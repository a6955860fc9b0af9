"""Amounts of processor, memory and accelerators."""

from typing import NamedTuple


class Resources(NamedTuple):
    """Amount of each resource.

    Attributes:
        cpu: Processor capacity in thousandths of a core.
        memory: Memory in MiB.
        gpus: Number of accelerators.
    """

    cpu: int = 0
    memory: int = 0
    gpus: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of two amounts."""
        return Resources(
            self.cpu + other.cpu, self.memory + other.memory, self.gpus + other.gpus
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference of two amounts, which may be negative."""
        return Resources(
            self.cpu - other.cpu, self.memory - other.memory, self.gpus - other.gpus
        )

    def times(self, count: int) -> "Resources":
        """Return the amount multiplied by a count."""
        return Resources(self.cpu * count, self.memory * count, self.gpus * count)

    def count_fitting(self, capacity: "Resources", limit: int) -> int:
        """Return how often this amount fits in a capacity, at most a limit."""
        counts = [
            available // amount
            for amount, available in zip(self, capacity, strict=True)
            if amount
        ]
        return max(0, min([limit, *counts]))

    def fits(self, capacity: "Resources") -> bool:
        """Return whether a capacity is large enough for this amount."""
        return (
            self.cpu <= capacity.cpu
            and self.memory <= capacity.memory
            and self.gpus <= capacity.gpus
        )


NO_RESOURCES = Resources()
