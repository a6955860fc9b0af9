"""Why an instance is drained."""

from enum import Enum


class MoveCause(Enum):
    """Why an instance is being drained."""

    NONE = "none"
    MAINTENANCE = "maintenance"
    MOVE = "move"
    OPERATOR = "operator"
