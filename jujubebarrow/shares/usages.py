"""What teams run in a pool, fleet-wide."""

from collections import Counter

from jujubebarrow.identifiers import TeamId


class TeamUsage:
    """Running and waiting tasks of each team in one pool.

    Own tasks are counted at once; those of peers as last reported.
    """

    def __init__(self) -> None:
        self._own: Counter[TeamId] = Counter()
        self._peers: dict[str, dict[TeamId, int]] = {}
        self._remote: Counter[TeamId] = Counter()

    def start(self, team: TeamId) -> None:
        """Count a task that starts here."""
        self._own[team] += 1

    def end(self, team: TeamId) -> None:
        """Count a task that ended here."""
        self._own[team] -= 1
        if not self._own[team]:
            del self._own[team]

    def report(self, peer: str, running: dict[TeamId, int]) -> None:
        """Replace what a peer runs."""
        self._remote.subtract(self._peers.pop(peer, {}))
        if running:
            self._peers[peer] = running
            self._remote.update(running)

    def own(self) -> dict[TeamId, int]:
        """Return running tasks by team, of this instance only."""
        return dict(self._own)

    def running(self, team: TeamId) -> int:
        """Return running tasks of a team, fleet-wide."""
        return self._own[team] + self._remote[team]
