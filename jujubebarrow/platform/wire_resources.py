"""Wire format of resource amounts."""

from msgspec import Struct

from jujubebarrow.platform.wire_numbers import WireAmount
from jujubebarrow.workloads.resources import Resources


class WireResources(Struct, rename="pascal"):
    """Resource amounts; an omitted field is 0."""

    # Thousandths of a processor core.
    cpu: WireAmount = 0
    mem_mb: WireAmount = 0
    gpus: WireAmount = 0

    def to_resources(self) -> Resources:
        """Return the resource amounts."""
        return Resources(self.cpu, self.mem_mb, self.gpus)
