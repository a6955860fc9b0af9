"""Move of an instance between pools."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Move:
    """Instance, the pool that it goes to, and why."""

    instance: str
    target: str
    reason: str
