"""Decision on what becomes of a job after an attempt."""

from dataclasses import dataclass

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.homes.run_results import RunResult
from jujubebarrow.jobs.job_states import JobState

SERVER_ERROR_STATUS = 500
FINAL_KINDS = frozenset(
    {
        ErrorKind.NEVER_RUNS,
        ErrorKind.UNKNOWN_QUEUE,
        ErrorKind.KEY_WITHDRAWN,
    }
)
"""Refusals that no further attempt can change."""
SHORTEST_PAUSE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class JobVerdict:
    """Next step of a job.

    Attributes:
        state: Next state.
        reason: Sentence on it.
        pause: Seconds to wait before the next attempt.
        counted: Whether the next attempt needs a new claim.
    """

    state: JobState
    reason: str
    pause: float = 0.0
    counted: bool = False


def judge_result(result: RunResult, attempts: int, limit: int) -> JobVerdict:
    """Decide after a whole answer.

    Args:
        result: Answer.
        attempts: Attempts made.
        limit: Most attempts.
    """
    if result.status < SERVER_ERROR_STATUS:
        return JobVerdict(JobState.DONE, f"answered with status {result.status}")
    reason = f"attempt {attempts} failed with status {result.status}"
    if attempts >= limit:
        return JobVerdict(JobState.FAILED, reason)
    pause = SHORTEST_PAUSE_SECONDS * 2**attempts
    return JobVerdict(JobState.ACCEPTED, reason, pause, counted=True)


def judge_refusal(
    error: RefusalError, idempotent: bool, attempts: int, limit: int, lease: float
) -> JobVerdict:
    """Decide after a refusal or a lost answer.

    Args:
        error: Refusal.
        idempotent: Whether the queue allows a second run.
        attempts: Attempts made.
        limit: Most attempts.
        lease: Seconds after which an earlier run has certainly ended.
    """
    reason = f"attempt {attempts}: {error}"
    if error.kind in FINAL_KINDS:
        return JobVerdict(JobState.FAILED, reason)
    if error.run is RunState.NOT_RUN or error.kind is ErrorKind.IN_PROGRESS:
        pause = max(SHORTEST_PAUSE_SECONDS, error.retry_after or 0.0)
        return JobVerdict(JobState.ACCEPTED, reason, pause)
    if error.kind is ErrorKind.PEER_LOST:
        # The claim tells what became of it.
        return JobVerdict(JobState.ACCEPTED, reason, SHORTEST_PAUSE_SECONDS)
    if not idempotent:
        return JobVerdict(JobState.UNKNOWN, reason)
    if attempts >= limit:
        return JobVerdict(JobState.FAILED, reason)
    return JobVerdict(JobState.ACCEPTED, reason, lease, counted=True)
