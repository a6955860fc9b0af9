"""Accepted job and the progress of its tasks."""

from collections.abc import Iterator
from typing import Any

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.coordinator_options import DEFAULT_ROW_BYTES
from jujubebarrow.coordinators.step_states import StepState
from jujubebarrow.coordinators.task_states import TaskState
from jujubebarrow.coordinators.worker_views import UNKNOWN_START_MS
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId, WorkerIncarnation
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.job_records import (
    RESERVED_ROW_SHARE,
    TASK_LIMIT,
    JobRecord,
)
from jujubebarrow.workloads.step_specs import (
    CHECKPOINT_BYTES,
    STEP_BYTES,
    TASK_BYTES,
)
from jujubebarrow.workloads.task_keys import TaskKey

PHASE_KEY = "phase"
TASKS_KEY = "tasks"
FINISHED_KEY = "finished"
BEGUN_KEY = "begun"
CLOSED_KEY = "closed"
LOSSES_KEY = "losses"
FINISHED_BYTES = 3
"""Size of the number of a finished occurrence in the stored progress."""
LARGEST_TASK_BYTES = 2 * (TASK_BYTES + CHECKPOINT_BYTES + STEP_BYTES)
"""Bound of what a task with a step of its own adds to the stored progress; twice that,
as the finished occurrences need room as well."""


