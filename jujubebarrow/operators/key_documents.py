"""Documents for granting keys to teams."""

from pydantic import BaseModel


class GrantedKey(BaseModel):
    """New key; only this response contains the key itself.

    Attributes:
        key: Key that callers of the team send.
        digest: Digest that is stored in place of the key.
        team: Team that owns the key.
    """

    key: str
    digest: str
    team: str


class KeyRequest(BaseModel):
    """Request for a new key.

    Attributes:
        team: Team that gets the key.
    """

    team: str
