"""Division of a pool's capacity among the teams by weighted max-min fairness."""


def compute_entitlements(
    demands: dict[str, float], shares: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the capacity that each team is entitled to.

    A team gets at most its demand. Capacity that a team does not need is divided among
    the other teams in proportion to their shares.

    Args:
        demands: Demand of each team.
        shares: Share of each team, its weight in the division.
        capacity: Total capacity, in the unit of the demands.
    """
    entitlements: dict[str, float] = {}
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
