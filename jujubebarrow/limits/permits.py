"""Right to run one task of a team."""

from dataclasses import dataclass

from jujubebarrow.identifiers import TeamId


@dataclass(slots=True, eq=False)
class Permit:
    """Unit of a team's upper limit, held while a task may be running.

    Attributes:
        team: Team that it belongs to.
        loan: Loan that it was taken from, or None for the seat's own part.
    """

    team: TeamId
    loan: str | None
