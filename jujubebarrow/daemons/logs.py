"""Set-up of the daemon's log."""

import logging
import sys

from loguru import logger

from jujubebarrow.metrics.registries import MetricsRegistry

LOG_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"
LIBRARY_LOGGERS = (
    "tornado.general",
    "tornado.application",
    "websockets",
    "asyncio",
    "jujubebarrow",
)


class CountingHandler(logging.Handler):
    """Counts log messages of libraries and forwards errors to the daemon's log.

    Args:
        metrics: Registry of the counters.
    """

    def __init__(self, metrics: MetricsRegistry):
        super().__init__(logging.INFO)
        self._metrics = metrics

    def emit(self, record: logging.LogRecord) -> None:
        """Count a log record by its first three words; also log an error record."""
        first_words = str(record.msg).split()[:3]
        self._metrics.count("library_message", "_".join(first_words).strip("%s:"))
        if record.levelno >= logging.ERROR:
            logger.error("{}: {}", record.name, record.getMessage())


def set_up_logs(metrics: MetricsRegistry) -> None:
    """Write the daemon's log to standard error and count libraries' log messages."""
    logger.remove()
    logger.add(sys.stderr, format=LOG_FORMAT, level="INFO")
    for name in LIBRARY_LOGGERS:
        library_logger = logging.getLogger(name)
        library_logger.handlers = [CountingHandler(metrics)]
        library_logger.setLevel(logging.INFO)
        library_logger.propagate = False
