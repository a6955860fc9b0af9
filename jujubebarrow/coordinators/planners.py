"""Planning of runs for startable tasks."""

from collections import Counter
from collections.abc import Iterator
from itertools import chain
from math import inf
from typing import Any

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.late_start_records import StepKey
from jujubebarrow.coordinators.late_start_waits import LateStartWait
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.step_states import StepState
from jujubebarrow.coordinators.task_states import TaskState
from jujubebarrow.coordinators.wait_recorders import WaitReason, WaitRecorder
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.identifiers import TeamId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.placements.fair_shares import FairShare
from jujubebarrow.placements.free_rooms import FreeRoom
from jujubebarrow.placements.job_orders import IN_TIME_GROUP, JobOrder
from jujubebarrow.placements.pause_limits import find_needed_workers
from jujubebarrow.placements.placers import choose_gang, choose_worker
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources
from jujubebarrow.workloads.task_keys import TaskKey

ESTABLISHED_SECONDS = 5.0
"""Time since its start after which a worker's crash under a task is hardly its own."""
ESTABLISHED_WAIT_SECONDS = 1.0
"""Time for which a suspect waits for such a worker before it takes any other."""

LATE_STARTS_WAIT_SECONDS = 1.5
"""Time for which a long-running task waits for a worker with capacity for late starts.
"""


