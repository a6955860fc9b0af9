"""Ends of the leases on workers that do not answer, as they are on record."""

from dataclasses import dataclass
from typing import Any

from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.workloads.identifiers import WorkerId

START_TIME_KEY = "born"
EXPIRY_KEY = "ends"


@dataclass(frozen=True, slots=True)
class RecordedLease:
    """Time after which nothing runs any more on a worker.

    No owner gives the worker another lease while this is on record.

    Attributes:
        born: Start of the worker's life, Unix time in milliseconds; 0 if unknown.
        ends: Time in seconds.
    """

    born: int
    ends: float


def encode_leases(
    leases: dict[WorkerId, RecordedLease], clock: StoreClock
) -> dict[str, Any]:
    """Return the stored form, with times by the store's clock."""
    return {
        worker: {START_TIME_KEY: lease.born, EXPIRY_KEY: clock.to_stored(lease.ends)}
        for worker, lease in leases.items()
    }


def decode_leases(
    document: dict[str, Any], clock: StoreClock
) -> dict[WorkerId, RecordedLease]:
    """Return the leases of a stored form."""
    return {
        WorkerId(worker): RecordedLease(
            entry[START_TIME_KEY], clock.to_local(entry[EXPIRY_KEY])
        )
        for worker, entry in document.items()
    }
