"""States of a key."""

from enum import Enum


class KeyState(Enum):
    """Whether a key is accepted on the team's queues."""

    GRANTED = "granted"
    WITHDRAWN = "withdrawn"
