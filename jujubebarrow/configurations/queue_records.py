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
    """

    pool: Name
    open: bool = False
    idempotent: bool = True
    teams: list[Name] = []
    priority: Priority = Priority.INTERACTIVE
    run_time: float = Field(0.1, gt=0)
    cores: int = Field(1, ge=1)
