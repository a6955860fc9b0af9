"""Kinds of configuration records."""

from enum import Enum


class RecordKind(Enum):
    """Kind of a configuration record; the value is part of the row's key."""

    POOL = "pools"
    QUEUE = "queues"
    TEAM = "teams"
    KEY = "keys"
    PRESET = "presets"
    SELECTION = "selections"
    INSTANCE = "instances"
    MAINTENANCE = "maintenance"
    BUDGET = "budgets"
