"""Operator's configuration of a pool."""

from dataclasses import dataclass

from jujubebarrow.identifiers import PoolId


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolSpec:
    """Configuration of a pool, a group of workers with one purpose.

    Attributes:
        pool: Id of the pool.
        is_standby: Whether the pool's machines are switched off and cost nothing.
        enforces_capacity: Whether the workers refuse tasks that exceed their capacity.
        health_path: Path of the workers' own health check.
    """

    pool: PoolId
    is_standby: bool = False
    enforces_capacity: bool = False
    health_path: str = ""
