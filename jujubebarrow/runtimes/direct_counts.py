"""Result of a count of a queue's rows."""

from dataclasses import dataclass

from jujubebarrow.errors.exceptions import StoreError


@dataclass(frozen=True, slots=True)
class DirectCount:
    """Result of a count, which concurrent callers share.

    Attributes:
        started_at: Monotonic time in seconds at which the count began.
        ended_at: Monotonic time in seconds at which the count ended.
        pending: Number of pending jobs, or the failure of the store.
    """

    started_at: float
    ended_at: float
    pending: int | StoreError

    def is_usable(self, asked_at: float, now: float, age_limit: float) -> bool:
        """Return whether the result answers a caller.

        A failure answers only the callers that waited for it.

        Args:
            asked_at: Monotonic time in seconds at which the caller asked.
            now: Monotonic time in seconds.
            age_limit: Age in seconds up to which a number is used.
        """
        if isinstance(self.pending, StoreError):
            return asked_at <= self.ended_at
        return now - self.started_at <= age_limit

    def get_pending(self) -> int:
        """Return the number of pending jobs.

        Raises:
            StoreError: The store did not answer.
        """
        if isinstance(self.pending, StoreError):
            raise self.pending
        return self.pending
