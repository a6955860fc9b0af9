"""Pool as the operator configured it."""

from dataclasses import dataclass

from jujubebarrow.identifiers import PoolId


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolSpec:
    """Group of workers with one purpose.

    Attributes:
        pool: Pool.
        is_standby: Machines of the pool are off and cost nothing.
        guards_capacity: Workers refuse what does not fit.
        health_path: Path of the workers' own health answer.
    """

    pool: PoolId
    is_standby: bool = False
    guards_capacity: bool = False
    health_path: str = ""
