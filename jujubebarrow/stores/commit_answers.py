"""Answer of the platform's table to a transaction."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitAnswer:
    """Revision of the transaction, or the rows whose condition failed.

    Attributes:
        revision: Revision of the table.
        nonces: Nonce of the last change of each row whose condition failed;
            empty if the transaction took effect.
    """

    revision: int
    nonces: dict[str, str] = field(default_factory=dict)
