"""Structured log of decisions, bounded in volume and never blocking."""

import os
import sys
from collections.abc import Callable
from typing import Any

from loguru import logger
from msgspec import json

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry

LINES_PER_SECOND = 200.0
"""Lines a second on average; some ten a job at a pool's usual rate."""
BURST_LINES = 1000.0
"""Lines that may be written at once, as at a take-over."""


class EventLog(DecisionLog):
    """Writes one JSON object a line; what is over the rate is counted instead.

    Args:
        clock: Time source.
        metrics: Where dropped lines are counted.
    """

    def __init__(self, clock: Clock, metrics: MetricsRegistry):
        self._clock = clock
        self._metrics = metrics
        self._tokens = BURST_LINES
        self._filled_at = clock.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write a line.

        Args:
            event: What was decided or learned.
            fields: Ids, the inputs with their age or version, and the outcome.
        """
        if not self._take_token():
            self._metrics.count("log_dropped", event)
            return
        logger.info(json.encode({"event": event, **fields}).decode())

    def _take_token(self) -> bool:
        now = self._clock.monotonic()
        earned = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + max(0.0, earned))
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def make_output(metrics: MetricsRegistry) -> Callable[[str], None]:
    """Return a sink that writes to standard output and drops what would block."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)

    def write(message: str) -> None:
        try:
            os.write(descriptor, message.encode())
        except BlockingIOError:
            metrics.count("log_dropped", "output_full")

    return write


def set_up_event_log(metrics: MetricsRegistry) -> None:
    """Send the program's log to standard output."""
    logger.remove()
    logger.add(make_output(metrics), format="{message}", level="INFO")
