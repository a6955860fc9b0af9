"""Amounts of processor, memory and accelerators."""

from typing import NamedTuple


class Resources(NamedTuple):
    """Amount of each resource.

    Attributes:
        cpu: Processor in thousandths of a core.
        memory: Memory in MiB.
        gpus: Number of accelerators.
    """

    cpu: int = 0
    memory: int = 0
    gpus: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu, self.memory + other.memory, self.gpus + other.gpus
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; amounts may become negative."""
        return Resources(
            self.cpu - other.cpu, self.memory - other.memory, self.gpus - other.gpus
        )

    def times(self, count: int) -> "Resources":
        """Return a multiple."""
        return Resources(self.cpu * count, self.memory * count, self.gpus * count)

    def fits(self, room: "Resources") -> bool:
        """Return whether this amount fits into a room."""
        return (
            self.cpu <= room.cpu
            and self.memory <= room.memory
            and self.gpus <= room.gpus
        )


NOTHING = Resources()
