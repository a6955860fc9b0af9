"""Index of rows by key, ordered by the last change."""

from collections.abc import Iterator

from jujubebarrow.stores.rows import Row


class RowIndex:
    """Newest version of each row, including deleted rows.

    Rows must be put in ascending order of revision.
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}

    def __iter__(self) -> Iterator[Row]:
        """Iterate over the rows that are not deleted."""
        return (row for row in self._rows.values() if row.value is not None)

    def get(self, key: str) -> Row | None:
        """Return the newest version of a row, including a deleted row."""
        return self._rows.get(key)

    def put(self, row: Row) -> None:
        """Replace a row by a newer version."""
        self._rows.pop(row.key, None)
        self._rows[row.key] = row

    def list_changes(self, prefix: str, since: int) -> list[Row]:
        """Return rows with a key prefix that changed after a revision, oldest first."""
        rows = []
        for row in reversed(self._rows.values()):
            if row.revision <= since:
                break
            if row.key.startswith(prefix):
                rows.append(row)
        rows.reverse()
        return rows
