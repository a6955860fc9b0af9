"""Kinds of calls that share an instance's network link."""

from enum import Enum


class TrafficKind(Enum):
    """Purpose of a call.

    Attributes:
        START: Order to a worker to start a run.
        START_RELAY: Start orders that another instance sends for this one.
        ORDER: Any other order to a worker.
        RENEWAL: Lease renewal, to which a worker responds with its report.
        STORE_READ: Read of rows.
        STORE_CHANGES: Request for changed rows.
        STORE_WRITE: Transaction.
        RELAY: Call to the store that another instance executes for this one.
        PEER: Call that this instance executes for another one.
        CALLER: Call of a caller.
        OTHER: Any other call.
    """

    START = "start"
    START_RELAY = "start-relay"
    ORDER = "order"
    RENEWAL = "renewal"
    STORE_READ = "store-read"
    STORE_CHANGES = "store-changes"
    STORE_WRITE = "store-write"
    RELAY = "relay"
    PEER = "peer"
    CALLER = "caller"
    OTHER = "other"
