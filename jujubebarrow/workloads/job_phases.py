"""Phases of a job that callers and operators see."""

from enum import Enum


class JobPhase(Enum):
    """Phase of an accepted job.

    Attributes:
        is_final: Whether the job's phase can no longer change.
    """

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    def __init__(self, text: str):
        self.is_final = text in ("completed", "failed", "cancelled")
