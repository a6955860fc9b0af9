"""Operators' actions on instances."""

from pydantic import BaseModel


class InstanceAction(BaseModel):
    """Action that an operator requests for an instance.

    Attributes:
        action: One of drain, resume, move.
        target: Pool to which the instance moves; None for other actions.
        reason: Reason that is stored with the instance.
    """

    action: str
    target: str | None = None
    reason: str = "operator"
