"""Compares the responses to callers with the workers' records of executed tasks."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from jujubebarrow.benches.outcomes import Audit, OutcomeKind, RequestOutcome

Tasks = list[dict[str, Any]]


def audit(
    outcomes: list[RequestOutcome],
    tasks: Tasks,
    at_most_once_queues: frozenset[str],
    limits: dict[str, int],
    completed_jobs: frozenset[str],
) -> Audit:
    """Compare the outcomes of the requests with the workers' records.

    Args:
        outcomes: Outcomes of all requests, as the callers received them.
        tasks: Records of the tasks that all workers have started.
        at_most_once_queues: Queues whose requests must run at most once.
        limits: Upper limit of each team.
        completed_jobs: Idempotency keys of the accepted jobs that completed.
    """
    start_counts = Counter(task["key"] for task in tasks)
    finished_keys = {task["key"] for task in tasks if task["outcome"] == "done"}
    report = Audit(sent=len(outcomes))
    latencies = []
    for outcome in outcomes:
        _add_outcome(
            report,
            outcome,
            start_counts,
            finished_keys,
            at_most_once_queues,
            completed_jobs,
        )
        if outcome.kind is OutcomeKind.ANSWERED:
            latencies.append(outcome.seconds)
    report.p50 = percentile(latencies, 0.5)
    report.p99 = percentile(latencies, 0.99)
    peaks = find_peak_running_tasks(tasks)
    report.teams_over_limit = sum(peaks[team] > limit for team, limit in limits.items())
    return report


def _add_outcome(
    report: Audit,
    outcome: RequestOutcome,
    start_counts: Counter[str],
    finished_keys: set[str],
    at_most_once_queues: frozenset[str],
    completed_jobs: frozenset[str],
) -> None:
    start_count = start_counts[outcome.key]
    if outcome.error:
        report.errors[outcome.error] = report.errors.get(outcome.error, 0) + 1
    if outcome.queue in at_most_once_queues and start_count > 1:
        report.duplicated += 1
    match outcome.kind:
        case OutcomeKind.ANSWERED:
            report.answered += 1
            report.lost += outcome.key not in finished_keys
        case OutcomeKind.ACCEPTED:
            report.accepted += 1
            report.lost += outcome.key not in completed_jobs
        case OutcomeKind.NOT_RUN:
            report.not_run += 1
            report.false_refusals += start_count > 0 and not outcome.may_have_run
        case OutcomeKind.UNKNOWN:
            report.unknown += 1
        case OutcomeKind.NO_VALID_RESPONSE:
            report.lost += 1


def find_peak_running_tasks(tasks: Tasks) -> dict[str, int]:
    """Return the largest number of simultaneously running tasks of each team."""
    changes = defaultdict(list)
    for task in tasks:
        if task["team"]:
            changes[task["team"]].append((task["started"], 1))
            changes[task["team"]].append((task["ended"] or float("inf"), -1))
    return defaultdict(
        int,
        {
            team: _find_peak(sorted(team_changes))
            for team, team_changes in changes.items()
        },
    )


def _find_peak(changes: Iterable[tuple[float, int]]) -> int:
    running = peak = 0
    for _, change in changes:
        running += change
        peak = max(peak, running)
    return peak


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of the values, or 0 if there are no values.

    Args:
        values: Values in any order.
        fraction: Percentile as a fraction of 1, such as 0.99.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
