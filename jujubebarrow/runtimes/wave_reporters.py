"""Interface to where operators read how far a wave is."""

from abc import ABC, abstractmethod
from typing import Any


class WaveReporter(ABC):
    """Makes the document that tells how far a wave is."""

    @abstractmethod
    def wave_status(self, wave: int, completed: bool) -> tuple[str, dict[str, Any]]:
        """Return the key and the document that tell how far a wave is."""
