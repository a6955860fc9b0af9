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


class EventLog(DecisionLog):
    """Writes one JSON object per line; drops and counts lines over the rate limit.

    Args:
        clock: Time source.
        metrics: Registry of the counters.
    """

    def __init__(self, clock: Clock, metrics: MetricsRegistry):
        self._clock = clock
        self._metrics = metrics
        self._tokens = BURST_LINES
        self._refilled_at = clock.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, or drop and count the line if the rate limit is reached.

        Args:
            event: Name of the decision or observation.
            fields: Ids of the subjects, inputs with their age or version, and the
                outcome.
        """
        if not self._take_token():
            self._metrics.count("log_dropped", event)
            return
        logger.info(json.encode({"event": event, **fields}).decode())

    def _take_token(self) -> bool:
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * AVERAGE_LINE_RATE
        self._tokens = min(BURST_LINES, self._tokens + max(0.0, refill))
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


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
