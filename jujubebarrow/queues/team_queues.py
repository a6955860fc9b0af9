"""Waiting requests of one pool and one priority, by team."""

from collections import deque
from collections.abc import Iterator

from jujubebarrow.identifiers import TeamId
from jujubebarrow.queues.entries import Entry


class TeamQueues:
    """First-in-first-out queue for each team."""

    def __init__(self) -> None:
        self._queues: dict[TeamId, deque[Entry]] = {}
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    @property
    def teams(self) -> list[TeamId]:
        """Teams that have a waiting request."""
        return list(self._queues)

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over all waiting requests."""
        return (entry for queue in self._queues.values() for entry in queue)

    def waiting(self, team: TeamId) -> int:
        """Return the number of waiting requests of a team."""
        return len(self._queues.get(team, ()))

    def head(self, team: TeamId) -> Entry:
        """Return the request of a team that comes first."""
        return self._queues[team][0]

    def append(self, entry: Entry) -> None:
        """Add a request behind the others of its team."""
        self._queues.setdefault(entry.team, deque()).append(entry)
        self._length += 1

    def push_front(self, entry: Entry) -> None:
        """Add a request before the others of its team."""
        self._queues.setdefault(entry.team, deque()).appendleft(entry)
        self._length += 1

    def remove(self, entry: Entry) -> bool:
        """Remove a request; return False if it does not wait here."""
        queue = self._queues.get(entry.team)
        if queue is None or entry not in queue:
            return False
        queue.remove(entry)
        self._length -= 1
        if not queue:
            del self._queues[entry.team]
        return True
