"""Interface of the handler of peer requests."""

from abc import ABC, abstractmethod

from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.messages import Reply, Request


class PeerHandler(ABC):
    """Handles the requests that peers send to this process."""

    @abstractmethod
    async def handle(self, request: Request, peer: PeerIdentity) -> Reply:
        """Return the reply to a request of a peer."""
