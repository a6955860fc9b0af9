"""Status of this instance for its peers."""

from collections.abc import Callable

from jujubebarrow.peers.deltas import DeltaEncoder
from jujubebarrow.peers.status_messages import PeerStatus, PoolReport


class StatusReporter:
    """Builds the status for each peer, with only what changed for it.

    Args:
        describe: Returns the whole present status.
    """

    def __init__(self, describe: Callable[[], PeerStatus]):
        self._describe = describe
        self._usages: dict[str, DeltaEncoder[int]] = {}
        self._pools: dict[str, DeltaEncoder[PoolReport]] = {}
        self._versions: dict[str, int] = {}

    def whole(self) -> PeerStatus:
        """Return the whole status."""
        return self._describe()

    def changes(self, peer: str, acknowledged: int) -> PeerStatus:
        """Return the status with what changed since the last one for a peer.

        Args:
            peer: Incarnation of the peer.
            acknowledged: Version of the last status that the peer has.
        """
        version = self._versions.get(peer, 0)
        full = acknowledged == 0 or acknowledged != version
        whole = self._describe()
        usage = {key: count for key, count in whole.usage.items() if count}
        pools = {key: pool for key, pool in whole.pools.items() if pool}
        usages = self._usages.setdefault(peer, DeltaEncoder())
        reports = self._pools.setdefault(peer, DeltaEncoder())
        self._versions[peer] = version + 1
        return whole.model_copy(
            update={
                "version": version + 1,
                "full": full,
                "usage": usages.encode(usage, full),
                "pools": reports.encode(pools, full),
            }
        )

    def forget(self, peer: str) -> None:
        """Forget a peer whose process has ended."""
        self._usages.pop(peer, None)
        self._pools.pop(peer, None)
        self._versions.pop(peer, None)
