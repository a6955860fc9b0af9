"""Record of a preset."""

from jujubebarrow.configurations.record_bases import Name, Record


class Preset(Record):
    """Preset: settings of the fleet for one kind of day.

    Attributes:
        sizes: Requested number of instances by pool.
        maintenance: Whether maintenance may drain instances.
        moves: Whether the control loop may move instances between pools according to
            demand.
    """

    sizes: dict[Name, int] = {}
    maintenance: bool = False
    moves: bool = True
