"""Base class of the messages on peer links."""

from pydantic import BaseModel, ConfigDict


class Message(BaseModel):
    """Base class of the messages on peer links."""

    model_config = ConfigDict(extra="forbid", frozen=True)
