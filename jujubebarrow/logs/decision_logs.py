"""Interface of the log of decisions."""

from abc import ABC, abstractmethod
from typing import Any


class DecisionLog(ABC):
    """Takes one line for each decision that touches a request."""

    @abstractmethod
    def write(self, event: str, **fields: Any) -> None:
        """Write a line.

        Args:
            event: What was decided or learned.
            fields: Ids, the inputs with their age or version, and the outcome.
        """
