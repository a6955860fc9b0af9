"""Base of all messages on peer links."""

from pydantic import BaseModel, ConfigDict


class Message(BaseModel):
    """Base of all messages."""

    model_config = ConfigDict(extra="forbid", frozen=True)