class JobProgress:
    """Progress of a job, stored as one row.

    Args:
        record: Stored record of the accepted job.
        accepted_at: Estimated time in seconds on this process's monotonic clock at
            which the job was accepted.

    Attributes:
        objective: Time in seconds from its acceptance in which the job should complete.
        estimated_work: Estimated work of one occurrence in core-seconds.
        is_long_running: Whether a step runs until the job is cancelled.
        is_selective: Whether a step requires a label or is a gang, so that it may wait
            for certain workers.
        has_started_tasks: Whether a worker has acknowledged the start of a task or has
            listed a run; a planned run need not have started.
        held_until: Time in seconds until which the job's progress is not stored, since
            the store has refused it; 0 if the store has not.
    """

    def __init__(self, record: JobRecord, accepted_at: float):
        self.record = record
        self.accepted_at = accepted_at
        # Copies of what the record computes anew at each access.
        self.objective = record.objective
        self.estimated_work = record.estimated_work
        self.is_long_running = record.is_long_running
        self.is_selective = any(step.label or step.gang for step in record.steps)
        self.phase = JobPhase.QUEUED
        self.stored_phase: JobPhase | None = None
        self.has_started_tasks = False
        self.closed_at = 0.0
        self.held_until = 0.0
        # Tasks that owners of other pools have reported as done.
        self.reported_ends: set[TaskKey] = set()
        self._reserved_bytes = record.reserved_bytes
        self._open_task_count = 0
        self._occurrences: dict[int, list[StepState]] = {}
        self._finished: set[int] = set()
        self._next_occurrence = 0
        self._remaining: tuple[float, float] | None = None
        # Derived from the tasks; None after a task has changed.
        self._startable: list[tuple[int, int, StepState]] | None = None
        self._waiting_cpu: int | None = None
        self._active: list[ActiveRun] | None = None

    @property
    def is_closed_in_store(self) -> bool:
        """Whether the stored phase is final and no run may still be executing."""
        is_final = self.stored_phase is not None and self.stored_phase.is_final
        return is_final and not self.has_active_runs

    def open_due_occurrences(
        self, wall: float, early_start: float, row_limit: int = DEFAULT_ROW_BYTES
    ) -> None:
        """Open the occurrences that are due.

        An occurrence waits for earlier ones to finish if the stored progress has no
        room for another.

        Args:
            wall: Unix time in seconds.
            early_start: Seconds by which an occurrence may start before its due time.
            row_limit: Largest value of a stored row in bytes.
        """
        while self._next_occurrence < self.record.occurrence_count:
            number = self._next_occurrence
            if self.record.earliest_start(number) > wall + early_start:
                return
            if not self._has_room_for_occurrence(row_limit):
                return
            self._next_occurrence += 1
            if number not in self._finished:
                self._open_occurrence(number)

    def _has_room_for_occurrence(self, row_limit: int) -> bool:
        if not self._occurrences:
            return True
        size = (len(self._occurrences) + 1) * self._reserved_bytes
        task_count = self._open_task_count + self.record.task_count
        return size <= RESERVED_ROW_SHARE * row_limit and task_count <= TASK_LIMIT

    def _open_occurrence(self, number: int) -> list[StepState]:
        steps = self._occurrences.get(number)
        if steps is None:
            steps = [StepState(spec) for spec in self.record.steps]
            self._occurrences[number] = steps
            self._open_task_count += self.record.task_count
            self._remaining = None
            self._forget_derived()
        return steps

    def _forget_derived(self) -> None:
        self._startable = self._waiting_cpu = self._active = None

    def next_occurrence_at(self) -> float | None:
        """Return the Unix time at which the next unopened occurrence is due, if any."""
        if self._next_occurrence >= self.record.occurrence_count or self.phase.is_final:
            return None
        return self.record.earliest_start(self._next_occurrence)

    def startable_steps(self) -> Iterator[tuple[int, int, StepState]]:
        """Iterate over the steps that have waiting tasks and may start.

        A step may start once all steps that it has to come after are done. A job in a
        final phase has no startable steps.

        Returns:
            Index of the occurrence, index of the step, and state of the step.
        """
        if self.phase.is_final:
            return iter(())
        if self._startable is None:
            self._startable = [
                (occurrence, number, step)
                for occurrence, steps in self._occurrences.items()
                for number, step in enumerate(steps)
                if not step.is_done
                and step.has_waiting
                and all(steps[before].is_done for before in step.spec.after)
            ]
        return iter(self._startable)

    def steps(self) -> Iterator[tuple[int, int, StepState]]:
        """Iterate over the steps of all open occurrences.

        Yields:
            Index of the occurrence, index of the step, and state of the step.
        """
        for occurrence, steps in self._occurrences.items():
            for number, step in enumerate(steps):
                yield occurrence, number, step

    def estimate_remaining(self) -> tuple[float, float]:
        """Return the estimated remaining time and work of the open occurrences.

        Returns:
            Time in seconds of the longest chain of unfinished steps, and the work of
            all unfinished tasks in core-seconds.
        """
        if self._remaining is None:
            self._remaining = self._compute_remaining()
        return self._remaining

    def _compute_remaining(self) -> tuple[float, float]:
        chain = 0.0
        work = 0.0
        for steps in self._occurrences.values():
            longest: list[float] = []
            for step in steps:
                before = [longest[number] for number in step.spec.after]
                remaining = 0.0 if step.is_done else step.spec.estimate
                longest.append(max(before, default=0.0) + remaining)
                open_tasks = len(step.tasks) - step.done_count
                work += open_tasks * step.spec.needs.cpu / 1000 * step.spec.estimate
            chain = max(chain, *longest)
        return chain, work

    def sum_waiting_cpu(self) -> int:
        """Return the requests of startable tasks in thousandths of a core."""
        if self.phase.is_final:
            return 0
        if self._waiting_cpu is None:
            self._waiting_cpu = sum(
                len(step.waiting) * step.spec.reserved.cpu
                for _, _, step in self.startable_steps()
            )
        return self._waiting_cpu

    def active_runs(self) -> Iterator[ActiveRun]:
        """Iterate over all runs that may still be executing."""
        if self._active is None:
            self._active = [
                task.active
                for _, _, step in self.steps()
                for task in step.tasks
                if task.active is not None
            ]
        return iter(self._active)

    def list_recordable(self, step: StepState, row_limit: int) -> list[int]:
        """Return the waiting tasks of a step that the stored progress has room for.

        Tasks that were started before are recorded already.

        Args:
            step: Open step of this job.
            row_limit: Largest value of a stored row in bytes.
        """
        waiting = step.waiting
        if (
            step.spec.starts_together
            or self._open_task_count * LARGEST_TASK_BYTES < row_limit
        ):
            return waiting
        size = FINISHED_BYTES * len(self._finished)
        size += sum(other.document_bytes for _, _, other in self.steps())
        room = max(0, row_limit - size) // step.spec.task_bytes
        recordable = []
        for index in waiting:
            if not step.tasks[index].last_run:
                if not room:
                    continue
                room -= 1
            recordable.append(index)
        return recordable

    def find_task(self, key: TaskKey) -> TaskState | None:
        """Return the state of a task of an open occurrence."""
        step = self.find_step(key)
        if step is None or not 0 <= key.index < len(step.tasks):
            return None
        return step.tasks[key.index]

    def find_step(self, key: TaskKey) -> StepState | None:
        """Return the step of a task of an open occurrence."""
        steps = self._occurrences.get(key.occurrence)
        if steps is None or not 0 <= key.step < len(steps):
            return None
        return steps[key.step]

    def record_planned_run(self, run: ActiveRun) -> None:
        """Make a planned run the active run of its task."""
        task = self.find_task(run.task)
        assert task is not None and task.active is None and not task.is_done
        task.active = run
        task.last_run = run.run
        self._forget_derived()
        if self.phase is JobPhase.QUEUED:
            self.phase = JobPhase.RUNNING

    def release_run(self, task: TaskState, now: float) -> None:
        """Clear the active run of a task.

        Args:
            task: Task of this job.
            now: Time in seconds.
        """
        run = task.active
        task.active = None
        task.absent_since = now
        self._forget_derived()
        if run is not None and run.task.occurrence in self._finished:
            self._close_occurrence_if_idle(run.task.occurrence)

    def _close_occurrence_if_idle(self, number: int) -> None:
        steps = self._occurrences.get(number, ())
        if steps and not any(
            task.active is not None for step in steps for task in step.tasks
        ):
            del self._occurrences[number]
            self._open_task_count -= self.record.task_count
            self._forget_derived()

    def record_done(self, key: TaskKey) -> None:
        """Mark a finite task as done; complete its occurrence and job if all are done.

        A job with a long-running step is never complete.
        """
        step = self.find_step(key)
        if step is None:
            return
        step.mark_done(key.index)
        self._remaining = None
        self._forget_derived()
        steps = self._occurrences[key.occurrence]
        if all(other.is_done for other in steps):
            self._finished.add(key.occurrence)
            self._close_occurrence_if_idle(key.occurrence)
        is_every_occurrence_done = len(self._finished) == self.record.occurrence_count
        if is_every_occurrence_done and not self.phase.is_final:
            self.phase = JobPhase.COMPLETED

    def record_failure(self, key: TaskKey, worker: WorkerId) -> None:
        """Record a failed run; a finite task without attempts left fails the job.

        Long-running tasks are started again however often they fail.
        """
        step = self.find_step(key)
        if step is None:
            return
        task = step.tasks[key.index]
        task.failures += 1
        task.avoided_worker = worker
        if step.spec.long_running or self.phase.is_final:
            return
        if task.failures >= self.record.attempts:
            self.phase = JobPhase.FAILED

    def fail(self) -> None:
        """Mark the job as failed unless its phase is final."""
        if not self.phase.is_final:
            self.phase = JobPhase.FAILED

    def cancel(self) -> None:
        """Mark the job as cancelled unless its phase is final."""
        if not self.phase.is_final:
            self.phase = JobPhase.CANCELLED

    def to_document(self) -> dict[str, Any]:
        """Return the stored form of the progress."""
        document: dict[str, Any] = {PHASE_KEY: self.phase.value}
        if self.closed_at:
            document[CLOSED_KEY] = round(self.closed_at, 1)
        if self.has_started_tasks:
            document[BEGUN_KEY] = True
        if self._finished:
            document[FINISHED_KEY] = sorted(self._finished)
        if not self.phase.is_final or self.has_active_runs:
            document[TASKS_KEY] = self._encode_tasks()
            if losses := self._encode_losses():
                document[LOSSES_KEY] = losses
        return document

    @property
    def has_active_runs(self) -> bool:
        """Whether a run may still be executing."""
        return next(self.active_runs(), None) is not None

    def _encode_tasks(self) -> list[list[Any]]:
        rows = []
        for occurrence, number, step in self.steps():
            done_mask = sum(
                1 << index for index, task in enumerate(step.tasks) if task.is_done
            )
            started = [
                _encode_task(index, task)
                for index, task in enumerate(step.tasks)
                if task.last_run and not task.is_done
            ]
            if done_mask or started:
                rows.append([occurrence, number, f"{done_mask:x}", started])
        return rows

    def _encode_losses(self) -> list[list[int]]:
        return [
            [occurrence, number, index, task.crashes, task.losses]
            for occurrence, number, step in self.steps()
            for index, task in enumerate(step.tasks)
            if task.losses and not task.is_done
        ]

    def _restore_losses(self, row: list[int]) -> None:
        occurrence, number, index, crashes, losses = row
        task = self._open_occurrence(occurrence)[number].tasks[index]
        task.crashes, task.losses = crashes, losses
        if task.active is not None:
            task.active.is_suspect = task.is_suspect

    def restore_closed(self, outcome: JobPhase) -> None:
        """Restore the progress of a job whose record is compact.

        Args:
            outcome: Final phase of the job.
        """
        self.phase = self.stored_phase = outcome

    def restore(self, document: dict[str, Any]) -> None:
        """Restore the progress that an owner of the pool has stored.

        Args:
            document: Stored form of the progress.
        """
        self.phase = JobPhase(document[PHASE_KEY])
        self.stored_phase = self.phase
        self.closed_at = document.get(CLOSED_KEY, 0.0)
        self.has_started_tasks = document.get(BEGUN_KEY, False)
        self._finished = set(document.get(FINISHED_KEY, ()))
        for occurrence, number, encoded_mask, started in document.get(TASKS_KEY, ()):
            step = self._open_occurrence(occurrence)[number]
            done_mask = int(encoded_mask, 16)
            for index in range(len(step.tasks)):
                if done_mask >> index & 1:
                    step.mark_done(index)
                    self._remaining = None
            for row in started:
                key = TaskKey(self.record.job, occurrence, number, row[0])
                _restore_task(step, key, row)
        self._forget_derived()
        for row in document.get(LOSSES_KEY, ()):
            self._restore_losses(row)


