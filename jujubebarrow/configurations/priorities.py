"""Order in which queues of a pool are served."""

from enum import Enum


class Priority(Enum):
    """Order in which queues of a pool are served."""

    INTERACTIVE = "interactive"
    OVERNIGHT = "overnight"
