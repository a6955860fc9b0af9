"""Base of all records."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class Record(BaseModel):
    """Base of all records."""

    model_config = ConfigDict(extra="forbid", frozen=True)
