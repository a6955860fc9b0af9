"""Presets as operators see them."""

from pydantic import BaseModel


class PresetRequest(BaseModel):
    """Preset to put in force."""

    preset: str


class PoolPlan(BaseModel):
    """Effect of a preset on one pool."""

    pool: str
    size: int
    wanted: int
    unavailable: int
    unavailable_limit: int


class PresetPlan(BaseModel):
    """Effect of a preset."""

    preset: str
    in_force: bool
    maintenance: bool
    moves: bool
    pools: list[PoolPlan]
