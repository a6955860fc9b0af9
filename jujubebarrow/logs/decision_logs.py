"""Interface of the decision log."""

from abc import ABC, abstractmethod
from typing import Any


class DecisionLog(ABC):
    """Log with one line for each decision or observation."""

    @abstractmethod
    def write(self, event: str, **fields: Any) -> None:
        """Write one line.

        Args:
            event: Name of the decision or observation.
            fields: Ids of the subjects, inputs with their age or version, and the
                outcome.
        """
