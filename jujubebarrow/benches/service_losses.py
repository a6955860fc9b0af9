"""Shows what each pool lost in each second of a day, and to which cause.

Reads the decision log of all instances. The causes are the time without an owner,
machines that are missing while other pools have free capacity, overload of all pools
together, and capacity that stays free although jobs wait.
"""

import argparse
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from jujubebarrow.benches.day_logs import DayLog, DayLogReader, LogLine

LOAD_AGE_LIMIT_SECONDS = 2.5
"""Age up to which a reported load is taken as present; reports come each second, later
while the owner orders machines."""
MOVE_SECONDS = 1.5
"""Time from the order for a move until the machine serves its new pool."""
SAMPLES_PER_SECOND = 10
"""Number of times in each second at which the owner of a pool is looked up."""
MILLICORES = 1000.0


class LossCause(Enum):
    """Cause of work that a pool did not do; the values are column names."""

    NO_OWNER = "no_owner"
    NO_REPORT = "no_report"
    CAPACITY_WITHOUT_OWNER = "unowned_cap"
    MACHINES_MOVING = "moving"
    MACHINES_LATE = "late"
    GIVER_WITHOUT_OWNER = "giver_absent"
    LATE_WORK = "late_work"
    OVERLOAD = "overload"
    FREE_CAPACITY = "free_unused"


@dataclass(slots=True)
class PoolSecond:
    """Situation of a pool in one second; amounts are in cores.

    Attributes:
        pool: Id of the pool.
        second: Second of the day.
        owner: Name of the owner at the end of the second; empty if there is none.
        owned_share: Part of the second during which an owner had loaded the pool.
        waiting: Number of accepted jobs without a recorded run.
        demand: Demand that the owner last reported.
        backlog: Demand with late jobs counted in full.
        capacity: Capacity of the pool's workers.
        reserved: Capacity that runs have reserved.
        machines: Number of workers.
        incoming: Number of machines that the owner expects.
        moved_in: Orders for moves into the pool during this second.
        moved_out: Orders for moves out of the pool during this second.
        moving: Capacity of the machines that are moving to the pool.
        is_reported: Whether the load is recent, or the pool has no work to report.
    """

    pool: str
    second: int
    owner: str = ""
    owned_share: float = 0.0
    waiting: int = 0
    demand: float = 0.0
    backlog: float = 0.0
    capacity: float = 0.0
    reserved: float = 0.0
    machines: int = 0
    incoming: int = 0
    moved_in: int = 0
    moved_out: int = 0
    moving: float = 0.0
    is_reported: bool = True

    @property
    def missing(self) -> float:
        """Demand beyond the capacity."""
        return max(0.0, self.demand - self.capacity)

    @property
    def free(self) -> float:
        """Capacity that no run has reserved; taken as 0 without a report."""
        return max(0.0, self.capacity - self.reserved) if self.is_reported else 0.0

    @property
    def held(self) -> float:
        """Capacity reserved by runs beyond the demand, which are late."""
        return max(0.0, min(self.reserved, self.capacity) - self.demand)


class LossTable:
    """Situation and losses of all pools by second.

    Args:
        day: Log of the day.
    """

    def __init__(self, day: DayLog):
        self._day = day
        self._machine_size = self._find_machine_size()

    def _find_machine_size(self) -> float:
        sizes = [
            line.fields["capacity"] / line.fields["machines"] / MILLICORES
            for lines in self._day.loads.values()
            for line in lines
            if line.fields["machines"]
        ]
        return sum(sizes) / len(sizes) if sizes else 0.0

    def list_seconds(self, until: float = float("inf")) -> list[list[PoolSecond]]:
        """Return the pools' situations of each second of the day.

        Args:
            until: Time in seconds after which the day is left out.
        """
        end = min(self._day.end + 1.0, until)
        return [
            [self._measure(pool, second) for pool in self._day.pools]
            for second in range(int(end))
        ]

    def _measure(self, pool: str, second: int) -> PoolSecond:
        end = second + 1.0
        times = [
            second + (number + 0.5) / SAMPLES_PER_SECOND
            for number in range(SAMPLES_PER_SECOND)
        ]
        owners = [self._day.find_owner(pool, at) for at in times]
        result = PoolSecond(pool, second)
        result.owner = owners[-1].instance if owners[-1] else ""
        result.owned_share = sum(map(bool, owners)) / len(owners)
        result.waiting = self._day.count_waiting_jobs(pool, second + 0.5)
        for line in self._day.moves:
            is_in_second = second <= line.at < end
            if line.fields["target"] == pool:
                result.moved_in += is_in_second
                result.moving += self._machine_size * (
                    0 <= end - line.at < MOVE_SECONDS
                )
            if line.fields["source"] == pool:
                result.moved_out += is_in_second
        self._add_load(result, end)
        return result

    def _add_load(self, result: PoolSecond, end: float) -> None:
        lines = [line for line in self._day.loads[result.pool] if line.at < end]
        if not lines:
            return
        line = lines[-1]
        fields = line.fields
        result.machines = fields["machines"]
        result.capacity = fields["capacity"] / MILLICORES
        if end - line.at > LOAD_AGE_LIMIT_SECONDS and result.owner:
            # An owner reports no load while its pool has no work.
            self._add_moves_since(result, line, end)
            result.is_reported = not result.waiting
            return
        result.demand = fields["demand"] / MILLICORES
        result.backlog = fields["backlog"] / MILLICORES
        result.reserved = fields["reserved"] / MILLICORES
        result.incoming = fields["incoming"]

    def _add_moves_since(self, result: PoolSecond, load: LogLine, end: float) -> None:
        for line in self._day.moves:
            if line.fields["source"] == result.pool and load.at < line.at < end:
                result.machines -= 1
            arrived_at = line.at + MOVE_SECONDS
            if line.fields["target"] == result.pool and load.at < arrived_at < end:
                result.machines += 1
        result.machines = max(0, result.machines)
        result.capacity = result.machines * self._machine_size


