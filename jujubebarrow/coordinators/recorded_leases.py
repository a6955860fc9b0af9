"""Stored lease expiry times of unresponsive workers."""

from dataclasses import dataclass
from typing import Any

from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.workloads.identifiers import WorkerId

START_TIME_KEY = "born"
EXPIRY_KEY = "ends"


@dataclass(frozen=True, slots=True)
class RecordedLease:
    """Lease expiry time of a worker, after which the worker runs no task.

    No owner issues a new lease to the worker while the expiry time is stored.

    Attributes:
        started_at_ms: Unix time of the worker's start in milliseconds; 0 if unknown.
        expires_at: Time in seconds at which the lease expires.
    """

    started_at_ms: int
    expires_at: float


def encode_leases(
    leases: dict[WorkerId, RecordedLease], clock: StoreClock
) -> dict[str, Any]:
    """Return the stored form of leases, with times on the store's clock."""
    return {
        worker: {
            START_TIME_KEY: lease.started_at_ms,
            EXPIRY_KEY: clock.to_store_time(lease.expires_at),
        }
        for worker, lease in leases.items()
    }


def decode_leases(
    document: dict[str, Any], clock: StoreClock
) -> dict[WorkerId, RecordedLease]:
    """Return the leases of a stored form, with times on the local clock."""
    return {
        WorkerId(worker): RecordedLease(
            entry[START_TIME_KEY], clock.to_local_time(entry[EXPIRY_KEY])
        )
        for worker, entry in document.items()
    }
