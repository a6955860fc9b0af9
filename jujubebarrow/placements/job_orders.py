"""Order in which jobs are placed."""

from jujubebarrow.coordinators.job_ledgers import JobLedger

LATE_FACTOR = 3.0
"""Objectives after which a job is worth nothing more to its caller."""


def estimate_chain(job: JobLedger) -> float:
    """Return the estimated time in seconds of a job's longest chain of steps."""
    longest: list[float] = []
    for step in job.record.steps:
        before = max((longest[number] for number in step.after), default=0.0)
        longest.append(before + step.estimate)
    return max(longest, default=0.0)


def objective(job: JobLedger) -> float:
    """Return the time in seconds in which a job should be completed."""
    record = job.record
    return record.stretch * estimate_chain(job) + record.target


def order_key(job: JobLedger, now: float) -> tuple[int, float]:
    """Return the sort key of a job; the lowest is placed first.

    Long-running jobs come first, as they are few and meant to be always there.
    Then jobs that can still be in time, the most urgent first; then jobs that
    are late but not yet worthless; then the rest, oldest first.

    Args:
        job: Job.
        now: Time in seconds on the clock of ``known_at``.
    """
    if job.record.is_long_running:
        return 0, job.known_at
    limit = objective(job)
    age = now - job.known_at
    if age <= limit:
        return 1, job.known_at + limit
    if age <= LATE_FACTOR * limit:
        return 2, job.known_at + LATE_FACTOR * limit
    return 3, job.known_at
