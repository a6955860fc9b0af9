"""Amounts of resources on the wire."""

from msgspec import Struct

from jujubebarrow.workloads.resources import Resources


class WireResources(Struct, rename="pascal"):
    """Amounts; a field that is left out is 0."""

    # Thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0

    def to_resources(self) -> Resources:
        """Return the project's type."""
        return Resources(self.cpu, self.mem_mb, self.gpus)
