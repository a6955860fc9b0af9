"""Move of an instance between pools."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Move:
    """Planned move of an instance to another pool.

    Attributes:
        instance: Id of the instance to move.
        target: Pool that receives the instance.
        reason: Reason for the move, shown to operators.
    """

    instance: str
    target: str
    reason: str
