"""Record of the selected preset."""

from jujubebarrow.configurations.record_bases import Name, Record


class Selection(Record):
    """Selection of the preset in force.

    Attributes:
        preset: Name of the preset.
    """

    preset: Name
