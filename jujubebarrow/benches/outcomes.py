"""Outcomes of requests as the callers received them, and the resulting audit."""

from dataclasses import dataclass, field
from enum import Enum


class OutcomeKind(Enum):
    """Kind of the result of a request's last attempt."""

    ANSWERED = "answered"
    ACCEPTED = "accepted"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NO_VALID_RESPONSE = "silent"


@dataclass
class RequestOutcome:
    """Outcome of one request of the load, over all its attempts.

    Attributes:
        key: Idempotency key, by which the workers' records are searched. The body
            holds the same text.
        queue: Queue that the request was sent to.
        team: Team that sent the request; empty for an open queue.
        kind: Kind of the result of the last attempt.
        error: Error kind of the last attempt; empty if the request succeeded.
        attempts: Number of times that the request was sent.
        seconds: Time from the first attempt to the end of the last attempt, in
            seconds.
        location: Path of the accepted job; empty for other requests.
        may_have_run: Whether an attempt left open whether the request had run.
    """

    key: str
    queue: str
    team: str
    kind: OutcomeKind = OutcomeKind.NO_VALID_RESPONSE
    error: str = ""
    attempts: int = 0
    seconds: float = 0.0
    location: str = ""
    may_have_run: bool = False


@dataclass
class Audit:
    """Comparison of the responses to callers with the workers' own records.

    Attributes:
        sent: Number of requests.
        answered: Number of requests that got a complete response.
        accepted: Number of accepted jobs.
        not_run: Number of refusals stating that no worker ran the request.
        unknown: Number of requests whose last attempt left open whether the request
            ran.
        lost: Number of answered requests that no worker finished, of accepted jobs
            that did not complete, and of requests without a valid response.
        duplicated: Number of requests that were started more than once although
            they must run at most once.
        false_refusals: Number of refusals stating "not run" for requests that a
            worker had started, unless an attempt left open whether the request ran.
        teams_over_limit: Number of teams that ran more tasks than their upper limit.
        p50: Median time to the response in seconds, over the answered requests.
        p99: 99th percentile of that time in seconds.
        errors: Number of requests that ended with an error, by error kind.
    """

    sent: int = 0
    answered: int = 0
    accepted: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    duplicated: int = 0
    false_refusals: int = 0
    teams_over_limit: int = 0
    p50: float = 0.0
    p99: float = 0.0
    errors: dict[str, int] = field(default_factory=dict)

    @property
    def is_clean(self) -> bool:
        """Whether no request was lost, duplicated or falsely refused.

        A team that ran more tasks than its upper limit counts as a fault as well.
        """
        return not (
            self.lost or self.duplicated or self.false_refusals or self.teams_over_limit
        )
