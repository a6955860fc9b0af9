"""Fleet-wide number of running tasks by team in one pool."""

from collections import Counter

from jujubebarrow.identifiers import TeamId


class TeamUsage:
    """Running tasks of each team in one pool.

    Tasks of this instance are counted when they start and end, tasks of peers as the
    peers last reported them.
    """

    def __init__(self) -> None:
        self._local: Counter[TeamId] = Counter()
        self._tasks_by_peer: dict[str, dict[TeamId, int]] = {}
        self._remote: Counter[TeamId] = Counter()

    def add_task(self, team: TeamId) -> None:
        """Count a task that starts on this instance."""
        self._local[team] += 1

    def remove_task(self, team: TeamId) -> None:
        """Stop counting a task that ended on this instance."""
        self._local[team] -= 1
        if not self._local[team]:
            del self._local[team]

    def set_peer_tasks(self, peer: str, running: dict[TeamId, int]) -> None:
        """Replace the running tasks of a peer."""
        self._remote.subtract(self._tasks_by_peer.pop(peer, {}))
        if running:
            self._tasks_by_peer[peer] = running
            self._remote.update(running)

    def local_tasks(self) -> dict[TeamId, int]:
        """Return the number of tasks running on this instance, by team."""
        return dict(self._local)

    def count_tasks(self, team: TeamId) -> int:
        """Return the fleet-wide number of running tasks of a team."""
        return self._local[team] + self._remote[team]
