"""States of a key."""

from enum import Enum


class KeyState(Enum):
    """Whether a key opens its team's queues."""

    GRANTED = "granted"
    WITHDRAWN = "withdrawn"