def estimate_document_bytes(document: dict[str, Any]) -> int:
    """Return about how many bytes a stored form has, rather too many than too few."""
    size = FINISHED_BYTES * len(document.get(FINISHED_KEY, ()))
    for _, _, done_mask, started in document.get(TASKS_KEY, ()):
        started_bytes = len(started) * (TASK_BYTES + CHECKPOINT_BYTES)
        size += STEP_BYTES + len(done_mask) + started_bytes
    return size


def _encode_task(index: int, task: TaskState) -> list[Any]:
    row: list[Any] = [index, task.last_run, task.failures, task.checkpoint]
    if task.active is not None:
        # A run that has moved was not planned for the present incarnation.
        start_ms = (
            UNKNOWN_START_MS if task.active.has_moved else task.active.incarnation[1]
        )
        row.extend((task.active.incarnation[0], start_ms))
    return row


def _restore_task(step: StepState, key: TaskKey, row: list[Any]) -> None:
    task = step.tasks[key.index]
    task.last_run, task.failures, task.checkpoint = row[1], row[2], row[3]
    if len(row) > 4:
        task.active = ActiveRun(
            task=key,
            run=RunNumber(row[1]),
            incarnation=WorkerIncarnation((row[4], row[5])),
            reserved=step.spec.reserved,
            usage=step.spec.needs,
            is_long_running=step.spec.long_running,
            stage=RunStage.INHERITED,
            is_start_sent=True,
        )
