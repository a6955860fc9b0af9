"""Maintenance waves as operators see them."""

from pydantic import BaseModel


class WaveRequest(BaseModel):
    """Maintenance wave to start or change."""

    pools: list[str] = []
    failure_limit: int = 2


class WaveProgress(BaseModel):
    """Progress of a maintenance wave.

    Attributes:
        name: Name of the wave.
        total: Instances of its pools.
        done: Instances maintained since its start.
        paused: Whether it takes no further instance.
        remaining: Foretold seconds to its end; None before the first is done.
    """

    name: str
    total: int
    done: int
    paused: bool
    remaining: float | None


class WaveList(BaseModel):
    """All maintenance waves."""

    waves: list[WaveProgress]
