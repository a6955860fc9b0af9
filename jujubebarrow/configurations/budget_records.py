"""Record of the availability budget of a pool."""

from jujubebarrow.configurations.record_bases import Name, Record


class Budget(Record):
    """Availability budget of a pool: the unavailable instances of the pool.

    The transaction that drains an instance or returns an instance to service also
    writes this record; therefore concurrent writers conflict and cannot exceed the
    pool's limit together.

    Attributes:
        unavailable: Names of the unavailable instances.
    """

    unavailable: list[Name] = []
