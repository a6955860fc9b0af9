"""Logs of the daemon."""

import logging
import sys

from loguru import logger

from jujubebarrow.metrics.registries import MetricsRegistry

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"
LIBRARY_LOGGERS = ("tornado.general", "tornado.application", "websockets", "asyncio")


class CountingHandler(logging.Handler):
    """Counts what libraries log, and passes errors on.

    Args:
        metrics: Where messages are counted.
    """

    def __init__(self, metrics: MetricsRegistry):
        super().__init__(logging.INFO)
        self._metrics = metrics

    def emit(self, record: logging.LogRecord) -> None:
        """Count a message."""
        words = str(record.msg).split()[:3]
        self._metrics.count("library_message", "_".join(words).strip("%s:"))
        if record.levelno >= logging.ERROR:
            logger.error("{}: {}", record.name, record.getMessage())


def set_up_logs(metrics: MetricsRegistry) -> None:
    """Send the program's log to standard error and count libraries' messages."""
    logger.remove()
    logger.add(sys.stderr, format=FORMAT, level="INFO")
    for name in LIBRARY_LOGGERS:
        library = logging.getLogger(name)
        library.handlers = [CountingHandler(metrics)]
        library.setLevel(logging.INFO)
        library.propagate = False
