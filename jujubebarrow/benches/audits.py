"""Compares answers with the workers' own record."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from jujubebarrow.benches.outcomes import Audit, OutcomeKind, RequestOutcome

Tasks = list[dict[str, Any]]


def audit(
    outcomes: list[RequestOutcome],
    tasks: Tasks,
    once_queues: frozenset[str],
    limits: dict[str, int],
    finished_jobs: frozenset[str],
) -> Audit:
    """Return the comparison.

    Args:
        outcomes: What callers were told.
        tasks: Records of all workers.
        once_queues: Queues whose requests must run at most once.
        limits: Upper limit of each team.
        finished_jobs: Keys of the accepted jobs that are done.
    """
    starts = Counter(task["key"] for task in tasks)
    done = {task["key"] for task in tasks if task["outcome"] == "done"}
    report = Audit(sent=len(outcomes))
    times = []
    for outcome in outcomes:
        _count(report, outcome, starts, done, once_queues, finished_jobs)
        if outcome.kind is OutcomeKind.ANSWERED:
            times.append(outcome.seconds)
    report.p50 = percentile(times, 0.5)
    report.p99 = percentile(times, 0.99)
    peaks = peak_running(tasks)
    report.over_limit = sum(peaks[team] > limit for team, limit in limits.items())
    return report


def _count(
    report: Audit,
    outcome: RequestOutcome,
    starts: Counter[str],
    done: set[str],
    once_queues: frozenset[str],
    finished_jobs: frozenset[str],
) -> None:
    started = starts[outcome.key]
    if outcome.error:
        report.errors[outcome.error] = report.errors.get(outcome.error, 0) + 1
    if outcome.queue in once_queues and started > 1:
        report.doubled += 1
    match outcome.kind:
        case OutcomeKind.ANSWERED:
            report.answered += 1
            report.lost += outcome.key not in done
        case OutcomeKind.ACCEPTED:
            report.accepted += 1
            report.lost += outcome.key not in finished_jobs
        case OutcomeKind.NOT_RUN:
            report.not_run += 1
            report.untrue += started > 0 and not outcome.maybe_ran
        case OutcomeKind.UNKNOWN:
            report.unknown += 1
        case OutcomeKind.SILENT:
            report.lost += 1


def peak_running(tasks: Tasks) -> dict[str, int]:
    """Return the most tasks of each team that ran at the same time."""
    events = defaultdict(list)
    for task in tasks:
        if task["team"]:
            events[task["team"]].append((task["started"], 1))
            events[task["team"]].append((task["ended"] or float("inf"), -1))
    return defaultdict(int, {team: _peak(sorted(e)) for team, e in events.items()})


def _peak(events: Iterable[tuple[float, int]]) -> int:
    running = peak = 0
    for _, step in events:
        running += step
        peak = max(peak, running)
    return peak


def percentile(values: list[float], part: float) -> float:
    """Return a percentile of some values, 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]
