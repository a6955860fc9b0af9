"""Reads the decision log of all instances of one day.

Each line has the time in seconds, the name of the instance and one JSON object; other
lines are skipped.
"""

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from msgspec import DecodeError, json

LINE_PATTERN = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+(\{.*\})\s*$")
UNKNOWN_INSTANCE = ""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Decoded line of the decision log.

    Attributes:
        at: Time of the day in seconds.
        instance: Name under which the bench prints the instance.
        event: Name of the decision or observation.
        fields: All fields of the line.
    """

    at: float
    instance: str
    event: str
    fields: dict[str, Any]


@dataclass(slots=True)
class Ownership:
    """Time during which one instance served a pool.

    Attributes:
        instance: Name of the owner in the log.
        start: Time in seconds from which the owner had loaded the pool.
        end: Time in seconds at which it stopped serving the pool.
        reason: Why the ownership ended; empty while it lasts.
    """

    instance: str
    start: float
    end: float = float("inf")
    reason: str = ""


@dataclass
class DayLog:
    """Lines of one day by subject, each list in the order of time.

    Attributes:
        ownerships: Times of service of each pool.
        claims: Claims of each pool.
        loads: Reported loads of each pool.
        moves: Completed orders for moves between pools.
        waiting_jobs: For each pool, the times in seconds from the acceptance of a job
            to the first record of its runs.
        end: Time of the last line in seconds.
    """

    ownerships: dict[str, list[Ownership]] = field(
        default_factory=lambda: defaultdict(list)
    )
    claims: dict[str, list[LogLine]] = field(default_factory=lambda: defaultdict(list))
    loads: dict[str, list[LogLine]] = field(default_factory=lambda: defaultdict(list))
    moves: list[LogLine] = field(default_factory=list)
    waiting_jobs: dict[str, dict[str, tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    end: float = 0.0

    @property
    def pools(self) -> list[str]:
        """Return the pools that had an owner or a load, sorted by name."""
        return sorted({*self.ownerships, *self.loads})

    def find_owner(self, pool: str, at: float) -> Ownership | None:
        """Return the ownership of a pool that covers a time, if there is one."""
        for ownership in self.ownerships[pool]:
            if ownership.start <= at < ownership.end:
                return ownership
        return None

    def count_waiting_jobs(self, pool: str, at: float) -> int:
        """Return how many accepted jobs of a pool had no recorded run at a time."""
        jobs = self.waiting_jobs[pool].values()
        return sum(accepted_at <= at < ended_at for accepted_at, ended_at in jobs)


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the decoded lines of the decision log."""
    for line in lines:
        match = LINE_PATTERN.match(line)
        if match is None:
            continue
        try:
            fields = json.decode(match.group(3))
        except DecodeError:
            continue
        if "event" in fields:
            yield LogLine(
                float(match.group(1)), match.group(2), fields["event"], fields
            )


class DayLogReader:
    """Collects the lines of a day; a killed process is known by its next start."""

    def __init__(self) -> None:
        self._day = DayLog()
        self._last_line_at: dict[str, float] = {}
        self._pools_by_job: dict[str, str] = {}

    def read(self, lines: Iterable[str]) -> DayLog:
        """Return the collected lines of one day."""
        for line in sorted(parse_lines(lines), key=lambda line: line.at):
            handler = getattr(self, f"_on_{line.event}", None)
            if handler is not None:
                handler(line)
            self._last_line_at[line.instance] = line.at
            self._day.end = line.at
        return self._day

    def _on_started(self, line: LogLine) -> None:
        stopped_at = self._last_line_at.get(line.instance, line.at)
        for pool in self._day.ownerships:
            self._end(pool, line.instance, stopped_at, "process ended")

    def _on_stopped(self, line: LogLine) -> None:
        for pool in self._day.ownerships:
            self._end(pool, line.instance, line.at, "stopped")

    def _on_duty_claimed(self, line: LogLine) -> None:
        pool = line.fields["duty"]
        self._day.claims[pool].append(line)
        silence = line.fields.get("silence")
        silent_since = line.at - silence if silence is not None else line.at
        self._end(pool, UNKNOWN_INSTANCE, silent_since, "claimed by another owner")

    def _on_duty_dropped(self, line: LogLine) -> None:
        reason = f"dropped: {line.fields.get('reason', '')}"
        self._end(line.fields["duty"], line.instance, line.at, reason)

    def _on_pool_displaced(self, line: LogLine) -> None:
        self._end(line.fields["pool"], line.instance, line.at, "displaced")

    def _on_pool_taken_over(self, line: LogLine) -> None:
        pool = line.fields["pool"]
        self._end(pool, UNKNOWN_INSTANCE, line.at, "taken over")
        self._day.ownerships[pool].append(Ownership(line.instance, line.at))

    def _on_pool_load(self, line: LogLine) -> None:
        self._day.loads[line.fields["pool"]].append(line)

    def _on_machine_moved(self, line: LogLine) -> None:
        if line.fields["answer"] == "done":
            self._day.moves.append(line)

    def _on_job_accepted(self, line: LogLine) -> None:
        job, pool = line.fields["job"], line.fields["pool"]
        self._pools_by_job[job] = pool
        self._day.waiting_jobs[pool].setdefault(job, (line.at, float("inf")))

    def _on_runs_recorded(self, line: LogLine) -> None:
        self._end_waiting(line)

    def _on_job_closed(self, line: LogLine) -> None:
        self._end_waiting(line)

    def _end_waiting(self, line: LogLine) -> None:
        job = line.fields.get("job", "")
        pool = self._pools_by_job.get(job)
        if pool is None:
            return
        accepted_at, ended_at = self._day.waiting_jobs[pool][job]
        if line.at < ended_at:
            self._day.waiting_jobs[pool][job] = (accepted_at, line.at)

    def _end(self, pool: str, instance: str, at: float, reason: str) -> None:
        """End the present ownership of a pool, if that instance or any has it."""
        if not self._day.ownerships[pool]:
            return
        ownership = self._day.ownerships[pool][-1]
        if instance not in (UNKNOWN_INSTANCE, ownership.instance):
            return
        if at < ownership.end:
            ownership.end = max(at, ownership.start)
            ownership.reason = reason
