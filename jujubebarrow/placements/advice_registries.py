"""Placement advice: decisions of a service on which workers a step may run.

Tasks of some queues need a grant of the service for their worker. The start order
presents the ticket, which is the text of the grant, to the worker.
"""

from dataclasses import dataclass, field

from jujubebarrow.fleets.advice_options import AdviceOptions
from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.workloads.identifiers import WorkerId, WorkerIncarnation

StepKey = tuple[JobId, int, int]
"""Job, occurrence and number of a step."""

TICKET_MARGIN_SECONDS = 0.4
"""Remaining validity below which a grant is not used: the run has to be stored and its
start has to reach the worker before the grant expires."""
SPARE_WORKERS_COUNT = 3
"""Workers requested in addition to the number of tasks, because the service refuses
some workers."""
WORKERS_PER_REQUEST_LIMIT = 30
"""Maximum number of workers in one request; each worker lengthens the response time."""


@dataclass(slots=True)
class _StepAdvice:
    tickets: dict[WorkerIncarnation, tuple[str, float]] = field(default_factory=dict)
    refused: set[WorkerId] = field(default_factory=set)


class AdviceRegistry:
    """Grants of the advice service and the steps that wait for grants."""

    def __init__(self) -> None:
        self._options: dict[QueueId, AdviceOptions] = {}
        self._steps: dict[StepKey, _StepAdvice] = {}
        self._requested: dict[StepKey, int] = {}

    def set_options(self, options: dict[QueueId, AdviceOptions]) -> None:
        """Replace the options of the queues that need advice."""
        self._options = options

    def is_needed(self, queue: QueueId) -> bool:
        """Return whether tasks of a queue need a grant."""
        return queue in self._options

    def validity(self, queue: QueueId) -> float:
        """Return the seconds for which a new grant of a queue is valid."""
        return self._options[queue].ticket_validity

    def expected_response_time(self, queue: QueueId, worker_count: int) -> float:
        """Return the expected response time in seconds for a number of workers."""
        options = self._options[queue]
        return options.base_latency + worker_count * options.latency_per_worker

    def find_ticket(
        self, step: StepKey, incarnation: WorkerIncarnation, now: float
    ) -> str:
        """Return the ticket of a valid grant; empty if there is none."""
        advice = self._steps.get(step)
        if advice is None:
            return ""
        ticket, expires_at = advice.tickets.get(incarnation, ("", 0.0))
        return ticket if now < expires_at - TICKET_MARGIN_SECONDS else ""

    def add_request(self, step: StepKey, task_count: int) -> None:
        """Request grants for the waiting tasks of a step.

        Replaces an earlier request for the step that was not popped yet.
        """
        self._requested[step] = task_count

    def pop_requested(self) -> dict[StepKey, int]:
        """Remove and return the requested numbers of grants in request order."""
        requested = self._requested
        self._requested = {}
        return requested

    def choose_workers(
        self,
        step: StepKey,
        incarnations: list[WorkerIncarnation],
        task_count: int,
        now: float,
    ) -> list[WorkerIncarnation]:
        """Return the workers for which to request grants.

        Leaves out workers that the service refused or that have a valid grant.

        Args:
            step: Step that needs grants.
            incarnations: Workers that accept tasks, best first.
            task_count: Number of waiting tasks.
            now: Time in seconds.
        """
        advice = self._steps.get(step, _StepAdvice())
        candidates = [
            incarnation
            for incarnation in incarnations
            if WorkerId(incarnation[0]) not in advice.refused
            and not self.find_ticket(step, incarnation, now)
        ]
        return candidates[
            : min(WORKERS_PER_REQUEST_LIMIT, task_count + SPARE_WORKERS_COUNT)
        ]

    def record_response(
        self,
        step: StepKey,
        requested: list[WorkerIncarnation],
        granted: dict[WorkerId, str],
        expires_at: float,
    ) -> None:
        """Record a response of the advice service.

        Args:
            step: Step for which the grants were requested.
            requested: Workers named in the request.
            granted: Ticket of each worker that may run the step, by worker id.
            expires_at: Time in seconds at which the grants expire.
        """
        advice = self._steps.setdefault(step, _StepAdvice())
        for incarnation in requested:
            worker = WorkerId(incarnation[0])
            if worker in granted:
                advice.tickets[incarnation] = (granted[worker], expires_at)
            else:
                advice.refused.add(worker)

    def drop_ticket(self, step: StepKey, incarnation: WorkerIncarnation) -> None:
        """Remove a grant whose ticket was refused by the worker."""
        advice = self._steps.get(step)
        if advice is not None:
            advice.tickets.pop(incarnation, None)

    def remove_job(self, job: JobId) -> None:
        """Remove all grants of a closed job."""
        for step in [step for step in self._steps if step[0] == job]:
            del self._steps[step]
