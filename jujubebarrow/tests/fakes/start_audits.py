"""Checks of where workers started tasks, from the workers' own records."""

from collections.abc import Iterator
from enum import Enum

from jujubebarrow.standins.emulated_workers import EmulatedRun, EmulatedWorker
from jujubebarrow.tests.fakes.platform_callers import SubmittedJob
from jujubebarrow.tests.fakes.platform_loads import decode_step
from jujubebarrow.tests.fakes.platform_worker_paths import WorkerPath
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.task_keys import TaskKey


class StartRule(Enum):
    """Rule that a start may break."""

    ROOM = "room"
    LABEL = "label"
    STEP_LIMIT = "step-limit"
    POOL = "pool"


class StartAudit:
    """Finds starts that a worker's room, the step or the configuration forbid.

    Args:
        workers: Workers.
        paths: Interface of each worker.
        jobs: Jobs whose tasks may run.
    """

    def __init__(
        self,
        workers: list[EmulatedWorker],
        paths: list[WorkerPath],
        jobs: list[SubmittedJob],
    ):
        self._workers = workers
        self._paths = paths
        self._jobs = {job.job: job for job in jobs}
        self._steps = {
            job.job: [decode_step(step) for step in job.steps] for job in jobs
        }

    def find_violations(self, rule: StartRule) -> list[str]:
        """Return the starts that break a rule."""
        return [
            f"{rule.value}: {problem}; {run}; {self._describe_sending(number, run)}"
            for number, run, active in self._iterate_starts()
            for problem in self._find_problems(rule, run, active)
        ]

    def _find_problems(
        self, rule: StartRule, run: EmulatedRun, active: list[EmulatedRun]
    ) -> Iterator[str]:
        step = self._find_step(run.task)
        if rule is StartRule.ROOM:
            needs = self._add_up(active)
            if not needs.fits(run.known_capacity):
                yield f"{len(active)} tasks need {needs} of {run.known_capacity}"
        elif rule is StartRule.LABEL:
            if step.label and step.label not in run.labels:
                yield f"{step.label!r} is not among {run.labels}"
        elif rule is StartRule.STEP_LIMIT:
            count = self._count_step(run, active)
            if step.most_per_worker and count > step.most_per_worker:
                yield f"{count} of {step.most_per_worker} tasks"
        elif run.pool != (pool := self._jobs[run.task.job].queue.pool):
            yield f"{run.pool} instead of {pool}"

    def count_tight_starts(self) -> dict[StartRule, int]:
        """Return how many starts were at the bound of each rule.

        These fill a worker so that no other task of that size fits, need a label, reach
        the limit of their step, or run where another pool has workers too.
        """
        counts = dict.fromkeys(StartRule, 0)
        pools = {worker.pool for worker in self._workers}
        for _, run, active in self._iterate_starts():
            step = self._find_step(run.task)
            needs = self._add_up(active).plus(step.reserved)
            counts[StartRule.ROOM] += not needs.fits(run.known_capacity)
            counts[StartRule.LABEL] += bool(step.label)
            counts[StartRule.STEP_LIMIT] += (
                self._count_step(run, active) == step.most_per_worker
            )
            counts[StartRule.POOL] += len(pools) > 1
        return counts

    def _iterate_starts(self) -> Iterator[tuple[int, EmulatedRun, list[EmulatedRun]]]:
        """Iterate over all starts, each with the worker's active runs after it."""
        for number, worker in enumerate(self._workers):
            active: list[EmulatedRun] = []
            for run in worker.run_history:
                active = [
                    each
                    for each in active
                    if each.ended_at is None or each.ended_at > run.started_at
                ]
                active.append(run)
                yield number, run, active

    def _add_up(self, runs: list[EmulatedRun]) -> Resources:
        needs = NO_RESOURCES
        for run in runs:
            needs = needs.plus(self._find_step(run.task).reserved)
        return needs

    def _count_step(self, run: EmulatedRun, active: list[EmulatedRun]) -> int:
        return sum(each.task[:3] == run.task[:3] for each in active)

    def _find_step(self, task: TaskKey) -> StepSpec:
        return self._steps[task.job][task.step]

    def _describe_sending(self, number: int, run: EmulatedRun) -> str:
        """Return whether an earlier incarnation got the start, and what was known."""
        path = self._paths[number]
        births = [time for time in path.births if time <= run.started_at]
        if not births:
            return "first incarnation"
        if run.sent_at < births[-1]:
            return f"sent {births[-1] - run.sent_at:.3f} s before the restart"
        known = [time for time in path.registrations if births[-1] <= time]
        registered = f"{run.sent_at - known[0]:+.3f} s" if known else "not registered"
        since_restart = run.sent_at - births[-1]
        return (
            f"sent {since_restart:.3f} s after the restart, {registered} after its "
            "registration"
        )
