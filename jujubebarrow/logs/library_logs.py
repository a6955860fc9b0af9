"""Log records of libraries as lines of the event log."""

import logging

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry

LINE_INTERVAL_SECONDS = 1.0
"""Minimum time between two lines of one library logger."""
TEXT_LIMIT = 500
"""Limit on the characters of a message or an error in a line."""


class LibraryLogHandler(logging.Handler):
    """Counts log records of libraries and writes warnings and errors to the event log.

    Records of a logger that has just written a line are only counted; the next line
    tells how many there were.

    Args:
        log: Event log.
        clock: Time source.
        metrics: Registry of the counters.
    """

    def __init__(self, log: DecisionLog, clock: Clock, metrics: MetricsRegistry):
        super().__init__(logging.INFO)
        self._log = log
        self._clock = clock
        self._metrics = metrics
        self._written_at: dict[str, float] = {}
        self._omitted_counts: dict[str, int] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Count a log record; also write a line for a warning or an error."""
        first_words = "_".join(str(record.msg).split()[:3])
        self._metrics.count("library_message", first_words.strip("%s:"))
        if record.levelno < logging.WARNING:
            return
        name = record.name
        now = self._clock.monotonic()
        if now < self._written_at.get(name, float("-inf")) + LINE_INTERVAL_SECONDS:
            self._omitted_counts[name] = self._omitted_counts.get(name, 0) + 1
            return
        self._written_at[name] = now
        error = record.exc_info[1] if record.exc_info else None
        self._log.write(
            "library_message",
            logger=name,
            level=record.levelname,
            detail=record.getMessage()[:TEXT_LIMIT],
            error=repr(error)[:TEXT_LIMIT] if error is not None else "",
            place=_find_place(error),
            omitted=self._omitted_counts.pop(name, 0),
        )


def _find_place(error: BaseException | None) -> str:
    traceback = error.__traceback__ if error is not None else None
    if traceback is None:
        return ""
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return f"{traceback.tb_frame.f_code.co_name}:{traceback.tb_lineno}"
