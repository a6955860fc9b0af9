"""Order in which jobs are placed.

Answers a load above what a pool can do: each queue asks in turn for several times
its pool's capacity. First come, first served, or the earliest objective first, then
finishes nearly every job too late; here the jobs that can still be in time come
first, those that give most for the work left before others.
"""

from typing import NamedTuple

from jujubebarrow.coordinators.job_ledgers import JobLedger

LATE_FACTOR = 3.0
"""Objectives after which a job is worth nothing more to its caller."""
LATE_VALUE_SHARE = 0.07
"""Worth of a late job, as a share of one in time; from the queues' contract."""
FIXED_VALUE_SHARE = 0.3
"""Worth of any job as a share of the mean; the rest grows with its work."""


class JobRank(NamedTuple):
    """Sort key of a job; the lowest is placed first.

    Attributes:
        group: 0 for long-running jobs, 1 for jobs that can be in time, 2 for jobs
            that can be late, 3 for the rest.
        negated_value_density: Worth of the job for the work left, negated.
        accepted_at: Time at which it became known in seconds.
    """

    group: int
    negated_value_density: float
    accepted_at: float


class JobOrder:
    """Ranks jobs by what their work is worth.

    The mean work of a queue's jobs is learned from the jobs seen.
    """

    def __init__(self) -> None:
        self._totals: dict[str, tuple[int, float]] = {}

    def record_job(self, job: JobLedger) -> None:
        """Take a job's size into the mean of its queue."""
        count, total = self._totals.get(job.record.queue, (0, 0.0))
        self._totals[job.record.queue] = (count + 1, total + estimate_work(job))

    def rank(self, job: JobLedger, now: float) -> JobRank:
        """Return a job's sort key.

        Args:
            job: Job.
            now: Time in seconds on the clock of ``accepted_at``.
        """
        if job.record.is_long_running:
            return JobRank(0, 0.0, job.accepted_at)
        chain, left = job.remaining()
        limit = objective(job)
        age = now - job.accepted_at
        density = self._estimate_value(job) / max(left, 0.01)
        if age + chain <= limit:
            return JobRank(1, -density, job.accepted_at)
        if age + chain <= LATE_FACTOR * limit:
            return JobRank(2, -density * LATE_VALUE_SHARE, job.accepted_at)
        return JobRank(3, -density, job.accepted_at)

    def _estimate_value(self, job: JobLedger) -> float:
        count, total = self._totals.get(job.record.queue, (0, 0.0))
        mean = total / count if count and total else 1.0
        return (
            FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * estimate_work(job) / mean
        ) * mean


def estimate_work(job: JobLedger) -> float:
    """Return a job's estimated work in core-seconds."""
    return sum(
        step.count * step.needs.cpu / 1000 * step.estimate for step in job.record.steps
    )


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
