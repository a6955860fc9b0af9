"""Starts that wait until the instance's network link has room for them."""

from collections import deque
from collections.abc import Iterable

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.message_sizes import (
    RELAYED_START_BYTES,
    START_BYTES,
    estimate_batch_bytes,
    estimate_start_bytes,
)

LINK_WAIT_SECONDS = 0.04
"""Wait on this instance's link from which on starts stay in this process; a sixth of
the timeout of an order."""
LINK_POLL_SECONDS = 0.005
"""Least time between two checks whether the link has room."""
RELAY_WAIT_SECONDS = 0.03
"""Time that the link needs for the waiting starts from which on those of the same job
go through another instance."""
RELAYED_SECONDS = 0.2
"""Longest time that a link like that of this instance takes for the starts of a relayed
batch."""
PLANNED_WAIT_SECONDS = 0.3
"""Longest time for which runs are planned before their starts can be sent; less than
half of a short task."""
MEAN_BATCH_SIZE = 4
"""Assumed number of starts in a relayed batch."""
INITIAL_PAYLOAD_BYTES = 1000.0
PAYLOAD_WEIGHT = 0.05
"""Weight of a start in the mean size of the payloads."""


class StartQueue:
    """Decides when starts are sent, and which of them together through a relay.

    Starts are sent in the order in which they were added, as fast as the link carries
    them. Messages that keep leases then never wait long behind starts.

    Args:
        state: Jobs and workers of the pool.
        backlog: Estimates what waits on this instance's link.
    """

    def __init__(self, state: PoolState, backlog: LinkBacklog):
        self._state = state
        self._backlog = backlog
        # Recorded runs whose start is not sent yet, and whether it may be relayed.
        self._waiting: deque[tuple[ActiveRun, bool]] = deque()
        self._mean_payload_bytes = INITIAL_PAYLOAD_BYTES

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def seconds_to_next(self) -> float:
        """Seconds after which the next start may be sent."""
        excess = self._backlog.wait_seconds - LINK_WAIT_SECONDS
        return max(LINK_POLL_SECONDS, excess)

    def add(self, runs: Iterable[ActiveRun], may_relay: bool) -> None:
        """Add the starts of recorded runs.

        Args:
            runs: Recorded runs.
            may_relay: Whether other instances may send the starts.
        """
        self._waiting.extend((run, may_relay) for run in runs)

    def pop_next(self, is_relay_available: bool) -> list[ActiveRun]:
        """Remove and return the runs whose starts are sent next.

        Several runs are of the same job, and their starts are relayed together. Returns
        none if no start waits, or if the next one would wait too long on the link.

        Args:
            is_relay_available: Whether another instance may relay starts.
        """
        if not self._waiting or self._backlog.wait_seconds > LINK_WAIT_SECONDS:
            return []
        is_busy = self._is_busy()
        run, may_relay = self._waiting.popleft()
        job = self._state.jobs.get(run.task.job)
        payload = job.record.payload if job is not None else ""
        self._mean_payload_bytes += PAYLOAD_WEIGHT * (
            len(payload) - self._mean_payload_bytes
        )
        runs = [run]
        if may_relay and is_busy and is_relay_available:
            runs += self._pop_others(run)
        if len(runs) > 1:
            self._backlog.add(estimate_batch_bytes(payload, len(runs)))
        else:
            self._backlog.add(estimate_start_bytes(payload))
        return runs

    def count_sendable(self, is_relay_available: bool) -> float:
        """Return how many more starts the link carries soon; may be infinite.

        Runs that are planned beyond this number would occupy workers while their starts
        wait, and would be sent in an order that is decided too early.

        Args:
            is_relay_available: Whether another instance may relay starts.
        """
        seconds = PLANNED_WAIT_SECONDS - self._backlog.wait_seconds
        size = START_BYTES + self._mean_payload_bytes
        if is_relay_available:
            size = RELAYED_START_BYTES + self._mean_payload_bytes / MEAN_BATCH_SIZE
        count = self._backlog.count_transfers(max(0.0, seconds), size)
        return max(0.0, count - len(self._waiting))

    def _is_busy(self) -> bool:
        """Return whether the waiting starts would occupy the link for some time."""
        size = (START_BYTES + self._mean_payload_bytes) * len(self._waiting)
        seconds = self._backlog.compute_transfer_seconds(size)
        return seconds + self._backlog.wait_seconds >= RELAY_WAIT_SECONDS

    def _pop_others(self, run: ActiveRun) -> list[ActiveRun]:
        """Remove and return the waiting runs that are relayed along with a run."""
        limit = self._backlog.count_transfers(
            RELAYED_SECONDS, START_BYTES + self._mean_payload_bytes
        )
        others: list[ActiveRun] = []
        remaining: deque[tuple[ActiveRun, bool]] = deque()
        for other, may_relay in self._waiting:
            is_same_job = other.task.job == run.task.job
            if may_relay and is_same_job and len(others) < limit - 1:
                others.append(other)
            else:
                remaining.append((other, may_relay))
        self._waiting = remaining
        return others
