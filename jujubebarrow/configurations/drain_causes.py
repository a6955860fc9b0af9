"""Causes of the drain of an instance."""

from enum import Enum


class DrainCause(Enum):
    """Cause for which an instance is drained."""

    NONE = "none"
    MAINTENANCE = "maintenance"
    MOVE = "move"
    OPERATOR = "operator"
