"""Stored grants of one team: the part of its upper limit that each pool has."""

from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct, convert

from jujubebarrow.identifiers import PoolId
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources

POOLS_KEY = "pools"
WAITING_KEY = "waiting"


@dataclass(frozen=True, slots=True)
class PoolGrant:
    """Grant of one pool.

    Attributes:
        token: Fencing token of the pool's owner that stored the grant.
        granted: Part of the team's upper limit.
    """

    token: FenceToken
    granted: Resources


class _StoredGrants(Struct):
    # Fencing token and amounts of each pool's grant.
    pools: dict[str, tuple[int, int, int, int]] = {}
    waiting: list[str] = []


@dataclass(frozen=True, slots=True)
class GrantRow:
    """Grants of one team.

    Attributes:
        pools: Grant of each pool.
        waiting: Pools that have a startable run for which too little is left of the
            team's upper limit; the other pools release what they do not use.
    """

    pools: dict[PoolId, PoolGrant] = field(default_factory=dict)
    waiting: frozenset[PoolId] = frozenset()

    @classmethod
    def from_document(cls, document: dict[str, Any] | None) -> "GrantRow":
        """Decode a stored row; a missing row has no grants.

        Raises:
            ValidationError: From msgspec; the document is not a valid row.
        """
        stored = convert(document or {}, _StoredGrants)
        pools = {
            PoolId(pool): PoolGrant(FenceToken(entry[0]), Resources(*entry[1:]))
            for pool, entry in stored.pools.items()
        }
        return cls(pools, frozenset(map(PoolId, stored.waiting)))

    def to_document(self) -> dict[str, Any]:
        """Return the stored form."""
        document: dict[str, Any] = {
            POOLS_KEY: {
                pool: [grant.token, *grant.granted]
                for pool, grant in self.pools.items()
            }
        }
        if self.waiting:
            document[WAITING_KEY] = sorted(self.waiting)
        return document

    def sum_other_grants(self, pool: PoolId) -> Resources:
        """Return the sum of the grants of all pools but one."""
        total = NO_RESOURCES
        for other, grant in self.pools.items():
            if other != pool:
                total = total.plus(grant.granted)
        return total

    def is_awaited_by_others(self, pool: PoolId) -> bool:
        """Return whether another pool waits for a part of the upper limit."""
        return bool(self.waiting - {pool})

    def replace_pool(
        self, pool: PoolId, grant: PoolGrant, is_waiting: bool
    ) -> "GrantRow":
        """Return the row with a changed grant of one pool."""
        waiting = self.waiting | {pool} if is_waiting else self.waiting - {pool}
        return GrantRow(self.pools | {pool: grant}, waiting)
