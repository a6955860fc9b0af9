"""Exception tree."""

from jujubebarrow.errors.answers import ANSWERS, Answer
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState


class JujubebarrowError(Exception):
    """Base of all errors of this package."""


class SettingsError(JujubebarrowError):
    """The settings file is invalid.

    Args:
        faults: One sentence for each fault.
    """

    def __init__(self, faults: list[str]):
        super().__init__("\n".join(faults))
        self.faults = faults


class RefusalError(JujubebarrowError):
    """A request or an operation was refused.

    Args:
        kind: Reason for the refusal.
        detail: What was seen; never a key or a secret.
        retry_after: Seconds after which a repeat makes sense.
        run: Overrides what the table says of the run.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        retry_after: float | None = None,
        run: RunState | None = None,
    ):
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind
        self.detail = detail
        self.retry_after = retry_after
        self.run = run or self.answer.run

    @property
    def answer(self) -> Answer:
        """Table entry of the error kind."""
        return ANSWERS[self.kind]


class StoreError(JujubebarrowError):
    """The store did not answer as it should.

    Args:
        detail: What was seen.
        may_have_applied: Whether a write may have taken effect or still may.
    """

    def __init__(self, detail: str, may_have_applied: bool = True):
        super().__init__(detail)
        self.may_have_applied = may_have_applied


class HistoryLostError(StoreError):
    """The store no longer has the changes since a revision."""

    def __init__(self, detail: str):
        super().__init__(detail, may_have_applied=False)


class TransactionConflictError(JujubebarrowError):
    """A condition of a transaction did not hold.

    Args:
        keys: Keys of the rows whose condition failed.
    """

    def __init__(self, keys: list[str]):
        super().__init__(", ".join(keys))
        self.keys = keys


class DispatchError(JujubebarrowError):
    """An upstream did not give a whole answer.

    Args:
        detail: What was seen.
        started: Whether the upstream may have started the work.
        timed_out: Whether the time for the answer ran out.
        refusal: The upstream's reason for not starting the work, or an empty
            text if it gave none.
    """

    def __init__(
        self,
        detail: str,
        started: bool,
        timed_out: bool = False,
        refusal: str = "",
    ):
        super().__init__(detail)
        self.started = started
        self.timed_out = timed_out
        self.refusal = refusal


class PeerLostError(JujubebarrowError):
    """The link to a peer failed.

    Args:
        peer: Address of the peer.
        sent: Whether the request may have reached the peer.
    """

    def __init__(self, peer: str, sent: bool):
        super().__init__(f"{peer}: request {'may have' if sent else 'not'} arrived")
        self.sent = sent
