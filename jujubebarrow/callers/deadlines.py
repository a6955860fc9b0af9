"""Deadlines that callers ask for."""

from datetime import datetime
from math import isfinite

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind


def read_timeout(
    timeout: str | None, deadline: str | None, now: float, default: float, limit: float
) -> float:
    """Return the seconds that a caller waits for its answer.

    Args:
        timeout: Request-Timeout header, in seconds.
        deadline: Deadline header, an RFC 3339 time.
        now: Seconds since the epoch.
        default: Seconds if there is neither header.
        limit: Most seconds.

    Raises:
        RefusalError: A header is malformed, or its time is not in the future.
    """
    if timeout is not None:
        seconds = _read_seconds(timeout)
    elif deadline is not None:
        seconds = _read_time(deadline) - now
    else:
        return default
    if seconds <= 0:
        raise RefusalError(ErrorKind.BAD_DEADLINE, "the deadline has passed")
    return min(seconds, limit)


def _read_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError as error:
        raise RefusalError(
            ErrorKind.BAD_DEADLINE, "Request-Timeout is not a number of seconds"
        ) from error
    if not isfinite(seconds):
        raise RefusalError(ErrorKind.BAD_DEADLINE, "Request-Timeout is not finite")
    return seconds


def _read_time(text: str) -> float:
    try:
        moment = datetime.fromisoformat(text)
    except ValueError as error:
        raise RefusalError(
            ErrorKind.BAD_DEADLINE, "Deadline is not an RFC 3339 time"
        ) from error
    if moment.tzinfo is None:
        raise RefusalError(ErrorKind.BAD_DEADLINE, "Deadline has no time zone")
    return moment.timestamp()
