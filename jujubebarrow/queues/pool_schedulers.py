"""Scheduling of one pool's requests at their home."""

from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.identifiers import OPEN_TEAM, PoolId, QueueId, TeamId
from jujubebarrow.limits.ledgers import LimitLedger
from jujubebarrow.queues.entries import Entry
from jujubebarrow.queues.starts import Start
from jujubebarrow.queues.team_queues import TeamQueues
from jujubebarrow.routes.upstream_sets import UpstreamSet
from jujubebarrow.routes.upstream_slots import UpstreamSlots
from jujubebarrow.settings.settings import Settings
from jujubebarrow.shares.run_times import RunTimeEstimate
from jujubebarrow.shares.usages import TeamUsage

OPEN_TEAM_SHARE = 1.0
"""Share of a team without a record, such as the team of open queues."""
RESERVED_SLOT_SHARE = 0.15
"""Share of the slots that overnight requests leave free for interactive requests."""
OVERNIGHT_GRACE_PERIOD_SECONDS = 30.0
"""Wait of the oldest overnight request after which overnight requests start first."""
OVERNIGHT_SLOT_SHARE = 0.05
"""Share of the slots that overnight requests may occupy while they start first."""
LEASE_MARGIN_SECONDS = 0.5
"""Time by which a task's lease exceeds the timeout of the attempt."""
MIN_RETRY_AFTER_SECONDS = 1.0
"""Shortest retry delay that a refused caller is given."""
MIN_RUN_TIME_SHARE = 0.5
"""A request is refused if less than this share of the expected run time would remain
between the expected wait and the deadline."""


