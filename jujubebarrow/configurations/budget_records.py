"""Record of a pool's unavailable instances."""

from jujubebarrow.configurations.record_bases import Name, Record


class Budget(Record):
    """Instances of a pool that are out of service.

    It changes in the transaction that takes an instance out or back, so that
    racing writers cannot exceed the pool's limit together.
    """

    unavailable: list[Name] = []
