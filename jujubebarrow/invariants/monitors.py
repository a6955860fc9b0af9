"""Checks of what must always hold, made inside the running program."""

from loguru import logger

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.metrics.registries import MetricsRegistry


class InvariantMonitor:
    """Counts, logs and refuses when an invariant is broken.

    Args:
        metrics: Where a broken invariant is counted.
    """

    def __init__(self, metrics: MetricsRegistry):
        self._metrics = metrics

    def check(self, holds: bool, name: str, detail: str) -> None:
        """Raise an error unless the invariant holds.

        Raises:
            RefusalError: Of kind ``INVARIANT_BROKEN``.
        """
        if holds:
            return
        self._metrics.count("invariant_broken", name)
        logger.error("invariant {} broken: {}", name, detail)
        raise RefusalError(ErrorKind.INVARIANT_BROKEN, f"{name}: {detail}")
