"""Reasons for which an owner cannot serve a duty."""

from enum import Enum


class ServiceObstacle(Enum):
    """Reason for which an owner cannot serve a duty."""

    NOT_LOADED = "not loaded"
    QUEUE_UNREAD = "jobs of a queue not loaded"
    NO_WORKERS = "no worker responds"
    FEED_LATE = "no recent report of accepted jobs"
    PROGRESS_UNSTORED = "progress not stored"
