"""Result of a transaction on the platform's table."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitResult:
    """Revision of a committed transaction, or the rows whose condition failed.

    Attributes:
        revision: Revision of the table after the transaction; for a rejected one, the
            revision in the platform's response, or 0 if the response has none.
        nonces: Nonce of the last change to each row whose condition failed, by row
            key; empty if the transaction took effect.
        revisions: Revision of each of these rows, by row key; empty if the platform
            does not tell.
    """

    revision: int
    nonces: dict[str, str] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
