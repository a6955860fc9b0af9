"""What control sees of the fleet besides the configuration."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class PoolDemand:
    """Demand for one pool over all zones.

    Attributes:
        slots: Slots of upstreams in service.
        free_slots: Slots not in use.
        waiting: Waiting requests.
        wait: Longest expected wait of a zone, in seconds.
    """

    slots: int = 0
    free_slots: int = 0
    waiting: int = 0
    wait: float = 0.0


@dataclass(slots=True)
class FleetObservations:
    """Reports of homes and answers of upstreams.

    Attributes:
        demands: Demand by pool.
        unreachable: Instances whose home cannot reach them.
        reported: Instances whose home reports, so that silence means health.
        gone: Instances missing from the platform's list for long enough.
        drained: Draining instances that refuse work and run nothing.
        rebooted: Rebooting instances that answer again.
    """

    demands: dict[str, PoolDemand] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    reported: set[str] = field(default_factory=set)
    gone: set[str] = field(default_factory=set)
    drained: set[str] = field(default_factory=set)
    rebooted: set[str] = field(default_factory=set)
