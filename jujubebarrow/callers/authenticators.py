"""Authenticates callers by their keys."""

from collections.abc import Callable
from typing import NamedTuple

from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.key_states import KeyState
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.identifiers import OPEN_TEAM, KeyDigest, TeamId
from jujubebarrow.key_digests import digest_key

AUTHORIZATION_SCHEME = "bearer"
STALE_RETRY_AFTER_SECONDS = 2.0


class Caller(NamedTuple):
    """Team of a caller and the digest of the caller's key."""

    team: TeamId
    key: KeyDigest


OPEN_CALLER = Caller(OPEN_TEAM, KeyDigest(""))


def read_bearer_key(header: str | None) -> str:
    """Return the bearer key from an Authorization header.

    Raises:
        RefusalError: The header is missing or contains no bearer key.
    """
    scheme, _, key = (header or "").partition(" ")
    if scheme.lower() != AUTHORIZATION_SCHEME or not key.strip():
        raise RefusalError(ErrorKind.UNAUTHENTICATED, "no bearer key")
    return key.strip()


class Authenticator:
    """Checks callers' keys while the configuration is provably recent.

    Args:
        configuration: Configuration with keys, teams and queues.
        is_fresh: Returns whether the configuration is recent enough to contain all
            withdrawals of keys.
    """

    def __init__(self, configuration: Configuration, is_fresh: Callable[[], bool]):
        self._configuration = configuration
        self._is_fresh = is_fresh

    def authenticate(self, header: str | None) -> Caller:
        """Return the caller that the key in an Authorization header identifies.

        Raises:
            RefusalError: The key is unknown or withdrawn, or the configuration is
                stale.
        """
        digest = digest_key(read_bearer_key(header))
        if not self._is_fresh():
            raise RefusalError(
                ErrorKind.CONFIGURATION_STALE, retry_after=STALE_RETRY_AFTER_SECONDS
            )
        key = self._configuration.key(digest)
        if key is None or self._configuration.team(key.team) is None:
            raise RefusalError(ErrorKind.UNAUTHENTICATED, "unknown key")
        if key.state is KeyState.WITHDRAWN:
            raise RefusalError(ErrorKind.KEY_WITHDRAWN)
        return Caller(TeamId(key.team), digest)

    def authorise(self, header: str | None, queue_name: str) -> tuple[Caller, Queue]:
        """Return the caller and the queue if the caller may use the queue.

        Open queues need no key.

        Args:
            header: Value of the Authorization header, or None without the header.
            queue_name: Name of the queue.

        Raises:
            RefusalError: The queue does not exist, the caller is not authenticated, or
                the caller may not use the queue.
        """
        queue = self._configuration.queue(queue_name)
        if queue is not None and queue.open:
            return OPEN_CALLER, queue
        caller = self.authenticate(header)
        if queue is None:
            raise RefusalError(ErrorKind.UNKNOWN_QUEUE, queue_name)
        if queue.teams and caller.team not in queue.teams:
            raise RefusalError(ErrorKind.FORBIDDEN_QUEUE, queue_name)
        return caller, queue
