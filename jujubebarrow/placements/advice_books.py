"""Grants of the service that says which workers may run a step."""

from dataclasses import dataclass, field

from jujubebarrow.fleets.advice_terms import AdviceTerms
from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.workloads.identifiers import WorkerId, WorkerLife

StepKey = tuple[JobId, int, int]
"""Job, occurrence and number of a step."""

TICKET_MARGIN_SECONDS = 0.4
"""Seconds before its end from which a grant is not used: the run has to be stored
and its start has to arrive."""
SPARE_WORKERS_COUNT = 3
"""Workers asked about beyond those that the tasks need, as some are not granted."""
WORKERS_PER_REQUEST_LIMIT = 30
"""Most workers in one question; the answer takes longer for each."""


@dataclass(slots=True)
class _StepAdvice:
    tickets: dict[WorkerLife, tuple[str, float]] = field(default_factory=dict)
    refused: set[WorkerId] = field(default_factory=set)


class AdviceRegistry:
    """Grants that are in hand, and steps that need some."""

    def __init__(self) -> None:
        self._terms: dict[QueueId, AdviceTerms] = {}
        self._steps: dict[StepKey, _StepAdvice] = {}
        self._wanted: dict[StepKey, int] = {}

    def set_terms(self, terms: dict[QueueId, AdviceTerms]) -> None:
        """Take over the queues that need advice."""
        self._terms = terms

    def is_needed(self, queue: QueueId) -> bool:
        """Return whether tasks of a queue need a grant."""
        return queue in self._terms

    def validity(self, queue: QueueId) -> float:
        """Return for how many seconds a grant holds."""
        return self._terms[queue].valid

    def answer_time(self, queue: QueueId, workers: int) -> float:
        """Return the usual time in seconds of an answer about some workers."""
        terms = self._terms[queue]
        return terms.base + workers * terms.each

    def find_ticket(self, step: StepKey, life: WorkerLife, now: float) -> str:
        """Return the grant of a step on a worker; empty if there is none."""
        advice = self._steps.get(step)
        if advice is None:
            return ""
        ticket, expires_at = advice.tickets.get(life, ("", 0.0))
        return ticket if now < expires_at - TICKET_MARGIN_SECONDS else ""

    def request(self, step: StepKey, tasks: int) -> None:
        """Note that a step has tasks that wait for grants."""
        self._wanted[step] = tasks

    def take_wanted(self) -> dict[StepKey, int]:
        """Return, and forget, the steps that wait for grants, in order."""
        wanted = self._wanted
        self._wanted = {}
        return wanted

    def choose_workers(
        self, step: StepKey, incarnations: list[WorkerLife], tasks: int, now: float
    ) -> list[WorkerLife]:
        """Return the workers to ask about.

        Args:
            step: Step.
            incarnations: Workers that have room, the best first.
            tasks: Tasks that wait.
            now: Time in seconds.
        """
        advice = self._steps.get(step, _StepAdvice())
        candidates = [
            life
            for life in incarnations
            if WorkerId(life[0]) not in advice.refused
            and not self.find_ticket(step, life, now)
        ]
        return candidates[: min(WORKERS_PER_REQUEST_LIMIT, tasks + SPARE_WORKERS_COUNT)]

    def note(
        self,
        step: StepKey,
        asked: list[WorkerLife],
        granted: dict[WorkerId, str],
        expires_at: float,
    ) -> None:
        """Take over an answer.

        Args:
            step: Step.
            asked: Workers asked about.
            granted: Grant of each worker that may run the step.
            expires_at: Time in seconds at which the grants end.
        """
        advice = self._steps.setdefault(step, _StepAdvice())
        for life in asked:
            worker = WorkerId(life[0])
            if worker in granted:
                advice.tickets[life] = (granted[worker], expires_at)
            else:
                advice.refused.add(worker)

    def drop_ticket(self, step: StepKey, life: WorkerLife) -> None:
        """Forget a grant that a worker has refused."""
        advice = self._steps.get(step)
        if advice is not None:
            advice.tickets.pop(life, None)

    def forget_job(self, job: JobId) -> None:
        """Forget all grants of a job that is closed."""
        for step in [step for step in self._steps if step[0] == job]:
            del self._steps[step]
