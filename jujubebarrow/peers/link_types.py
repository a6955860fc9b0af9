"""Interface of a link to one peer."""

from abc import abstractmethod
from collections.abc import Callable

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.messages import Reply, Request


class Link(BackgroundLoop):
    """Connection to one address that is kept up until it is closed.

    Args:
        address: IP and port to dial.
    """

    def __init__(self, address: str):
        super().__init__()
        self.address = address

    @property
    @abstractmethod
    def peer(self) -> PeerIdentity | None:
        """Identity of the process at the other end, while connected."""

    @abstractmethod
    async def reset(self) -> None:
        """Drop a connection whose peer is silent, and dial again.

        All requests under way fail.
        """

    @abstractmethod
    async def request(self, message: Request, timeout: float) -> Reply:
        """Send a request and wait for its reply.

        Args:
            message: Request; its serial number is replaced.
            timeout: Seconds to wait.

        Raises:
            PeerLostError: No link, the link failed, or no reply in time.
        """


LinkFactory = Callable[[str, Callable[[Link], None]], Link]
"""Makes a link to an address; the callback is called when it is up."""
