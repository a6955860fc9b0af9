"""Stored lease expiry times of unresponsive workers."""

from dataclasses import dataclass
from typing import Any

from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.workloads.identifiers import WorkerId

START_TIME_KEY = "born"
EXPIRY_KEY = "ends"
LATEST_EXPIRY_KEY = "latest"


@dataclass(frozen=True, slots=True)
class RecordedLease:
    """Lease expiry time of a worker, after which the worker runs no task.

    No owner issues a new lease to the worker while the expiry time is stored.

    Attributes:
        started_at_ms: Unix time of the worker's start in milliseconds; 0 if unknown.
        expires_at: Time in seconds at which the lease expires if no order that
            extends it is executed late.
        latest_expiry: Time in seconds at which the lease has expired in any case.
    """

    started_at_ms: int
    expires_at: float
    latest_expiry: float = 0.0

    def __post_init__(self) -> None:
        object.__setattr__(
            self, "latest_expiry", max(self.expires_at, self.latest_expiry)
        )


def encode_leases(
    leases: dict[WorkerId, RecordedLease], clock: StoreClock
) -> dict[str, Any]:
    """Return the stored form of leases, with times on the store's clock."""
    return {
        worker: {
            START_TIME_KEY: lease.started_at_ms,
            EXPIRY_KEY: clock.to_store_time(lease.expires_at),
            LATEST_EXPIRY_KEY: clock.to_store_time(lease.latest_expiry),
        }
        for worker, lease in leases.items()
    }


def decode_leases(
    document: dict[str, Any], clock: StoreClock
) -> dict[WorkerId, RecordedLease]:
    """Return the leases of a stored form, with times on the local clock.

    An earlier build stored only the expiry of leases whose orders are executed on time.
    """
    return {
        WorkerId(worker): RecordedLease(
            entry[START_TIME_KEY],
            clock.to_local_time(entry[EXPIRY_KEY]),
            clock.to_local_time(entry.get(LATEST_EXPIRY_KEY, entry[EXPIRY_KEY])),
        )
        for worker, entry in document.items()
    }
