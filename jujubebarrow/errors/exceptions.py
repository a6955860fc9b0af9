"""Exception classes of this package."""

from jujubebarrow.errors.error_responses import (
    CONTENT_KINDS,
    ERROR_RESPONSES,
    ErrorResponse,
)
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.identifiers import QueueId


class JujubebarrowError(Exception):
    """Base class of all errors of this package."""


class SettingsError(JujubebarrowError):
    """The settings are invalid.

    Args:
        faults: Description of each invalid setting.
    """

    def __init__(self, faults: list[str]):
        super().__init__("\n".join(faults))
        self.faults = faults


class RefusalError(JujubebarrowError):
    """A request or an operation was refused.

    Args:
        kind: Kind of the error.
        detail: Value or condition that caused the refusal; never a key or a secret.
        retry_after: Time in seconds after which the caller may retry.
        run: State of the run; None for the default state of the error kind.

    Attributes:
        is_claimed: Whether the refused attempt held the claim of its request, so that
            no earlier attempt has run.
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
        self.run = run or self.response.run
        self.is_claimed = False

    @property
    def holds_for_all_attempts(self) -> bool:
        """Whether the run is known of all attempts, not of the refused one alone."""
        is_refused = self.run is RunState.NOT_RUN
        return not is_refused or self.is_claimed or self.kind in CONTENT_KINDS

    @property
    def response(self) -> ErrorResponse:
        """Response to the caller for the error kind."""
        return ERROR_RESPONSES[self.kind]


class StoreError(JujubebarrowError):
    """A call to the store failed or returned an invalid response.

    Args:
        detail: Cause of the failure.
        may_have_applied: Whether a write may have been applied or may still be
            applied.
        attempts: Result of each failed attempt, oldest first, with the path that it
            took; empty for a single attempt.
    """

    def __init__(
        self,
        detail: str,
        may_have_applied: bool = True,
        attempts: tuple[str, ...] = (),
    ):
        super().__init__(detail)
        self.may_have_applied = may_have_applied
        self._attempts = attempts

    @property
    def attempts(self) -> tuple[str, ...]:
        """Result of each failed attempt, oldest first."""
        return self._attempts or (str(self),)


class NoDirectPathError(StoreError):
    """This instance has no direct path to the store, and relays no calls."""


class RelayedStoreError(StoreError):
    """A call to the store failed on the instance that relayed it.

    Args:
        detail: Cause of the failure.
        may_have_applied: Whether a write may have been applied.
        has_path: Whether the other instance has a direct path to the store.
    """

    def __init__(self, detail: str, may_have_applied: bool, has_path: bool):
        super().__init__(detail, may_have_applied)
        self.has_path = has_path


class InvalidCallError(StoreError):
    """The store refuses a call for its content; a repeat would be refused as well.

    Args:
        detail: Cause of the refusal.
    """

    def __init__(self, detail: str):
        super().__init__(detail, may_have_applied=False)


class SlowResponseError(StoreError):
    """Only a part of the store's response arrived within the timeout.

    The store is reachable, but the response was too large for the network link.

    Args:
        detail: Cause of the failure.
        received_bytes: Size of the part that arrived.
    """

    def __init__(self, detail: str, received_bytes: int):
        super().__init__(detail)
        self.received_bytes = received_bytes


class HistoryLostError(StoreError):
    """The store no longer retains all changes since the requested revision."""

    def __init__(self, detail: str):
        super().__init__(detail, may_have_applied=False)


class QueueLoadError(StoreError):
    """The stored jobs of a queue could not be loaded.

    Args:
        queue: Queue whose jobs could not be loaded.
        detail: Cause of the failure.
    """

    def __init__(self, queue: QueueId, detail: str):
        super().__init__(detail)
        self.queue = queue


class TransactionConflictError(JujubebarrowError):
    """A transaction was rejected because a condition on a row failed.

    Args:
        keys: Keys of the rows whose conditions failed.
    """

    def __init__(self, keys: list[str]):
        super().__init__(", ".join(keys))
        self.keys = keys


class DispatchError(JujubebarrowError):
    """An upstream did not return a complete response.

    Args:
        detail: Cause of the failure.
        may_have_started: Whether the upstream may have started the task.
        timed_out: Whether the response timed out.
        refusal: Reason for which the upstream refused the task, or an empty string if
            the upstream gave no reason.
    """

    def __init__(
        self,
        detail: str,
        may_have_started: bool,
        timed_out: bool = False,
        refusal: str = "",
    ):
        super().__init__(detail)
        self.may_have_started = may_have_started
        self.timed_out = timed_out
        self.refusal = refusal


class PeerLostError(JujubebarrowError):
    """A request to a peer failed because of the peer link.

    Args:
        peer: Address or instance id of the peer.
        may_have_arrived: Whether the request may have reached the peer.
    """

    def __init__(self, peer: str, may_have_arrived: bool):
        super().__init__(
            f"{peer}: request {'may have arrived' if may_have_arrived else 'not sent'}"
        )
        self.may_have_arrived = may_have_arrived
