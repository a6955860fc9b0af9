"""Queues of the teams' waiting requests for one pool and one priority."""

from collections import deque
from collections.abc import Iterator

from jujubebarrow.identifiers import TeamId
from jujubebarrow.queues.entries import Entry


class TeamQueues:
    """First-in-first-out queues by team."""

    def __init__(self) -> None:
        self._queues: dict[TeamId, deque[Entry]] = {}
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    @property
    def teams(self) -> list[TeamId]:
        """Teams with waiting requests."""
        return list(self._queues)

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over all waiting requests."""
        return (entry for queue in self._queues.values() for entry in queue)

    def waiting(self, team: TeamId) -> int:
        """Return the number of waiting requests of a team."""
        return len(self._queues.get(team, ()))

    def head(self, team: TeamId) -> Entry:
        """Return the first request in a team's queue."""
        return self._queues[team][0]

    def append(self, entry: Entry) -> None:
        """Append a request to its team's queue."""
        self._queues.setdefault(entry.team, deque()).append(entry)
        self._length += 1

    def push_front(self, entry: Entry) -> None:
        """Insert a request at the head of its team's queue."""
        self._queues.setdefault(entry.team, deque()).appendleft(entry)
        self._length += 1

    def remove(self, entry: Entry) -> bool:
        """Remove a request; return False if the request is not queued."""
        queue = self._queues.get(entry.team)
        if queue is None or entry not in queue:
            return False
        queue.remove(entry)
        self._length -= 1
        if not queue:
            del self._queues[entry.team]
        return True
