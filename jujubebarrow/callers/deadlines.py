"""Parsing of the deadline headers of callers."""

from datetime import datetime
from math import isfinite

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind


def read_timeout(
    timeout: str | None, deadline: str | None, now: float, default: float, limit: float
) -> float:
    """Return how long a caller waits for the response, in seconds.

    Args:
        timeout: Value of the Request-Timeout header, in seconds.
        deadline: Value of the Deadline header, an RFC 3339 time.
        now: Current time in seconds since the epoch.
        default: Timeout in seconds if both headers are missing.
        limit: Maximum timeout in seconds.

    Raises:
        RefusalError: A header is malformed, or the deadline is not in the future.
    """
    if timeout is not None:
        seconds = _parse_seconds(timeout)
    elif deadline is not None:
        seconds = _parse_time(deadline) - now
    else:
        return default
    if seconds <= 0:
        raise RefusalError(ErrorKind.BAD_DEADLINE, "the deadline has passed")
    return min(seconds, limit)


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError as error:
        raise RefusalError(
            ErrorKind.BAD_DEADLINE, "Request-Timeout is not a number of seconds"
        ) from error
    if not isfinite(seconds):
        raise RefusalError(ErrorKind.BAD_DEADLINE, "Request-Timeout is not finite")
    return seconds


def _parse_time(text: str) -> float:
    try:
        parsed_time = datetime.fromisoformat(text)
    except ValueError as error:
        raise RefusalError(
            ErrorKind.BAD_DEADLINE, "Deadline is not an RFC 3339 time"
        ) from error
    if parsed_time.tzinfo is None:
        raise RefusalError(ErrorKind.BAD_DEADLINE, "Deadline has no time zone")
    return parsed_time.timestamp()
