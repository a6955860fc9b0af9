"""Run-time checks of invariants."""

from loguru import logger

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.metrics.registries import MetricsRegistry


class InvariantMonitor:
    """Counts and logs broken invariants and raises an error for each.

    Args:
        metrics: Registry in which broken invariants are counted.
    """

    def __init__(self, metrics: MetricsRegistry):
        self._metrics = metrics

    def check(self, holds: bool, name: str, detail: str) -> None:
        """Raise an error unless an invariant holds.

        Args:
            holds: Whether the invariant holds.
            name: Name of the invariant, used as a metric label.
            detail: Checked values, or the id of the request or team.

        Raises:
            RefusalError: The invariant is broken (kind ``INVARIANT_BROKEN``).
        """
        if holds:
            return
        self._metrics.count("invariant_broken", name)
        logger.error("invariant {} broken: {}", name, detail)
        raise RefusalError(ErrorKind.INVARIANT_BROKEN, f"{name}: {detail}")
