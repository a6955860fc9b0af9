"""Fleet state observed by the controller, apart from the configuration."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class PoolDemand:
    """Demand for one pool, summed over all availability zones.

    Attributes:
        slots: Number of slots of the upstreams in service.
        free_slots: Number of unoccupied slots.
        waiting: Number of waiting requests.
        wait: Longest expected wait among the zones, in seconds.
    """

    slots: int = 0
    free_slots: int = 0
    waiting: int = 0
    wait: float = 0.0


@dataclass(slots=True)
class FleetObservations:
    """Observed demand by pool, and sets of instances by observed condition.

    Attributes:
        demands: Demand by pool name.
        unreachable: Instances that their home reports as unreachable.
        failed_with_report: Failed instances for which a home has sent a report. Such an
            instance is reachable again unless the report lists the instance as
            unreachable.
        terminated: Instances absent from the platform's instance list for at least
            the configured time.
        drained: Draining instances that refuse new work and run no task.
        rebooted: Rebooting instances that respond to probes and accept tasks again.
    """

    demands: dict[str, PoolDemand] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    failed_with_report: set[str] = field(default_factory=set)
    terminated: set[str] = field(default_factory=set)
    drained: set[str] = field(default_factory=set)
    rebooted: set[str] = field(default_factory=set)