class PoolScheduler:
    """Admits requests, orders them by weighted fair share and chooses upstreams.

    Args:
        pool: Id of the pool.
        configuration: Records of teams, queues and instances.
        ledger: Ledger of the teams' upper limits.
        upstreams: Upstreams of the pool in this zone.
        clock: Clock for deadlines and leases.
        settings: Settings with the limits of waits and leases.
        is_fresh: Returns whether the configuration is fresh enough to start requests
            that carry a key.
    """

    def __init__(
        self,
        pool: PoolId,
        configuration: Configuration,
        ledger: LimitLedger,
        upstreams: UpstreamSet,
        clock: Clock,
        settings: Settings,
        is_fresh: Callable[[], bool],
    ):
        self.pool = pool
        self.upstreams = upstreams
        self.usage = TeamUsage()
        self._configuration = configuration
        self._ledger = ledger
        self._clock = clock
        self._settings = settings
        self._is_fresh = is_fresh
        self._queues = {priority: TeamQueues() for priority in Priority}
        self._run_times: dict[QueueId, RunTimeEstimate] = {}
        self._running = {priority: 0 for priority in Priority}
        self._shortages: dict[TeamId, int] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(queues) for queues in self._queues.values())

    @property
    def running(self) -> int:
        """Number of requests from this home that occupy a slot."""
        return sum(self._running.values())

    @property
    def free_slots(self) -> int:
        """Number of slots in service that this home does not occupy."""
        return max(0, self.upstreams.slots - self.running)

    def entries(self) -> list[Entry]:
        """Return all waiting requests."""
        return [entry for queues in self._queues.values() for entry in queues]

    def waiting_by_team(self) -> dict[TeamId, int]:
        """Return the number of waiting requests of each team."""
        counts: dict[TeamId, int] = {}
        for queues in self._queues.values():
            for team in queues.teams:
                counts[team] = counts.get(team, 0) + queues.waiting(team)
        return counts

    def run_time(self, queue: QueueId) -> float:
        """Return the expected run time of a queue's requests in seconds."""
        return self._get_run_time_estimate(queue).seconds

    def record_run_time(self, queue: QueueId, seconds: float) -> None:
        """Record the run time of a request that got a complete response."""
        self._get_run_time_estimate(queue).observe(seconds)

    def record_timeout(self, queue: QueueId) -> None:
        """Record an attempt that timed out."""
        self._get_run_time_estimate(queue).observe_timeout()

    def _get_run_time_estimate(self, queue: QueueId) -> RunTimeEstimate:
        estimate = self._run_times.get(queue)
        if estimate is None:
            record = self._configuration.queue(queue)
            estimate = RunTimeEstimate(record.run_time if record else 1.0)
            self._run_times[queue] = estimate
        return estimate

    def expected_wait(self, team: TeamId, queue: QueueId, priority: Priority) -> float:
        """Return the expected wait of an additional request, in seconds."""
        waiting = self._queues[priority].waiting(team)
        if not waiting and self.free_slots > 0:
            return 0.0
        entitled_slots = self._compute_entitled_slots(team, priority)
        if entitled_slots <= 0:
            return float("inf")
        return (waiting + 1) * self.run_time(queue) / entitled_slots

    def pool_wait(self) -> float:
        """Return the expected time to start all waiting requests, in seconds."""
        slots = max(1, self.upstreams.slots)
        run_seconds = sum(self.run_time(entry.queue) for entry in self.entries())
        return run_seconds / slots

    def _compute_entitled_slots(self, team: TeamId, priority: Priority) -> float:
        running_by_team = self.usage.local_tasks()
        active = set(running_by_team) | set(self._queues[priority].teams) | {team}
        total = sum(self._get_share(other) for other in active)
        slots = self.upstreams.slots * self._get_share(team) / total
        record = self._configuration.team(team)
        return min(slots, record.limit) if record else slots

    def _get_share(self, team: TeamId) -> float:
        record = self._configuration.team(team)
        return record.share if record else OPEN_TEAM_SHARE

    def check_admission(self, entry: Entry) -> None:
        """Check that a request can run and finish in time.

        Raises:
            RefusalError: The request can never run, no upstream is in service or the
                wait would be too long. Except in the first case, the error tells
                the caller when to retry.
        """
        self._check_runnable(entry)
        wait = self.expected_wait(entry.team, entry.queue, entry.priority)
        if wait == float("inf"):
            raise RefusalError(
                ErrorKind.NO_UPSTREAM,
                f"pool {self.pool}",
                retry_after=MIN_RETRY_AFTER_SECONDS,
            )
        retry_after = max(MIN_RETRY_AFTER_SECONDS, wait)
        remaining = entry.deadline - self._clock.monotonic()
        if wait + self.run_time(entry.queue) * MIN_RUN_TIME_SHARE > remaining:
            raise RefusalError(
                ErrorKind.DEADLINE_UNREACHABLE,
                f"expected wait {wait:.2f} s, deadline in {remaining:.2f} s",
                retry_after=retry_after,
            )
        if wait > self._settings.queue_wait_limit:
            raise RefusalError(
                ErrorKind.QUEUE_FULL,
                f"expected wait {wait:.2f} s",
                retry_after=retry_after,
            )

    def _check_runnable(self, entry: Entry) -> None:
        if entry.cores > 1:
            self._check_cores(entry)
        record = self._configuration.team(entry.team)
        if record is not None and record.limit == 0:
            raise RefusalError(ErrorKind.TEAM_LIMIT, "the upper limit is 0")

    def _check_cores(self, entry: Entry) -> None:
        instances = self._configuration.pool_instances(self.pool).values()
        largest = max((instance.cores for instance in instances), default=None)
        if largest is not None and entry.cores > largest:
            raise RefusalError(
                ErrorKind.NEVER_RUNS,
                f"needs {entry.cores} cores, the largest instance has {largest}",
            )

    def enqueue(self, entry: Entry) -> None:
        """Append an admitted request to its team's queue."""
        self._queues[entry.priority].append(entry)

    def requeue(self, entry: Entry) -> None:
        """Return a request to the head of its team's queue."""
        self._queues[entry.priority].push_front(entry)

    def remove(self, entry: Entry) -> bool:
        """Remove a waiting request; return False if the request is not queued."""
        return self._queues[entry.priority].remove(entry)

    def pop_shortages(self) -> dict[TeamId, int]:
        """Return and clear the number of units that each team lacked.

        Only shortages since the last call are included.
        """
        shortages = self._shortages
        self._shortages = {}
        return shortages

    def start_now(self, entry: Entry) -> Start | None:
        """Start a request at once, or return None if the request must be queued.

        Only an interactive request can start at once, and only if no request waits.
        """
        if self.waiting or entry.priority is not Priority.INTERACTIVE:
            return None
        return self._start_entry(entry)

    def start_next(self) -> Start | None:
        """Start the next request, or return None if none can start."""
        if not self.waiting:
            return None
        for priority in self._order_startable_priorities():
            start = self._start_from_priority(priority)
            if start is not None:
                return start
        return None

    def _order_startable_priorities(self) -> list[Priority]:
        order = [Priority.INTERACTIVE, Priority.OVERNIGHT]
        if self._is_overnight_due():
            order.reverse()
        return [priority for priority in order if self._can_start(priority)]

    def _can_start(self, priority: Priority) -> bool:
        if not len(self._queues[priority]):
            return False
        if priority is Priority.INTERACTIVE:
            return True
        slots = self.upstreams.slots
        reserve = min(slots - 1, max(1, int(slots * RESERVED_SLOT_SHARE)))
        return self.free_slots > reserve or self._is_overnight_due()

    def _is_overnight_due(self) -> bool:
        queues = self._queues[Priority.OVERNIGHT]
        slot_limit = max(1, int(self.upstreams.slots * OVERNIGHT_SLOT_SHARE))
        if not len(queues) or self._running[Priority.OVERNIGHT] >= slot_limit:
            return False
        oldest = min(queues.head(team).arrived for team in queues.teams)
        return self._clock.monotonic() - oldest > OVERNIGHT_GRACE_PERIOD_SECONDS

    def _start_from_priority(self, priority: Priority) -> Start | None:
        queues = self._queues[priority]
        for team in sorted(queues.teams, key=lambda team: self._rank(queues, team)):
            start = self._start_from_team(queues, team)
            if start is not None:
                return start
        return None

    def _rank(self, queues: TeamQueues, team: TeamId) -> tuple[float, float]:
        weighted_running = (self.usage.count_tasks(team) + 1) / self._get_share(team)
        return weighted_running, queues.head(team).arrived

    def _start_from_team(self, queues: TeamQueues, team: TeamId) -> Start | None:
        entry = queues.head(team)
        start = self._start_entry(entry)
        if start is not None:
            queues.remove(entry)
        return start

    def _start_entry(self, entry: Entry) -> Start | None:
        team = entry.team
        if team != OPEN_TEAM and not self._is_fresh():
            return None
        member = self.upstreams.choose(entry.failed_upstreams)
        if member is None:
            return None
        start = self._make_start(entry, member)
        if start is None:
            self._shortages[team] = max(1, self._count_waiting(team))
            return None
        member.occupy()
        self.usage.add_task(team)
        self._running[entry.priority] += 1
        return start

    def _count_waiting(self, team: TeamId) -> int:
        return sum(queues.waiting(team) for queues in self._queues.values())

    def _make_start(self, entry: Entry, member: UpstreamSlots) -> Start | None:
        timeout = self._compute_timeout(entry)
        lease_seconds = min(timeout + LEASE_MARGIN_SECONDS, self._settings.task_lease)
        lease_end = self._clock.wall() + lease_seconds
        if entry.team == OPEN_TEAM:
            return Start(entry, member, None, timeout, lease_end)
        permit = self._ledger.acquire(entry.team, lease_end)
        if permit is None:
            return None
        return Start(entry, member, permit, timeout, lease_end)

    def _compute_timeout(self, entry: Entry) -> float:
        remaining = entry.deadline - self._clock.monotonic()
        if not entry.idempotent:
            return remaining
        return self._get_run_time_estimate(entry.queue).attempt_timeout(remaining)

    def finish(self, start: Start) -> None:
        """Release the slot and the permit of a task.

        The task has ended, was not sent, or its lease has certainly ended.
        """
        start.member.vacate()
        self.usage.remove_task(start.entry.team)
        self._running[start.entry.priority] -= 1
        if start.permit is not None:
            self._ledger.release(start.permit)