class TaskPlanner:
    """Plans runs in the order of the ranks of the jobs.

    Args:
        state: Jobs and workers of the pool.
        order: Ranking of the jobs.
        fair_share: Finds the jobs beyond their team's share.
        waits: Records why long-running tasks wait.
        log: Decision log.
    """

    def __init__(
        self,
        state: PoolState,
        order: JobOrder,
        fair_share: FairShare,
        waits: WaitRecorder,
        log: DecisionLog,
    ):
        self._state = state
        self._order = order
        self._fair_share = fair_share
        self._waits = waits
        self._log = log
        self._needed_workers: frozenset[WorkerId] = frozenset()
        self._late_start_wait = LateStartWait(state)
        self._room = FreeRoom([])
        # Free capacity of the pool that no run of the plan takes yet.
        self._spare = NO_RESOURCES
        # What runs would need that wait in this plan for a grant of their team. Another
        # team's tasks may run there, as nobody knows when such a grant comes.
        self._requested: dict[TeamId, Resources] = {}

    def plan(self, now: float, wall: float, run_limit: float = inf) -> list[ActiveRun]:
        """Plan runs for all startable tasks that fit on a worker.

        Args:
            now: Time in seconds.
            wall: Unix time in seconds.
            run_limit: Number of planned runs from which on no further step is planned.
        """
        self._state.grants.clear_requests()
        workers = [w for w in self._state.workers.values() if w.is_available]
        jobs = [
            job
            for job in self._state.list_open_jobs()
            if not job.phase.is_final and not job.held_until
        ]
        for job in jobs:
            options = self._state.options
            job.open_due_occurrences(wall, options.early_start, options.row_limit)
        unpaused, paused = self._divide_by_pause(workers, jobs, now)
        self._room = FreeRoom(unpaused)
        self._spare = NO_RESOURCES
        self._requested.clear()
        for worker in unpaused:
            if min(worker.free) >= 0:
                self._spare = self._spare.plus(worker.free)
        jobs = self._sort_jobs(jobs, unpaused, now)
        planned: list[ActiveRun] = []
        for job, position, step in self._order_steps(jobs):
            if len(planned) >= run_limit:
                break
            allowed = self._filter_by_advice(job, position, step, unpaused, now)
            planned += self._plan_step(job, position, step, allowed, paused, now, wall)
        return planned

    def _divide_by_pause(
        self, workers: list[WorkerView], jobs: list[JobProgress], now: float
    ) -> tuple[list[WorkerView], list[WorkerView]]:
        """Return the workers that get new tasks, and those that recent failures pause.

        Args:
            workers: Workers that accept tasks unless they are paused.
            jobs: Jobs that may have startable steps.
            now: Time in seconds.
        """
        unpaused = [worker for worker in workers if not worker.score.is_paused(now)]
        paused = [worker for worker in workers if worker.score.is_paused(now)]
        if not paused:
            return unpaused, paused
        steps = (step.spec for job in jobs for _, _, step in job.startable_steps())
        needed = find_needed_workers(unpaused, paused, steps, now)
        names = frozenset(worker.worker for worker in needed)
        if names and names != self._needed_workers:
            self._log.write(
                "pauses_ignored",
                pool=self._state.pool,
                ignored=sorted(names),
                paused=len(paused),
                workers=len(workers),
            )
        self._needed_workers = names
        still_paused = [worker for worker in paused if worker.worker not in names]
        return unpaused + needed, still_paused

    def _sort_jobs(
        self, jobs: list[JobProgress], workers: list[WorkerView], now: float
    ) -> list[JobProgress]:
        """Return the jobs by rank, those beyond their team's share after the others.

        Only jobs that can still finish in time are divided by team; late ones come
        after them as before.
        """
        ranked = [(self._order.rank(job, now), job) for job in jobs]
        ranked.sort(key=lambda item: item[0])
        in_time = [job for rank, job in ranked if rank.group == IN_TIME_GROUP]
        capacity = sum(worker.capacity_for_finite_cpu for worker in workers)
        excess = self._fair_share.find_excess(in_time, self._state.finite_cpu, capacity)
        if excess:
            ranked.sort(key=lambda item: (item[0].group, item[1].record.job in excess))
        return [job for _, job in ranked]

    def _order_steps(
        self, jobs: list[JobProgress]
    ) -> Iterator[tuple[JobProgress, tuple[int, int], StepState]]:
        """Iterate over the steps that may start now in the order of the jobs.

        Long-running steps come first; otherwise a finite step of a job that also has
        long-running ones would take the place of the runs that they preempt. Steps with
        a task that has crashed its workers repeatedly come last, as each of their
        starts may take a worker away from all others.
        """
        long_running = [(job, True) for job in jobs if job.is_long_running]
        last = []
        for job, is_long_running in chain(long_running, ((job, False) for job in jobs)):
            for occurrence, number, step in job.startable_steps():
                if step.spec.long_running is not is_long_running:
                    continue
                if not self._can_start(job, step):
                    continue
                item = (job, (occurrence, number), step)
                if step.is_crashing:
                    last.append(item)
                else:
                    yield item
        yield from last

    def _can_start(self, job: JobProgress, step: StepState) -> bool:
        """Return False if planning a step would have no effect.

        Advice is requested ahead of free capacity, and long-running tasks can take the
        place of others.
        """
        return (
            step.spec.long_running
            or self._room.may_fit(step.spec.reserved)
            or self._state.advice.is_needed(job.record.queue)
        )

    def _filter_by_advice(
        self,
        job: JobProgress,
        position: tuple[int, int],
        step: StepState,
        workers: list[WorkerView],
        now: float,
    ) -> list[WorkerView]:
        """Return the workers on which the placement advice allows a step.

        Requests further grants if too few of these workers have free capacity.
        """
        registry = self._state.advice
        if not registry.is_needed(job.record.queue):
            return workers
        key = (job.record.job, *position)
        allowed = [w for w in workers if registry.find_ticket(key, w.incarnation, now)]
        usable_count = sum(step.spec.reserved.fits(worker.free) for worker in allowed)
        if usable_count < len(step.waiting):
            registry.add_request(key, len(step.waiting) - usable_count)
        return allowed

    def _plan_step(
        self,
        job: JobProgress,
        position: tuple[int, int],
        step: StepState,
        workers: list[WorkerView],
        paused: list[WorkerView],
        now: float,
        wall: float,
    ) -> list[ActiveRun]:
        """Plan runs for the waiting tasks of a step.

        Args:
            job: Job of the step.
            position: Index of the occurrence and index of the step.
            step: State of the step.
            workers: Workers that accept tasks of the step.
            paused: Workers that are paused because recent runs on them failed.
            now: Time in seconds.
            wall: Unix time in seconds.
        """
        if step.spec.gang:
            return self._plan_gang(job, position, step, workers, now)
        planned = []
        key = (job.record.job, *position)
        run_counts = count_runs_by_worker(step)
        # Suspects have fewer workers to choose from and must not keep others waiting.
        waiting = [
            index
            for index in job.list_recordable(step, self._state.options.row_limit)
            if not self._is_delayed(job, position, step, step.tasks[index], now)
        ]
        waiting.sort(key=lambda index: step.tasks[index].is_suspect)
        for placed_count, index in enumerate(waiting):
            task = step.tasks[index]
            safe = _filter_by_late_starts(key, step, workers)
            worker = self._choose_worker(step, task, safe, run_counts, now, wall)
            victims = None
            if worker is None and step.spec.long_running:
                worker, victims = self._place_long_running(
                    job, key, step, task, workers, paused, run_counts, now
                )
            if worker is None and victims is None:
                self._record_wait(job, position, step, WaitReason.WORKER, now)
                break
            # A grant is requested only for a run that could start, since the other
            # pools cannot use what is granted.
            if not self._request_start(job, step, len(waiting) - placed_count):
                self._record_wait(job, position, step, WaitReason.GRANT, now)
                break
            if worker is None:
                self._record_wait(job, position, step, WaitReason.WORKER, now)
                for run in victims or ():
                    self._state.request_stop(run)
                break
            run_counts[worker.worker] += 1
            task_key = TaskKey(*key, index)
            number = RunNumber(task.last_run + 1)
            planned.append(self._plan_run(job, step, task_key, number, worker, now))
        if not step.waiting:
            self._waits.clear(key)
        return planned

    def _compute_wait(self, task: TaskState, now: float) -> float:
        """Return for how many seconds this owner has kept a task waiting."""
        return now - max(task.absent_since, self._state.owned_since)

    def _place_long_running(
        self,
        job: JobProgress,
        key: StepKey,
        step: StepState,
        task: TaskState,
        workers: list[WorkerView],
        paused: list[WorkerView],
        run_counts: Counter[WorkerId],
        now: float,
    ) -> tuple[WorkerView | None, list[ActiveRun] | None]:
        """Return a worker for a long-running task, or runs to be stopped for it.

        The users of the task notice its absence, so that it waits only some time for a
        worker that has capacity for all late starts as well. It overloads the worker
        only if the worker restarts soon and is out of reach then.

        Returns:
            Worker, or None; runs to be stopped, or None if stopping is of no use.
        """
        safe = _filter_by_late_starts(key, step, workers)
        wait = min(self._compute_wait(task, now), now - job.accepted_at)
        ignores_late_starts = wait >= LATE_STARTS_WAIT_SECONDS
        if ignores_late_starts:
            worker = choose_worker(
                step.spec,
                workers,
                run_counts,
                task.avoided_worker,
                task.is_suspect,
                ignores_late_starts=True,
            )
            if worker is not None:
                return worker, None
        else:
            paused = _filter_by_late_starts(key, step, paused)
        victims = self._find_preemptible_runs(step, safe, run_counts)
        if victims is None and ignores_late_starts:
            victims = self._find_preemptible_runs(
                step, workers, run_counts, ignores_late_starts=True
            )
        if victims is not None:
            return None, victims
        worker = self._choose_paused(
            job, step, paused, run_counts, task, ignores_late_starts
        )
        return worker, None

    def _is_delayed(
        self,
        job: JobProgress,
        position: tuple[int, int],
        step: StepState,
        task: TaskState,
        now: float,
    ) -> bool:
        """Return whether a task must not start yet."""
        if now < task.blocked_until:
            return True
        if task.in_flight_starts > 0:
            # The result tells whether the start may be executed late.
            return True
        if self._late_start_wait.must_wait(job, step, task, now):
            self._record_late_start_wait(job, position, step, task, now)
            return True
        if not task.losses:
            return False
        return self._compute_wait(task, now) < step.compute_restart_delay(task)

    def _record_late_start_wait(
        self,
        job: JobProgress,
        position: tuple[int, int],
        step: StepState,
        task: TaskState,
        now: float,
    ) -> None:
        def describe() -> dict[str, Any]:
            ends = self._late_start_wait.find_ends(task, now)
            workers = self._state.workers
            registered = [
                name
                for name in ends
                if name in workers and workers[name].entry is not None
            ]
            return {
                "pool": self._state.pool,
                "task": step.tasks.index(task),
                "until": {name: round(end, 3) for name, end in ends.items()},
                "registered": registered,
                "unresponsive": [
                    name for name in registered if workers[name].unresponsive_since
                ],
            }

        key = (job.record.job, *position)
        self._waits.record(key, WaitReason.LATE_START, now, describe)

    def _choose_worker(
        self,
        step: StepState,
        task: TaskState,
        workers: list[WorkerView],
        run_counts: Counter[WorkerId],
        now: float,
        wall: float,
    ) -> WorkerView | None:
        """Return the worker for a task, or None if no worker is suitable.

        A suspect waits some time for a worker that has been up for long, since one that
        has just started may crash by itself. A finite task that has lost several
        workers also waits for a worker without runs, for as long as it was delayed.
        """
        if task.is_suspect:
            delay = step.compute_restart_delay(task)
            wait = self._compute_wait(task, now) - delay
            if wait < ESTABLISHED_WAIT_SECONDS:
                started_before = 1000 * (wall - ESTABLISHED_SECONDS)
                workers = [w for w in workers if w.started_at_ms <= started_before]
            if wait < delay and not step.spec.long_running:
                workers = [worker for worker in workers if not worker.runs]
        return choose_worker(
            step.spec, workers, run_counts, task.avoided_worker, task.is_suspect
        )

    def _request_start(self, job: JobProgress, step: StepState, count: int) -> bool:
        """Return whether a task of a step fits into the team's grant.

        Otherwise requests a grant for the tasks that the pool has free capacity for;
        the team's limit is of no use to a pool whose workers are full. Long-running
        tasks can take the place of other runs and need no free capacity.

        Args:
            job: Job of the step.
            step: Step with waiting tasks.
            count: Number of waiting tasks.
        """
        grants, team = self._state.grants, job.record.team
        reserved = step.spec.reserved
        if not step.spec.long_running:
            count = reserved.count_fitting(self._compute_spare(team), count)
        count = grants.count_admissible(team, step.spec.needs, count)
        if grants.request_start(team, step.spec.needs, count):
            return True
        self._record_request(team, reserved.times(count))
        return False

    def _compute_spare(self, team: TeamId) -> Resources:
        """Return the free capacity that a team does not wait for a grant for yet."""
        return self._spare.minus(self._requested.get(team, NO_RESOURCES))

    def _record_request(self, team: TeamId, amount: Resources) -> None:
        self._requested[team] = self._requested.get(team, NO_RESOURCES).plus(amount)

    def _record_wait(
        self,
        job: JobProgress,
        position: tuple[int, int],
        step: StepState,
        reason: WaitReason,
        now: float,
    ) -> None:
        if not step.spec.long_running:
            return

        def describe() -> dict[str, Any]:
            grants, team = self._state.grants, job.record.team
            workers = self._state.workers.values()
            counts = {
                "accepting": [worker.can_accept_tasks(now) for worker in workers],
                "unresponsive": [bool(w.unresponsive_since) for w in workers],
                "paused": [worker.score.is_paused(now) for worker in workers],
                "cordoned": [worker.is_cordoned for worker in workers],
                "held_for_late_starts": [w.free != w.unreserved for w in workers],
            }
            return {
                "pool": self._state.pool,
                "team": team,
                "tasks": len(step.waiting),
                "needs": step.spec.needs,
                "used": grants.used(team),
                "granted": grants.granted(team),
                "limit": grants.limit(team),
                "per_worker": step.spec.most_per_worker,
                "workers": len(workers),
                **{name: sum(flags) for name, flags in counts.items()},
            }

        self._waits.record((job.record.job, *position), reason, now, describe)

    def _plan_gang(
        self,
        job: JobProgress,
        position: tuple[int, int],
        step: StepState,
        workers: list[WorkerView],
        now: float,
    ) -> list[ActiveRun]:
        indexes = step.waiting
        if len(indexes) < len(step.tasks):
            return []
        if any(self._is_delayed(job, position, step, task, now) for task in step.tasks):
            return []
        key = (job.record.job, *position)
        workers = [
            worker
            for worker in workers
            if not (step.spec.most_per_worker and worker.count_late_starts(key))
        ]
        chosen = choose_gang(step.spec, len(indexes), workers)
        if chosen is None:
            return []
        total = step.spec.needs.times(len(indexes))
        reserved = step.spec.reserved.times(len(indexes))
        grants, team = self._state.grants, job.record.team
        count = reserved.count_fitting(self._compute_spare(team), 1)
        count = grants.count_admissible(team, total, count)
        if not grants.request_start(team, total, count):
            self._record_request(team, reserved.times(count))
            return []
        number = RunNumber(max(task.last_run for task in step.tasks) + 1)
        checkpoint = max(task.checkpoint for task in step.tasks)
        planned = []
        for index, worker in zip(indexes, chosen, strict=True):
            step.tasks[index].checkpoint = checkpoint
            task_key = TaskKey(*key, index)
            planned.append(self._plan_run(job, step, task_key, number, worker, now))
        return planned

    def _plan_run(
        self,
        job: JobProgress,
        step: StepState,
        key: TaskKey,
        number: RunNumber,
        worker: WorkerView,
        now: float,
    ) -> ActiveRun:
        task = step.tasks[key.index]
        task.prune_late_starts(now, self._state.ended_workers)
        run = ActiveRun(
            task=key,
            run=number,
            incarnation=worker.incarnation,
            reserved=step.spec.reserved,
            usage=step.spec.needs,
            is_long_running=step.spec.long_running,
            is_suspect=task.is_suspect,
            is_isolated=(
                not step.spec.long_running and step.compute_restart_delay(task) > 0
            ),
            ticket=self._state.advice.find_ticket(key[:3], worker.incarnation, now),
        )
        job.record_planned_run(run)
        self._state.add_run(job, run)
        self._room.invalidate()
        self._spare = self._spare.minus(run.reserved)
        self._state.mark_changed(job)
        return run

    def _choose_paused(
        self,
        job: JobProgress,
        step: StepState,
        paused: list[WorkerView],
        run_counts: Counter[WorkerId],
        task: TaskState,
        ignores_late_starts: bool,
    ) -> WorkerView | None:
        """Return a paused worker for a long-running task, or None.

        A pause spares finite tasks the attempts that they would use up. Long-running
        tasks have no attempts to lose and must not wait while there is room.
        """
        if self._state.advice.is_needed(job.record.queue):
            return None
        return choose_worker(
            step.spec,
            paused,
            run_counts,
            task.avoided_worker,
            ignores_late_starts=ignores_late_starts,
        )

    def _find_preemptible_runs(
        self,
        step: StepState,
        workers: list[WorkerView],
        run_counts: Counter[WorkerId],
        ignores_late_starts: bool = False,
    ) -> list[ActiveRun] | None:
        """Return runs of finite tasks without which a long-running task would fit.

        Chooses the worker on which the fewest runs have to be stopped, and on that
        worker the runs with the least progress. Returns None if there is no such
        worker.
        """
        best: list[ActiveRun] | None = None
        for worker in workers:
            if not worker.has_label(step.spec.label):
                continue
            limit = step.spec.most_per_worker
            if limit and run_counts[worker.worker] >= limit:
                continue
            chosen = self._choose_victims(step, worker, ignores_late_starts)
            if chosen is not None and (best is None or len(chosen) < len(best)):
                best = chosen
        return best

    def _choose_victims(
        self, step: StepState, worker: WorkerView, ignores_late_starts: bool
    ) -> list[ActiveRun] | None:
        next_free = worker.capacity.minus(worker.late_starts_reserved)
        if not ignores_late_starts and not step.spec.reserved.fits(next_free):
            return None
        free_capacity = worker.unreserved
        for run in worker.runs.values():
            if run.stage is RunStage.STOPPING and not run.is_absent:
                free_capacity = free_capacity.plus(run.reserved)
        victims: list[ActiveRun] = []
        runs = sorted(worker.runs.values(), key=lambda run: run.progress_percent)
        for run in runs:
            if step.spec.reserved.fits(free_capacity):
                return victims
            job = self._state.jobs.get(run.task.job)
            is_preemptible = run.stage in (RunStage.CONFIRMED, RunStage.RECORDED)
            if job is None or run.is_long_running or not is_preemptible:
                continue
            if run.is_absent:
                continue
            victims.append(run)
            free_capacity = free_capacity.plus(run.reserved)
        return victims if step.spec.reserved.fits(free_capacity) else None


def _filter_by_late_starts(
    key: StepKey, step: StepState, workers: list[WorkerView]
) -> list[WorkerView]:
    """Return the workers on which the step's limit permits one more late start."""
    limit = step.spec.most_per_worker
    if not limit:
        return workers
    return [worker for worker in workers if worker.count_late_starts(key) < limit]


def count_runs_by_worker(step: StepState) -> Counter[WorkerId]:
    """Return the number of a step's active runs on each worker."""
    return Counter(task.active.worker for task in step.tasks if task.active is not None)
