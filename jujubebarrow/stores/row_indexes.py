"""Rows by key, in the order of their last change."""

from collections.abc import Iterator

from jujubebarrow.stores.rows import Row


class RowIndex:
    """Newest version of each row, deleted ones included.

    Rows must be put in rising order of revision.
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}

    def __iter__(self) -> Iterator[Row]:
        """Iterate over rows that are not deleted."""
        return (row for row in self._rows.values() if row.value is not None)

    def get(self, key: str) -> Row | None:
        """Return the newest version of a row, also of a deleted one."""
        return self._rows.get(key)

    def put(self, row: Row) -> None:
        """Replace a row by a newer version."""
        self._rows.pop(row.key, None)
        self._rows[row.key] = row

    def changes(self, prefix: str, since: int) -> list[Row]:
        """Return rows under a prefix changed after a revision, oldest first."""
        rows = []
        for row in reversed(self._rows.values()):
            if row.revision <= since:
                break
            if row.key.startswith(prefix):
                rows.append(row)
        rows.reverse()
        return rows
