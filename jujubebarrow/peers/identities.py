"""Identity of a process on peer links."""

from typing import NamedTuple


class PeerIdentity(NamedTuple):
    """Identity of the process at one end of a peer link.

    Attributes:
        instance: Id of the instance.
        incarnation: Incarnation of the process, different after each restart.
        zone: Availability zone of the instance.
    """

    instance: str
    incarnation: str
    zone: str
