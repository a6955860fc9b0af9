"""Builds the status that this instance sends to peers."""

from collections.abc import Callable

from jujubebarrow.peers.deltas import DeltaEncoder
from jujubebarrow.peers.status_messages import PeerStatus, PoolReport


class StatusReporter:
    """Builds the status for each peer, reduced to the changes since the last status.

    Args:
        make_status: Returns the current full status.
    """

    def __init__(self, make_status: Callable[[], PeerStatus]):
        self._make_status = make_status
        self._usage_encoders: dict[str, DeltaEncoder[int]] = {}
        self._pool_encoders: dict[str, DeltaEncoder[PoolReport]] = {}
        self._versions: dict[str, int] = {}

    def make_full_status(self) -> PeerStatus:
        """Return the full status."""
        return self._make_status()

    def make_changed_status(self, peer: str, acknowledged: int) -> PeerStatus:
        """Return a status with the changes since the last status for a peer.

        Args:
            peer: Incarnation of the peer.
            acknowledged: Version of the last status that the peer received. The
                returned status is full unless the last version sent to the peer is the
                acknowledged one.
        """
        version = self._versions.get(peer, 0)
        is_full = acknowledged == 0 or acknowledged != version
        status = self._make_status()
        usage = {key: count for key, count in status.usage.items() if count}
        pools = {key: pool for key, pool in status.pools.items() if pool}
        usage_encoder = self._usage_encoders.setdefault(peer, DeltaEncoder())
        pool_encoder = self._pool_encoders.setdefault(peer, DeltaEncoder())
        self._versions[peer] = version + 1
        return status.model_copy(
            update={
                "version": version + 1,
                "full": is_full,
                "usage": usage_encoder.encode(usage, is_full),
                "pools": pool_encoder.encode(pools, is_full),
            }
        )

    def remove_peer(self, peer: str) -> None:
        """Discard the encoders and the version of a peer whose process has ended."""
        self._usage_encoders.pop(peer, None)
        self._pool_encoders.pop(peer, None)
        self._versions.pop(peer, None)
