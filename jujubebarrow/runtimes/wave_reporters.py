"""Interface for the status document of a maintenance wave."""

from abc import ABC, abstractmethod
from typing import Any


class WaveReporter(ABC):
    """Creates the document that shows a wave's status to operators."""

    @abstractmethod
    def make_wave_status(
        self, wave: int, is_completed: bool
    ) -> tuple[str, dict[str, Any]]:
        """Return the key and the content of a wave's status document."""
