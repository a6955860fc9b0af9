"""Record of the preset in force."""

from jujubebarrow.configurations.record_bases import Name, Record


class Selection(Record):
    """Preset in force."""

    preset: Name
