"""Chooses the instances that relay calls to the store."""

from random import Random

from jujubebarrow.clocks.clocks import Clock

BACKOFF_SECONDS = 1.0
"""Time after a failed relayed call in which the same instance is not used again;
doubles with each further failure."""
LONGEST_BACKOFF_SECONDS = 8.0
DOUBLING_LIMIT = 16
"""Limit on the exponent of the backoff, which would exceed the range of a float after
about a thousand failures."""
PROVEN_COUNT = 8
"""Number of instances with a successful call from which on no others are tried first;
large enough that the calls of a busy owner take little room on each one's link."""


class RelaySelector:
    """Remembers which instances have relayed calls and which have failed to.

    Args:
        random: Random generator that spreads calls over the instances.
        clock: Time source for the backoff times.
    """

    def __init__(self, random: Random, clock: Clock):
        self._random = random
        self._clock = clock
        self._proven: set[str] = set()
        # Number of failures in a row of each instance, and when it may be used again.
        self._failures: dict[str, tuple[int, float]] = {}

    def choose(self, addresses: list[str], limit: int) -> list[str]:
        """Return instances to try one after the other.

        Args:
            addresses: Addresses of the live instances.
            limit: Limit on the returned instances.
        """
        candidates = self.filter_usable(addresses)
        self._random.shuffle(candidates)
        proven = [address for address in candidates if address in self._proven]
        if len(proven) >= PROVEN_COUNT:
            others = [address for address in candidates if address not in self._proven]
            candidates = proven + others
        return candidates[:limit]

    def filter_usable(self, addresses: list[str]) -> list[str]:
        """Return the instances that have not just failed, in the given order."""
        now = self._clock.monotonic()
        return [
            address
            for address in addresses
            if now >= self._failures.get(address, (0, now))[1]
        ]

    def record_success(self, address: str) -> None:
        """Record a call that an instance has relayed."""
        self._proven.add(address)
        self._failures.pop(address, None)

    def record_failure(self, address: str) -> None:
        """Record a call that an instance has failed to relay."""
        self._proven.discard(address)
        count = self._failures.get(address, (0, 0.0))[0] + 1
        doublings = min(count - 1, DOUBLING_LIMIT)
        seconds = min(BACKOFF_SECONDS * 2**doublings, LONGEST_BACKOFF_SECONDS)
        self._failures[address] = (count, self._clock.monotonic() + seconds)
