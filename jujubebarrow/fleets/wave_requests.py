"""Maintenance waves requested by the operator."""

from dataclasses import dataclass

from jujubebarrow.workloads.identifiers import MachineId


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveRequest:
    """Maintenance wave: machines to maintain within a given time.

    Attributes:
        wave: Number of the wave.
        machines: Machines to maintain, each exactly once.
        duration: Time in seconds within which the maintenance of all machines must
            have started.
        max_concurrent: Maximum number of machines down for the wave at the same time.
    """

    wave: int
    machines: tuple[MachineId, ...]
    duration: float
    max_concurrent: int
