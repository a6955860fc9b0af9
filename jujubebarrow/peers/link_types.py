"""Interface of a link to one peer."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.messages import Reply, Request


class Link(ABC):
    """Connection to one address that is kept up.

    Args:
        address: IP and port to dial.
    """

    def __init__(self, address: str):
        self.address = address

    @property
    @abstractmethod
    def peer(self) -> PeerIdentity | None:
        """Identity of the process at the other end, while connected."""

    @abstractmethod
    def open(self) -> None:
        """Start to dial."""

    @abstractmethod
    async def reset(self) -> None:
        """Drop a connection whose peer is silent, and dial again.

        All requests under way fail.
        """

    @abstractmethod
    async def close(self) -> None:
        """Stop dialling and close the connection."""

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
