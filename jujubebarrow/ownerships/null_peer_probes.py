"""Probe for instances that accept no calls from each other."""

from jujubebarrow.ownerships.ownership_rows import InstanceRow
from jujubebarrow.ownerships.peer_probes import PeerProbe, ProbeOutcome


class NullPeerProbe(PeerProbe):
    """Never finds an instance lost, so that each lease is waited for."""

    async def probe(self, row: InstanceRow) -> ProbeOutcome:
        """Return that the instance renews its lease."""
        return ProbeOutcome.RENEWS
