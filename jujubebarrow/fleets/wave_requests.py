"""Maintenance that the operator asks for."""

from dataclasses import dataclass

from jujubebarrow.workloads.identifiers import MachineId


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveRequest:
    """Machines that are due for maintenance.

    Attributes:
        wave: Number of the wave.
        machines: Machines to maintain once each.
        duration: Time in seconds until all must have begun.
        most_at_once: Most machines down for it at a time.
    """

    wave: int
    machines: tuple[MachineId, ...]
    duration: float
    most_at_once: int
