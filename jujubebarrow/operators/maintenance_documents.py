"""Documents that describe maintenance waves to operators."""

from pydantic import BaseModel


class WaveStartRequest(BaseModel):
    """Maintenance wave to start, or to replace if a wave of that name exists.

    Attributes:
        pools: Pools whose instances are maintained; all pools if empty.
        failure_limit: Number of failed instances at which the wave pauses.
    """

    pools: list[str] = []
    failure_limit: int = 2


class WaveProgress(BaseModel):
    """Progress of a maintenance wave.

    Attributes:
        name: Name of the wave.
        total: Number of instances in the pools of the wave.
        done: Number of instances maintained since the wave started.
        paused: Whether the wave is paused and drains no further instances.
        remaining: Estimated time in seconds until the wave ends; None until the first
            instance is maintained.
    """

    name: str
    total: int
    done: int
    paused: bool
    remaining: float | None


class WaveList(BaseModel):
    """All maintenance waves."""

    waves: list[WaveProgress]
