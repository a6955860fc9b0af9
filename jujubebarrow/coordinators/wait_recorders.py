"""Log lines that tell what tasks wait for."""

from collections.abc import Callable
from enum import Enum
from typing import Any

from jujubebarrow.coordinators.late_start_records import StepKey
from jujubebarrow.identifiers import JobId
from jujubebarrow.logs.decision_logs import DecisionLog

FIRST_LINE_SECONDS = 2.0
"""Seconds of waiting after which the first line is written; the usual waits for a
grant, a store transaction or a preempted run are shorter."""


GAP_SECONDS = 1.0
"""Seconds without a record after which a wait is over; longer than the time between two
plans."""


class WaitReason(Enum):
    """What the waiting tasks of a step lack.

    Attributes:
        GRANT: A part of the team's upper limit that is granted to the pool.
        LATE_START: The time after which no worker can execute a former start.
        WORKER: A worker that accepts the step's tasks and has free capacity.
    """

    GRANT = "grant"
    LATE_START = "late-start"
    WORKER = "worker"


class WaitRecorder:
    """Writes a line for each wait of a step, after two seconds and each doubling.

    Args:
        log: Decision log.
    """

    def __init__(self, log: DecisionLog):
        self._log = log
        # When each step began to wait, when that was last recorded, and the next age at
        # which a line is due.
        self._waits: dict[tuple[StepKey, WaitReason], tuple[float, float, float]] = {}

    def record(
        self,
        step: StepKey,
        reason: WaitReason,
        now: float,
        describe: Callable[[], dict[str, Any]],
    ) -> None:
        """Record that tasks of a step could not be placed.

        Args:
            step: Job, occurrence and index of the step.
            reason: What the tasks lack at present.
            now: Time in seconds.
            describe: Returns the fields that explain the reason; only called if a line
                is due.
        """
        key = (step, reason)
        new = (now, now, FIRST_LINE_SECONDS)
        since, recorded_at, due_age = self._waits.get(key, new)
        if now - recorded_at > GAP_SECONDS:
            since, _, due_age = new
        self._waits[key] = (since, now, due_age)
        age = now - since
        if age < due_age:
            return
        self._waits[key] = (since, now, 2 * due_age)
        job, occurrence, number = step
        self._log.write(
            "tasks_wait",
            job=job,
            step=f"{occurrence}.{number}",
            seconds=round(age, 1),
            lacks=reason.value,
            **describe(),
        )

    def clear(self, step: StepKey) -> None:
        """Record that no task of a step waits any more."""
        for reason in WaitReason:
            self._waits.pop((step, reason), None)

    def remove_job(self, job: JobId) -> None:
        """Remove the steps of a closed job."""
        for key in [key for key in self._waits if key[0][0] == job]:
            del self._waits[key]
