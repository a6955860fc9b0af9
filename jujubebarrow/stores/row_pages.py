"""Part of the rows under a prefix."""

from dataclasses import dataclass

from jujubebarrow.stores.rows import Row


@dataclass(frozen=True, slots=True, kw_only=True)
class RowPage:
    """Consecutive rows under a prefix, read at one revision of the table.

    Attributes:
        rows: Rows in ascending order of their names.
        revision: Revision of the table at which the rows were read.
        has_more: Whether the prefix has rows after the last one of this page.
        clock: Store's monotonic clock in seconds at the time of the read.
        size_bytes: Size of the store's response.
        transfer_seconds: Time from the first to the last byte of the response; None if
            unknown.
    """

    rows: list[Row]
    revision: int
    has_more: bool = False
    clock: float = 0.0
    size_bytes: int = 0
    transfer_seconds: float | None = None
