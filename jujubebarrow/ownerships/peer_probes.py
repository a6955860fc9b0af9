"""Direct question to an instance whose heartbeat is overdue."""

from abc import ABC, abstractmethod
from enum import Enum

from jujubebarrow.ownerships.ownership_rows import InstanceRow


class ProbeOutcome(Enum):
    """What a probe tells about one run of an instance's process.

    Attributes:
        RENEWS: The run answers, and its last attempt to renew its lease has not failed.
        FAILS_TO_RENEW: The run answers, but cannot renew its lease.
        GONE: The run has ended: nothing listens, or a later run answers.
        UNANSWERED: There is no answer in time.
    """

    RENEWS = "renews"
    FAILS_TO_RENEW = "fails to renew"
    GONE = "gone"
    UNANSWERED = "unanswered"


class PeerProbe(ABC):
    """Asks other instances directly whether they can keep their leases."""

    @abstractmethod
    async def probe(self, row: InstanceRow) -> ProbeOutcome:
        """Ask the run of an instance that wrote a heartbeat."""
