"""Computes how much of a team's upper limit a pool should reserve."""

from collections.abc import Sequence
from typing import NamedTuple

from jujubebarrow.workloads.resources import NO_RESOURCES, Resources

LIMIT_CHUNK_COUNT = 12
"""Number of chunks in which a team's limit is granted while no other pool waits; more
chunks would cause more writes."""


class GrantRequest(NamedTuple):
    """Runs that could start if the grant were larger.

    Attributes:
        needs: Resources of one run, or of a gang.
        count: Number of such runs.
    """

    needs: Resources
    count: int


class GrantPlan(NamedTuple):
    """Grant that a pool should have.

    Attributes:
        granted: Part of the team's upper limit. Never less than what the pool uses,
            even if the limit has become lower, so that other pools count all its runs.
        usable: Part up to which the pool may start runs.
        is_waiting: Whether too little is left for each of the requested runs.
    """

    granted: Resources
    usable: Resources
    is_waiting: bool


def plan_grant(
    limit: Resources,
    other_grants: Resources,
    used: Resources,
    requests: Sequence[GrantRequest],
    is_awaited: bool,
) -> GrantPlan:
    """Return the grant that a pool should have.

    A pool for whose runs too little is left keeps only what it uses. Otherwise two
    pools could each hold a part that is too small for a run of either.

    Args:
        limit: Upper limit of the team; 0 means no limit.
        other_grants: Sum of the team's grants in the other pools.
        used: Resources of the team's runs that may be active in this pool.
        requests: Runs that could start beyond the present grant.
        is_awaited: Whether another pool waits for a part of the limit; the grant then
            has no headroom.
    """
    available = limit.minus(other_grants)
    # A run that is larger than the whole limit can never start.
    requests = [
        request for request in requests if fits_limit(request.needs, limit, limit)
    ]
    is_waiting = bool(requests) and not any(
        fits_limit(used.plus(request.needs), available, limit) for request in requests
    )
    requested = NO_RESOURCES
    if not is_waiting:
        for request in requests:
            requested = requested.plus(request.needs.times(request.count))
    granted, usable = [], []
    for total, left, active, extra in zip(
        limit, available, used, requested, strict=True
    ):
        target = active + extra
        if not is_awaited and not is_waiting:
            target = _round_up(total, target, bool(extra))
        usable.append(max(0, min(target, left)) if total else 0)
        granted.append(max(active, usable[-1]) if total else 0)
    return GrantPlan(Resources(*granted), Resources(*usable), is_waiting)


def _round_up(total: int, target: int, has_headroom: bool) -> int:
    chunk = -(-total // LIMIT_CHUNK_COUNT)
    if not chunk:
        return 0
    return -(-(target + chunk * has_headroom) // chunk) * chunk


def fits_limit(amount: Resources, available: Resources, limit: Resources) -> bool:
    """Return whether an amount fits in what is available of a limit.

    Args:
        amount: Resources that are checked.
        available: Available part of each resource of the limit.
        limit: Upper limit of the team; a resource whose limit is 0 is not limited.
    """
    return all(
        not upper or part <= left
        for part, left, upper in zip(amount, available, limit, strict=True)
    )
