"""Keys as operators see them."""

from pydantic import BaseModel


class GrantedKey(BaseModel):
    """New key, shown this once."""

    key: str
    digest: str
    team: str


class KeyRequest(BaseModel):
    """Team that gets a new key."""

    team: str
