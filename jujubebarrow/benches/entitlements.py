"""Each team's fair part of a full pool."""


def entitle(
    asked: dict[str, float], shares: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min fair parts of a capacity.

    Args:
        asked: What each team asks for.
        shares: Weight of each team.
        capacity: What there is.
    """
    parts: dict[str, float] = {}
    open_teams = {team for team, amount in asked.items() if amount > 0}
    rest = capacity
    while open_teams:
        total = sum(shares[team] for team in open_teams)
        content = {
            team for team in open_teams if asked[team] <= rest * shares[team] / total
        }
        if not content:
            parts |= {team: rest * shares[team] / total for team in open_teams}
            break
        for team in content:
            parts[team] = asked[team]
        rest -= sum(asked[team] for team in content)
        open_teams -= content
    return parts
