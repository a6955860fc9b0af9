"""Base class of the messages on peer links."""

from pydantic import BaseModel, ConfigDict


class Message(BaseModel):
    """Immutable message; unknown fields make a received message invalid."""

    model_config = ConfigDict(extra="forbid", frozen=True)
