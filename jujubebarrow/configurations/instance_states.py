"""States of an instance in the fleet."""

from enum import Enum


class InstanceState(Enum):
    """State of an instance, written only by operators and the control loop."""

    SERVING = "serving"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    FAILED = "failed"
    LEAVING = "leaving"


AVAILABLE_STATES = frozenset({InstanceState.SERVING})
