"""Record of a queue."""

from pydantic import Field

from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.configurations.record_bases import Name, Record


class Queue(Record):
    """Kind of request and the pool that runs it.

    Attributes:
        pool: Pool that runs the requests.
        open: Whether requests need no key.
        idempotent: Whether a request may run more than once.
        teams: Teams that may use the queue; all if empty.
        priority: Order among the queues of a pool.
        run_time: First guess of the run time, in seconds.
        cores: Processor cores that a request needs on one instance.
        job_target: Seconds that a job may take beyond its work to be in time.
        job_stretch: Factor of a job's longest chain of work within that time.
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
