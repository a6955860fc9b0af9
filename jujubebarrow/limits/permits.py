"""Permit to run one task of a team."""

from dataclasses import dataclass

from jujubebarrow.identifiers import TeamId


@dataclass(slots=True, eq=False)
class Permit:
    """Unit of a team's upper limit, in use while a task may be running.

    Attributes:
        team: Team whose limit the unit counts against.
        loan_id: Id of the loan that the unit belongs to, or None if the unit belongs to
            the instance's own quota.
    """

    team: TeamId
    loan_id: str | None
