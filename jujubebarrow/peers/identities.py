"""Identity of a process on peer links."""

from typing import NamedTuple


class PeerIdentity(NamedTuple):
    """Instance, process and availability zone at one end of a link."""

    instance: str
    incarnation: str
    zone: str
