"""The platform's list of instances."""

from enum import Enum

from pydantic import BaseModel, ConfigDict


class ListedState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceList(BaseModel):
    """Instances in the platform's list, which may lag behind the actual state."""

    model_config = ConfigDict(frozen=True)

    instances: dict[str, ListedState]
