"""Estimated sizes of messages to workers and other instances."""

START_BYTES = 330
"""Size of a start order with its headers, without its payload."""
RELAYED_START_BYTES = 110
"""Size of each start order in a relayed batch."""
RELAY_CALL_BYTES = 300
"""Size of a relayed batch without its orders and payload."""


def estimate_start_bytes(payload: str) -> int:
    """Return the size of a start order."""
    return START_BYTES + len(payload)


def estimate_batch_bytes(payload: str, count: int) -> int:
    """Return the size of a relayed batch of start orders of one job."""
    return RELAY_CALL_BYTES + len(payload) + count * RELAYED_START_BYTES
