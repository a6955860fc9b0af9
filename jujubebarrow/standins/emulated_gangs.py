"""Gangs of emulated runs, whose members work only together."""

from asyncio import get_running_loop
from collections.abc import Callable

from jujubebarrow.workloads.finished_runs import RunOutcome
from jujubebarrow.workloads.identifiers import RunNumber
from jujubebarrow.workloads.task_keys import TaskKey

GANG_TIMEOUT_SECONDS = 3.0
"""Time for which a member waits for the others."""

GangRun = tuple[str, int, int, int]
"""Job, occurrence, step and run number that the members of a gang share."""
Finish = Callable[[RunOutcome], None]


class EmulatedGangs:
    """Members of all gangs, shared by the workers of a cluster.

    A member that ends makes the present others end. A member that arrives later waits
    for those that are missing.
    """

    def __init__(self) -> None:
        self._members: dict[GangRun, dict[int, Finish]] = {}

    def join(
        self,
        task: TaskKey,
        run: RunNumber,
        size: int,
        seconds: float,
        finish: Finish,
    ) -> None:
        """Add a member, which ends once all members have worked long enough.

        Args:
            task: Task of the member.
            run: Number of the run.
            size: Number of the gang's tasks.
            seconds: Time for which the members work together.
            finish: Ends the member's run.
        """
        members = self._members.setdefault((*task[:3], run), {})
        members[task.index] = finish
        loop = get_running_loop()
        if len(members) == size:
            loop.call_later(seconds, self._complete, members, size)
        loop.call_later(GANG_TIMEOUT_SECONDS, self._give_up, members, task, size)

    def leave(self, task: TaskKey, run: RunNumber) -> None:
        """Remove a member that has ended by itself; the present others end as well."""
        members = self._members.pop((*task[:3], run), {})
        members.pop(task.index, None)
        _finish_all(members, RunOutcome.GANG_BROKEN)

    def _complete(self, members: dict[int, Finish], size: int) -> None:
        if len(members) == size:
            _finish_all(members, RunOutcome.DONE)

    def _give_up(self, members: dict[int, Finish], task: TaskKey, size: int) -> None:
        if len(members) < size and task.index in members:
            members.pop(task.index)(RunOutcome.GANG_INCOMPLETE)


def _finish_all(members: dict[int, Finish], outcome: RunOutcome) -> None:
    finishes = list(members.values())
    members.clear()
    for finish in finishes:
        finish(outcome)
