"""Base class of the configuration records."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class Record(BaseModel):
    """Base class of the configuration records."""

    model_config = ConfigDict(extra="forbid", frozen=True)
