"""What callers were told."""

from dataclasses import dataclass, field
from enum import Enum


class OutcomeKind(Enum):
    """Final answer to one request."""

    ANSWERED = "answered"
    ACCEPTED = "accepted"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    SILENT = "silent"


@dataclass
class RequestOutcome:
    """One request of the load, with all its repeats.

    Attributes:
        key: Idempotency key, also the body's text, by which the workers' record
            is searched.
        queue: Queue.
        team: Team.
        kind: Final answer.
        error: Error kind of the final answer.
        attempts: Times that it was sent.
        seconds: Time to the final answer.
        location: Path of an accepted job.
        maybe_ran: Whether an earlier answer left it open whether it ran.
    """

    key: str
    queue: str
    team: str
    kind: OutcomeKind = OutcomeKind.SILENT
    error: str = ""
    attempts: int = 0
    seconds: float = 0.0
    location: str = ""
    maybe_ran: bool = False


@dataclass
class Audit:
    """Comparison of what callers were told with the workers' own record.

    Attributes:
        sent: Requests.
        answered: Whole answers.
        accepted: Accepted jobs.
        not_run: Refusals that say that nothing ran.
        unknown: Answers that leave it open.
        lost: Answered or accepted work that no worker finished, and requests
            that never got an answer.
        doubled: Requests that must run at most once and were started twice.
        untrue: Refusals that say "not run" though a worker started the work.
        over_limit: Teams that ran more than their upper limit.
        p50: Median time to the answer in seconds.
        p99: 99th percentile in seconds.
        errors: Number of final answers by error kind.
    """

    sent: int = 0
    answered: int = 0
    accepted: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    doubled: int = 0
    untrue: int = 0
    over_limit: int = 0
    p50: float = 0.0
    p99: float = 0.0
    errors: dict[str, int] = field(default_factory=dict)

    @property
    def clean(self) -> bool:
        """Whether nothing was lost, doubled, untrue or over a limit."""
        return not (self.lost or self.doubled or self.untrue or self.over_limit)
