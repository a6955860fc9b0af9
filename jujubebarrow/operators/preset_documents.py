"""Documents that describe presets to operators."""

from pydantic import BaseModel


class PresetRequest(BaseModel):
    """Request to put a preset in force.

    Attributes:
        preset: Name of the preset.
    """

    preset: str


class PoolPlan(BaseModel):
    """Effect of a preset on one pool.

    Attributes:
        pool: Name of the pool.
        size: Current number of instances.
        wanted: Number of instances that the preset requests.
        unavailable: Number of instances out of service.
        unavailable_limit: Largest allowed number of instances out of service.
    """

    pool: str
    size: int
    wanted: int
    unavailable: int
    unavailable_limit: int


class PresetPlan(BaseModel):
    """Effect of a preset on the fleet.

    Attributes:
        preset: Name of the preset.
        in_force: Whether the preset is in force.
        maintenance: Whether maintenance waves may drain instances under the preset.
        moves: Whether instances may move between pools on demand under the preset.
        pools: Effect on each pool.
    """

    preset: str
    in_force: bool
    maintenance: bool
    moves: bool
    pools: list[PoolPlan]
