"""Order in which jobs are placed.

The order is made for overload: the queues have their demand peaks in turn, and at its
peak a queue requests several times the capacity of its pool. First-come-first-served
and earliest-objective-first scheduling then finish nearly every job too late. Here the
jobs that can still meet their objective are placed first, and among these the jobs with
the highest value per remaining work.
"""

from typing import NamedTuple

from jujubebarrow.coordinators.job_progresses import JobProgress

LATE_FACTOR = 3.0
"""Multiple of the objective after which a job has no value for its caller."""
LATE_VALUE_SHARE = 0.07
"""Value of a late job relative to the same job in time; from the queues' contract."""
FIXED_VALUE_SHARE = 0.3
"""Share of the mean value that each job has regardless of its work; the rest of a
job's value is proportional to its work."""

IN_TIME_GROUP = 1
"""Group of the jobs that can still meet their objective."""


class JobRank(NamedTuple):
    """Sort key of a job; the lowest is placed first.

    Attributes:
        group: 0 for jobs with a long-running step, which may wait for finite steps of
            the job, 1 for jobs that can still meet their objective,
            2 for jobs that can only finish late but still have a value, 3 for the rest.
        negated_value_density: Value of the job per remaining work, negated.
        accepted_at: Time in seconds at which the job was accepted.
    """

    group: int
    negated_value_density: float
    accepted_at: float


class JobOrder:
    """Ranks jobs by group and, within a group, by their value per remaining work.

    The mean work of a queue's jobs is computed from the recorded jobs.
    """

    def __init__(self) -> None:
        self._totals: dict[str, tuple[int, float]] = {}

    def record_job(self, job: JobProgress) -> None:
        """Include a job's work in the mean of its queue."""
        count, total = self._totals.get(job.record.queue, (0, 0.0))
        self._totals[job.record.queue] = (count + 1, total + job.estimated_work)

    def rank(self, job: JobProgress, now: float) -> JobRank:
        """Return the sort key of a job.

        Args:
            job: Progress of the job.
            now: Time in seconds on the clock of ``accepted_at``.
        """
        if job.is_long_running:
            return JobRank(0, 0.0, job.accepted_at)
        remaining_chain, remaining_work = job.estimate_remaining()
        objective = job.objective
        age = now - job.accepted_at
        density = self._estimate_value(job) / max(remaining_work, 0.01)
        if age + remaining_chain <= objective:
            return JobRank(IN_TIME_GROUP, -density, job.accepted_at)
        if age + remaining_chain <= LATE_FACTOR * objective:
            return JobRank(2, -density * LATE_VALUE_SHARE, job.accepted_at)
        return JobRank(3, -density, job.accepted_at)

    def _estimate_value(self, job: JobProgress) -> float:
        count, total = self._totals.get(job.record.queue, (0, 0.0))
        mean = total / count if count and total else 1.0
        return (
            FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * job.estimated_work / mean
        ) * mean
