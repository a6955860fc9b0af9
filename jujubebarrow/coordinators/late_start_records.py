"""Stored record of starts that workers may still execute."""

from dataclasses import dataclass, field
from typing import Any

from msgspec import json

from jujubebarrow.identifiers import JobId
from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources

StepKey = tuple[JobId, int, int]
"""Job, index of the occurrence and index of the step."""


@dataclass(frozen=True, slots=True)
class LateStartRecord:
    """Unacknowledged starts of a worker as stored for later owners of its pool.

    Attributes:
        end: Time in seconds until which the worker may execute the starts.
        reserved: Sum of the resources that their runs need.
        steps: Number of these runs by step.
        are_steps_known: Whether there are no such runs of other steps.
    """

    end: float = 0.0
    reserved: Resources = NO_RESOURCES
    steps: dict[StepKey, int] = field(default_factory=dict)
    are_steps_known: bool = field(default=True, compare=False)

    def covers(self, other: "LateStartRecord") -> bool:
        """Return whether this record holds at least what another one holds."""
        return (
            other.end <= self.end
            and other.reserved.fits(self.reserved)
            and all(
                count <= self.steps.get(step, 0) for step, count in other.steps.items()
            )
        )

    def may_contain(self, step: StepKey) -> bool:
        """Return whether one of the starts may be of a task of a step."""
        return not self.are_steps_known or self.steps.get(step, 0) > 0


def encode_late_starts(
    records: dict[WorkerId, LateStartRecord], clock: StoreClock, size_limit: int
) -> dict[str, Any]:
    """Return the stored form of records, with times on the store's clock.

    What does not fit is left out, first the steps, then the resources: a row that the
    store refuses would keep no end at all.

    Args:
        records: Records by worker.
        clock: Converts the times.
        size_limit: Largest stored form in bytes.
    """
    rows = {
        worker: [clock.to_store_time(record.end), *record.reserved]
        for worker, record in records.items()
    }
    full = {
        worker: [*row, _encode_steps(records[worker])] for worker, row in rows.items()
    }
    for document in (full, rows):
        if len(json.encode(document)) <= size_limit:
            return document
    return {worker: row[0] for worker, row in rows.items()}


def _encode_steps(record: LateStartRecord) -> list[list[Any]]:
    return [[*step, count] for step, count in record.steps.items()]


def decode_late_starts(
    document: dict[str, Any], clock: StoreClock
) -> dict[WorkerId, LateStartRecord]:
    """Return the records of a stored form, with times on the local clock.

    An earlier build stored only the end of the starts.
    """
    return {
        WorkerId(worker): _decode_record(entry, clock)
        for worker, entry in document.items()
    }


def _decode_record(entry: list[Any] | float, clock: StoreClock) -> LateStartRecord:
    if not isinstance(entry, list):
        return LateStartRecord(clock.to_local_time(entry), are_steps_known=False)
    end, cpu, memory, gpus, *rest = entry
    return LateStartRecord(
        clock.to_local_time(end),
        Resources(cpu, memory, gpus),
        {
            (JobId(job), occurrence, step): count
            for steps in rest
            for job, occurrence, step, count in steps
        },
        are_steps_known=bool(rest),
    )
