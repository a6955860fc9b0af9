"""Non-blocking decision log with a limited rate of lines."""

import logging
import os
import sys
from collections.abc import Callable
from typing import Any

from loguru import logger
from msgspec import json

from jujubebarrow.clocks.boot_clocks import BootClock
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.logs.library_logs import LibraryLogHandler
from jujubebarrow.metrics.registries import MetricsRegistry

AVERAGE_LINE_RATE = 200.0
"""Average limit in lines per second, enough for about ten lines per job at the usual
job rate of a pool."""
BURST_LINES = 1000.0
"""Limit of lines in a burst, for instance after a takeover of a pool."""
PROMISE_EVENTS = frozenset(
    {
        "call_refused",
        "job_accepted",
        "job_repeated",
        "job_refused",
        "job_cancel_stored",
        "job_closed",
        "runs_recorded",
    }
)
"""Events that tell what a caller was promised and what became of it. They have a limit
of their own, so that other lines do not displace them."""


class _LineBudget:
    """Token bucket that limits the rate of lines.

    Args:
        now: Time in seconds.
    """

    def __init__(self, now: float):
        self._tokens = BURST_LINES
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Take one line at a time in seconds; return False if there is none left."""
        refill = (now - self._refilled_at) * AVERAGE_LINE_RATE
        self._tokens = min(BURST_LINES, self._tokens + max(0.0, refill))
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class EventLog(DecisionLog):
    """Writes one JSON object per line; drops and counts lines over the rate limits.

    Args:
        clock: Time source.
        metrics: Registry of the counters.
    """

    def __init__(self, clock: Clock, metrics: MetricsRegistry):
        self._clock = clock
        self._metrics = metrics
        self._budget = _LineBudget(clock.monotonic())
        self._promise_budget = _LineBudget(clock.monotonic())

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, or drop and count the line if the rate limit is reached.

        Args:
            event: Name of the decision or observation.
            fields: Ids of the subjects, inputs with their age or version, and the
                outcome.
        """
        is_promise = event in PROMISE_EVENTS
        budget = self._promise_budget if is_promise else self._budget
        if not budget.take(self._clock.monotonic()):
            self._metrics.count("log_dropped", event)
            return
        logger.info(json.encode({"event": event, **fields}).decode())


def make_stdout_sink(metrics: MetricsRegistry) -> Callable[[str], None]:
    """Return a sink that writes to standard output and drops lines that would block."""
    file_descriptor = sys.stdout.fileno()
    os.set_blocking(file_descriptor, False)

    def write(message: str) -> None:
        try:
            os.write(file_descriptor, message.encode())
        except BlockingIOError:
            metrics.count("log_dropped", "output_full")

    return write


def set_up_event_log(metrics: MetricsRegistry) -> None:
    """Write events, and log records of libraries, to standard output without blocking.

    Without a handler, Python writes the records with their tracebacks to standard
    error.
    """
    logger.remove()
    logger.add(make_stdout_sink(metrics), format="{message}", level="INFO")
    clock = BootClock()
    handler = LibraryLogHandler(EventLog(clock, metrics), clock, metrics)
    logging.basicConfig(handlers=[handler], level=logging.INFO, force=True)
