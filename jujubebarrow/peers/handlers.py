"""What a process answers to its peers."""

from abc import ABC, abstractmethod

from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.messages import Reply, Request


class PeerHandler(ABC):
    """Answers requests of peers."""

    @abstractmethod
    async def handle(self, request: Request, peer: PeerIdentity) -> Reply:
        """Return the reply to a request."""
