"""Answer of the platform's table to a transaction."""

from pydantic import BaseModel, ConfigDict


class CommitAnswer(BaseModel):
    """Revision of the transaction, or the rows whose condition failed.

    Attributes:
        revision: Revision of the table.
        nonces: Nonce of the last change of each row whose condition failed;
            empty if the transaction took effect.
    """

    model_config = ConfigDict(frozen=True)

    revision: int
    nonces: dict[str, str] = {}
