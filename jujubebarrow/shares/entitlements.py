"""Division of a pool's capacity among the teams by weighted max-min fairness."""

from collections.abc import Mapping
from typing import TypeVar

TeamName = TypeVar("TeamName", bound=str)


def compute_entitlements(
    demands: Mapping[TeamName, float],
    shares: Mapping[TeamName, float],
    capacity: float,
) -> dict[TeamName, float]:
    """Return the capacity that each team is entitled to.

    A team gets at most its demand. Capacity that a team does not need is divided among
    the other teams in proportion to their shares.

    Args:
        demands: Demand of each team.
        shares: Share of each team, its weight in the division.
        capacity: Total capacity, in the unit of the demands.
    """
    entitlements: dict[TeamName, float] = {}
    unsatisfied = {team for team, amount in demands.items() if amount > 0}
    remaining = capacity
    while unsatisfied:
        total_share = sum(shares[team] for team in unsatisfied)
        satisfied = {
            team
            for team in unsatisfied
            if demands[team] <= remaining * shares[team] / total_share
        }
        if not satisfied:
            entitlements |= {
                team: remaining * shares[team] / total_share for team in unsatisfied
            }
            break
        for team in satisfied:
            entitlements[team] = demands[team]
        remaining -= sum(demands[team] for team in satisfied)
        unsatisfied -= satisfied
    return entitlements