def split_losses(pools: list[PoolSecond]) -> dict[str, Counter[LossCause]]:
    """Return the losses of one second by pool and cause.

    Time without an owner is in pool-seconds and counts only if jobs wait; the other
    losses are in core-seconds. The capacity without an owner is an upper limit, since
    started tasks go on, and its load is the last one reported. What other pools have
    free, or hold for late work, is divided among the pools in need in proportion to
    what they miss.
    """
    needs = {pool.pool: max(0.0, pool.missing - pool.moving) for pool in pools}
    total_need = sum(needs.values())
    givers = [pool for pool in pools if not pool.missing]
    free_owned = sum(pool.free for pool in givers if pool.owner)
    free_absent = sum(pool.free for pool in givers if not pool.owner)
    late = min(total_need, free_owned)
    absent = min(total_need - late, free_absent)
    rest = total_need - late - absent
    held = min(rest, sum(pool.held for pool in givers))
    losses = {}
    for pool in pools:
        part = needs[pool.pool] / total_need if total_need else 0.0
        loss = losses[pool.pool] = Counter()
        if pool.waiting or pool.backlog:
            unowned_share = 1.0 - pool.owned_share
            loss[LossCause.NO_REPORT] += pool.owned_share * (not pool.is_reported)
            loss[LossCause.NO_OWNER] += unowned_share
            loss[LossCause.CAPACITY_WITHOUT_OWNER] += unowned_share * min(
                pool.capacity, pool.backlog
            )
        loss[LossCause.MACHINES_MOVING] += min(pool.missing, pool.moving)
        loss[LossCause.MACHINES_LATE] += part * late
        loss[LossCause.GIVER_WITHOUT_OWNER] += part * absent
        loss[LossCause.LATE_WORK] += part * held
        loss[LossCause.OVERLOAD] += part * (rest - held)
        unserved = max(0.0, pool.backlog - pool.reserved)
        loss[LossCause.FREE_CAPACITY] += pool.owned_share * min(pool.free, unserved)
    return losses


def format_second(pool: PoolSecond, others_free: float) -> str:
    """Return one line of the table by second.

    Args:
        pool: Situation of the pool.
        others_free: Free cores of the other pools.
    """
    return (
        f"{pool.second:4} {pool.pool:12} {pool.owner or '-':8} {pool.owned_share:5.1f} "
        f"{pool.waiting:7} {pool.demand:7.0f} {pool.backlog:7.0f} {pool.capacity:8.0f} "
        f"{pool.reserved:8.0f} {pool.machines:8} {pool.incoming:8} {others_free:10.0f} "
        f"{pool.moved_in:3} {pool.moved_out:4}"
    )


def format_report(day: DayLog, until: float = float("inf")) -> Iterable[str]:
    """Yield the lines of the report of one day.

    Args:
        day: Log of the day.
        until: Time in seconds after which the day is left out.
    """
    seconds = LossTable(day).list_seconds(until)
    totals = {pool: Counter[LossCause]() for pool in day.pools}
    yield (
        " sec pool         owner    owned waiting  demand backlog capacity reserved "
        "machines incoming other_free  in  out"
    )
    for pools in seconds:
        for pool, losses in split_losses(pools).items():
            totals[pool].update(losses)
        free = sum(pool.free for pool in pools)
        for pool in pools:
            if pool.demand or pool.backlog or pool.waiting:
                yield format_second(pool, free - pool.free)
    yield ""
    yield from _format_ownerships(day)
    yield ""
    yield "pool         " + " ".join(f"{cause.value:>12}" for cause in LossCause)
    total = Counter[LossCause]()
    for name, losses in totals.items():
        total.update(losses)
        yield _format_losses(name, losses)
    yield _format_losses("all", total)


def _format_ownerships(day: DayLog) -> Iterable[str]:
    for pool in day.pools:
        for ownership in day.ownerships[pool]:
            yield (
                f"{pool} served by {ownership.instance} from {ownership.start:.2f} "
                f"to {ownership.end:.2f} ({ownership.reason or 'still there'})"
            )
        for line in day.claims[pool]:
            yield (
                f"{pool} claimed by {line.instance} at {line.at:.2f}, "
                f"former owner silent for {line.fields.get('silence')} s"
            )


def _format_losses(name: str, losses: Counter[LossCause]) -> str:
    return f"{name:12} " + " ".join(f"{losses[cause]:12.1f}" for cause in LossCause)


def main() -> None:
    """Print the losses of one day."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "log", type=Path, metavar="LOGFILE", help="log of all instances"
    )
    parser.add_argument(
        "--until",
        type=float,
        default=float("inf"),
        help="end of the traffic in seconds",
    )
    options = parser.parse_args()
    with options.log.open(errors="replace") as lines:
        day = DayLogReader().read(lines)
    for line in format_report(day, options.until):
        print(line)


if __name__ == "__main__":
    main()
