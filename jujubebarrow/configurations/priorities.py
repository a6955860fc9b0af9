"""Priorities of queues within a pool."""

from enum import Enum


class Priority(Enum):
    """Priority of a queue, which orders the queues of a pool."""

    INTERACTIVE = "interactive"
    OVERNIGHT = "overnight"
