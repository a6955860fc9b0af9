"""Actions on instances."""

from pydantic import BaseModel


class InstanceAction(BaseModel):
    """What an operator wants of an instance.

    Attributes:
        action: One of drain, resume, move.
        target: Pool to move to.
        reason: Sentence that is kept with the instance.
    """

    action: str
    target: str | None = None
    reason: str = "operator"
