"""Interface of a link to one peer."""

from abc import abstractmethod
from collections.abc import Callable

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.messages import Reply, Request


class Link(BackgroundLoop):
    """Connection to one address, re-established after each failure until closed.

    Args:
        address: IP address and port to dial.
    """

    def __init__(self, address: str):
        super().__init__()
        self.address = address

    @property
    @abstractmethod
    def peer(self) -> PeerIdentity | None:
        """Identity of the connected peer, or None while disconnected."""

    @abstractmethod
    async def reset(self) -> None:
        """Drop the connection to an unresponsive peer and reconnect.

        All pending requests fail.
        """

    @abstractmethod
    async def request(self, message: Request, timeout: float) -> Reply:
        """Send a request and wait for its reply.

        Args:
            message: Request to send; the link replaces the serial number.
            timeout: Maximum time to wait for the reply, in seconds.

        Raises:
            PeerLostError: The link is down or failed, or no reply arrived in time.
        """


LinkFactory = Callable[[str, Callable[[Link], None]], Link]
"""Creates a link to an address; the link calls the callback once connected."""
