"""Record of a preset."""

from jujubebarrow.configurations.record_bases import Name, Record


class Preset(Record):
    """Settings of the fleet for a kind of day.

    Attributes:
        sizes: Instances wanted in each pool.
        maintenance: Whether maintenance may take instances.
        moves: Whether control may move instances by demand.
    """

    sizes: dict[Name, int] = {}
    maintenance: bool = False
    moves: bool = True
