"""Record of a queue."""

from pydantic import Field

from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.configurations.record_bases import Name, Record


class Queue(Record):
    """Queue: a type of request and the pool that runs the requests.

    Attributes:
        pool: Name of the pool that runs the requests.
        open: Whether the queue accepts requests without a key.
        idempotent: Whether a request may run more than once.
        teams: Names of the teams that may use the queue; empty for all teams.
        priority: Priority of the queue within the pool.
        run_time: Initial estimate of the run time of a request, in seconds.
        cores: Processor cores that one request needs on an instance.
        job_target: Fixed part of the time within which a job must finish to be in time,
            in seconds.
        job_stretch: Factor of the other part of that time, which is the estimated
            duration of the job's longest chain of work.
    """

    pool: Name
    open: bool = False
    idempotent: bool = True
    teams: list[Name] = []
    priority: Priority = Priority.INTERACTIVE
    run_time: float = Field(0.1, gt=0)
    cores: int = Field(1, ge=1)
    job_target: float = Field(1.0, ge=0)
    job_stretch: float = Field(2.0, ge=1)
