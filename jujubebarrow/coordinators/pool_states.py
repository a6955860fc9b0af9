"""Jobs, workers and unstored changes of one pool."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from math import inf

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.coordinators.ended_workers import EndedWorkers
from jujubebarrow.coordinators.foreign_ends import ForeignEnd
from jujubebarrow.coordinators.job_changes import FinishedRunRef, JobChange
from jujubebarrow.coordinators.job_progresses import (
    JobProgress,
    estimate_document_bytes,
)
from jujubebarrow.coordinators.late_start_records import LateStartRecord
from jujubebarrow.coordinators.orders import StopOrder
from jujubebarrow.coordinators.recorded_leases import RecordedLease
from jujubebarrow.coordinators.task_states import TaskState
from jujubebarrow.coordinators.worker_views import CLOCK_RATE, WorkerView
from jujubebarrow.identifiers import JobId, PoolId, QueueId, TeamId
from jujubebarrow.limits.grant_registries import GrantRegistry
from jujubebarrow.placements.advice_registries import AdviceRegistry
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId

TAKEOVER_SECONDS = 4.0
"""Time before a takeover at which the former owner may have failed."""
TOKENS_PER_CLAIM_COUNT = 2**20
"""Number of fencing tokens between two successive claims of a pool."""
TRANSACTION_LIMIT_BYTES = 600_000
"""Size of the rows of one transaction; the store accepts 1 MB, in base64."""


class PoolState:
    """State of one pool, on which all decisions of the pool's owner are based.

    Args:
        pool: Id of the pool.
        token: Fencing token of the claim of the pool.
        options: Durations that the decisions depend on.
        owned_since: Time in seconds at which this instance took over the pool.
        former_owner_until: Time in seconds until which a former owner may send orders.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FenceToken,
        options: CoordinatorOptions,
        owned_since: float,
        former_owner_until: float = float("-inf"),
    ):
        self.pool = pool
        self.token = token
        self.options = options
        self.owned_since = owned_since
        self._former_owner_until = former_owner_until
        self.jobs: dict[JobId, JobProgress] = {}
        self._open_jobs: dict[JobId, JobProgress] = {}
        self.workers: dict[WorkerId, WorkerView] = {}
        self.ended_workers = EndedWorkers()
        self.grants = GrantRegistry()
        self.advice = AdviceRegistry()
        # Processor time in thousandths of a core reserved by each team's finite runs.
        self.finite_cpu: Counter[TeamId] = Counter()
        # Runs for which an order has to be sent, and stop orders against late starts.
        self.starts: list[ActiveRun] = []
        self.stops: list[ActiveRun] = []
        self.speed_changes: list[ActiveRun] = []
        self.late_start_stops: list[StopOrder] = []
        self.foreign_ends: list[ForeignEnd] = []
        self.recorded_leases: dict[WorkerId, RecordedLease] = {}
        self.last_fault_at = owned_since - TAKEOVER_SECONDS
        self._last_regained_at = float("-inf")
        self._changed: dict[QueueId, dict[JobId, None]] = defaultdict(dict)
        self._token_base = token
        self._issued_token_count = 0
        self._refusal_count = 0
        self._checked_refusal_count = 0
        # Workers of other pools; times at which they were deregistered, or infinity.
        self._other_pools_workers: dict[WorkerId, float] = {}
        self._other_pools_pruned_at = owned_since
        self._joined_workers: set[WorkerId] = set()
        self._deferred: dict[QueueId, dict[JobId, None]] = defaultdict(dict)
        self._finished_runs: dict[JobId, list[FinishedRunRef]] = defaultdict(list)
        self._held: dict[JobId, JobProgress] = {}
        self._former_owners_starts: dict[WorkerId, LateStartRecord] = {}

    @property
    def _last_former_order_at(self) -> float:
        """Time in seconds until which a former owner may have sent orders."""
        return max(self.owned_since, self._former_owner_until)

    @property
    def former_starts_end(self) -> float:
        """Time in seconds until which workers may execute starts of former owners.

        A former owner may have been killed before it recorded its last starts.
        """
        return self._last_former_order_at + self.options.late_order_window

    @property
    def former_leases_end(self) -> float:
        """Time in seconds at which the leases of former owners have expired."""
        options = self.options
        last_renewed_at = self._last_former_order_at + options.superseded_renewal
        return last_renewed_at + options.longest_lease / CLOCK_RATE

    def record_fault(self, time: float) -> None:
        """Record that a worker failed no earlier than at a time in seconds."""
        self.last_fault_at = max(self.last_fault_at, time)

    def record_regained(self, now: float) -> None:
        """Record that a worker responds again, so that it was not lost with an order.

        Args:
            now: Time in seconds.
        """
        self._last_regained_at = now

    def may_orders_be_late(self, now: float) -> bool:
        """Return whether orders have recently got no response from present workers.

        Args:
            now: Time in seconds.
        """
        return now - self._last_regained_at < self.options.late_order_window

    def replace_token_after_silence(self, worker: WorkerView) -> None:
        """Issue a higher token to a worker that gave no response.

        The first response to an order with the token then shows that the worker rejects
        all orders that it has not executed yet. Until then, no order grants a lease.
        """
        is_known = worker.has_seen_token and not worker.is_refusing
        if is_known and worker.has_unanswered_lease:
            worker.replace_token(self.issue_token())

    def add_job(self, job: JobProgress) -> None:
        """Add a job whose progress may still have to be restored."""
        self.jobs[job.record.job] = job
        self._open_jobs[job.record.job] = job

    def remove_job(self, job: JobProgress) -> None:
        """Remove a job whose retention time is over."""
        del self.jobs[job.record.job]
        self._held.pop(job.record.job, None)
        self._open_jobs.pop(job.record.job, None)

    def list_open_jobs(self) -> list[JobProgress]:
        """Return the jobs that are not in a final phase or have active runs.

        Closed jobs are kept for callers that ask for them; there are soon many more of
        them than open ones.
        """
        closed = [
            name
            for name, job in self._open_jobs.items()
            if job.phase.is_final and not job.has_active_runs
        ]
        for name in closed:
            del self._open_jobs[name]
        return list(self._open_jobs.values())

    def ensure_worker(self, worker: WorkerId) -> WorkerView:
        """Return the state of a worker; create the state for an unknown worker."""
        view = self.workers.get(worker)
        if view is None:
            view = WorkerView(
                worker,
                self.former_leases_end,
                self.issue_token(),
                self.former_leases_end + self.options.late_order_window,
            )
            view.needs_higher_token = worker in self._joined_workers
            self.workers[worker] = view
            late_starts = self._former_owners_starts.get(worker)
            if late_starts is not None:
                view.set_former_owners_starts(late_starts)
            recorded = self.recorded_leases.get(worker)
            if recorded is not None:
                view.restore_lease(recorded)
        return view

    def issue_token(self) -> FenceToken:
        """Return a fencing token for the orders to one incarnation of a worker.

        The token is higher than those issued before, so that the incarnation rejects
        the orders to its predecessor, and lower than those of any later claim.
        """
        self._issued_token_count = min(
            self._issued_token_count + 1, TOKENS_PER_CLAIM_COUNT - 1
        )
        return FenceToken(
            self._token_base * TOKENS_PER_CLAIM_COUNT + self._issued_token_count
        )

    def fence_open_acknowledgements(self, worker: WorkerView) -> bool:
        """Let the next start to a worker fence the renewals that are still open.

        Otherwise, the next incarnation might execute the start and then such a renewal,
        which would acknowledge the end of the started run before anyone has seen it.

        Returns:
            Whether a start may be sent; False until the claim is confirmed if it has no
            higher token left.
        """
        if not worker.has_open_acknowledgement:
            return True
        token = self.issue_token()
        if token <= worker.token:
            return False
        worker.raise_token(token)
        return True

    @property
    def refusal_count(self) -> int:
        """Number of refusals by workers that have seen a higher token."""
        return self._refusal_count

    @property
    def is_claim_disputed(self) -> bool:
        """Whether a worker has seen a higher token since the claim was last confirmed.

        The token may be that of a later owner of the pool, or of the owner of another
        pool that the worker belongs or has belonged to.
        """
        return self._refusal_count > self._checked_refusal_count

    @property
    def needs_confirmation(self) -> bool:
        """Whether the claim has to be confirmed for higher tokens."""
        has_few_tokens = 2 * self._issued_token_count > TOKENS_PER_CLAIM_COUNT
        return self.is_claim_disputed or bool(self._joined_workers) or has_few_tokens

    @property
    def joined_workers(self) -> frozenset[WorkerId]:
        """Workers that need a token above those of the pool that they have left."""
        return frozenset(self._joined_workers)

    def record_other_registration(self, worker: WorkerId, now: float) -> None:
        """Record that a worker is registered in another pool.

        Args:
            worker: Id of the worker.
            now: Time in seconds.
        """
        self._other_pools_workers[worker] = inf
        window = self.options.late_order_window
        if now - self._other_pools_pruned_at > window:
            self._other_pools_pruned_at = now
            self._other_pools_workers = {
                name: left_at
                for name, left_at in self._other_pools_workers.items()
                if now - left_at <= window
            }

    def record_deregistration(self, worker: WorkerId, now: float) -> None:
        """Record that a worker is not registered any more in whichever pool.

        Args:
            worker: Id of the worker.
            now: Time in seconds.
        """
        if worker in self._other_pools_workers:
            self._other_pools_workers[worker] = now

    def record_registration(self, worker: WorkerView, now: float) -> None:
        """Record that a worker is registered in this pool.

        A worker that has come from another pool under its id may execute a late start
        of that pool's owner, whose token may be higher than the present one.
        """
        left_at = self._other_pools_workers.pop(worker.worker, float("-inf"))
        if now - left_at <= self.options.late_order_window:
            worker.needs_higher_token = True
            self._joined_workers.add(worker.worker)

    def record_refusal(self, worker: WorkerView, token: FenceToken, now: float) -> bool:
        """Record that a worker has refused an order for its present incarnation.

        Args:
            worker: Worker that has seen a higher token.
            token: Token of the order. An order with a lower token than the present one
                may have been overtaken by a start with that one.
            now: Time in seconds.

        Returns:
            Whether the token is the present one, so that another owner has used the
            higher one.
        """
        if token != worker.token:
            return False
        if not worker.is_refusing:
            self._refusal_count += 1
        worker.record_refusal(now)
        return True

    def confirm_claim(
        self,
        revision: FenceToken,
        refusal_count: int,
        joined_workers: Iterable[WorkerId] = (),
    ) -> None:
        """Record that the claim of the pool still held.

        Args:
            revision: Revision at which the store confirmed the claim: higher than the
                claims of other pools before, lower than any later claim.
            refusal_count: Number of refusals before the claim was confirmed.
            joined_workers: Workers that had joined the pool by then.
        """
        self._checked_refusal_count = refusal_count
        self._token_base = revision
        self._issued_token_count = 0
        for worker in self.workers.values():
            self.replace_refused_token(worker)
        for name in joined_workers:
            self._joined_workers.discard(name)
            joined = self.workers.get(name)
            if joined is not None and joined.needs_higher_token:
                joined.needs_higher_token = False
                joined.replace_token(self.issue_token())

    def replace_refused_token(self, worker: WorkerView) -> None:
        """Issue a higher token to a worker of this pool that refuses the present one.

        A worker that is not registered in this pool is left to its present owner.
        """
        if not worker.is_refusing or worker.entry is None or self.is_claim_disputed:
            return
        worker.replace_token(self.issue_token())
        for run in worker.runs.values():
            if run.stage is RunStage.STOPPING:
                run.stop_acknowledged_at = 0.0
                self.stops.append(run)

    def set_former_owners_starts(
        self, records: dict[WorkerId, LateStartRecord]
    ) -> None:
        """Set the starts of former owners that workers may still execute."""
        self._former_owners_starts = records
        for name, record in records.items():
            self.ensure_worker(name).set_former_owners_starts(record)
        for job in self.jobs.values():
            self.block_former_starts(job)

    def block_former_starts(self, job: JobProgress) -> None:
        """Let tasks that ran before wait for starts of former owners elsewhere.

        Args:
            job: Job whose stored progress has been restored.
        """
        for name, record in self._former_owners_starts.items():
            for occurrence, number, step in job.steps():
                if not record.may_contain((job.record.job, occurrence, number)):
                    continue
                for task in step.tasks:
                    if task.last_run and not task.is_done:
                        task.record_late_start(name, record.end)

    def make_late_start_records(self, now: float) -> dict[WorkerId, LateStartRecord]:
        """Return the unacknowledged starts that workers may still execute."""
        return {
            name: view.make_late_start_record(now)
            for name, view in self.workers.items()
            if view.late_starts_end > now
        }

    def set_recorded_leases(self, leases: dict[WorkerId, RecordedLease]) -> None:
        """Replace the leases that are stored or may be stored.

        Args:
            leases: Leases of unresponsive workers. Only workers without a stored lease
                get new leases.
        """
        self.recorded_leases = leases
        for worker_id, worker in self.workers.items():
            recorded = leases.get(worker_id)
            if recorded is None:
                worker.is_lease_recorded = False
            elif not worker.is_lease_recorded:
                worker.restore_lease(recorded)

    def add_run(self, job: JobProgress, run: ActiveRun) -> None:
        """Reserve the resources of a run on its worker and in its team's grant."""
        worker = self.ensure_worker(run.worker)
        worker.add_run(run)
        if worker.started_at_ms and run.incarnation != worker.incarnation:
            # The worker has restarted since the run was recorded.
            worker.extend_expiry(self.find_late_expiry(worker))
        self.grants.add_usage(job.record.team, run.usage)
        if not run.is_long_running:
            self.finite_cpu[job.record.team] += run.reserved.cpu

    def find_late_expiry(self, worker: WorkerView) -> float:
        """Return when a lease expires that an order to a former incarnation granted.

        The present incarnation may execute such an order late. Times are in seconds.
        """
        options = self.options
        last_sent_at = max(
            worker.lease_issued_at or 0.0,
            self._last_former_order_at + options.superseded_renewal,
        )
        last_executed_at = last_sent_at + options.late_order_window
        return last_executed_at + options.accepted_lease / CLOCK_RATE

    def release_run(self, job: JobProgress, task: TaskState, now: float) -> None:
        """Clear the active run of a task and release the resources of the run."""
        run = task.active
        if run is None:
            return
        job.release_run(task, now)
        worker = self.workers.get(run.worker)
        if worker is not None:
            worker.remove_run(run, now)
        self.grants.remove_usage(job.record.team, run.usage)
        if not run.is_long_running:
            self.finite_cpu[job.record.team] -= run.reserved.cpu

    def count_planned_runs(self) -> int:
        """Return the number of runs that are not recorded in the store yet."""
        return sum(
            run.stage is RunStage.PLANNED
            for worker in self.workers.values()
            for run in worker.runs.values()
        )

    def request_stop(self, run: ActiveRun) -> None:
        """Request the stop of a run; its resources stay reserved until the run ends.

        Ignores a planned run, since no worker has received its start.
        """
        if run.stage is RunStage.STOPPING:
            return
        if run.stage is RunStage.PLANNED:
            return
        run.stage = RunStage.STOPPING
        run.stop_acknowledged_at = 0.0
        self.stops.append(run)

    def mark_changed(
        self, job: JobProgress, finished_run: FinishedRunRef | None = None
    ) -> None:
        """Mark a job's progress as not stored.

        Args:
            job: Job whose progress has changed.
            finished_run: Finished run that may be acknowledged once the progress is
                stored.
        """
        if not job.held_until:
            self._changed[job.record.queue][job.record.job] = None
        if finished_run is not None:
            self._finished_runs[job.record.job].append(finished_run)

    def mark_started(self, job: JobProgress) -> None:
        """Record that a task of a job has started.

        The change is deferred: the next transaction of the queue stores it.
        """
        if not job.has_started_tasks:
            job.has_started_tasks = True
            if not job.held_until:
                self._deferred[job.record.queue][job.record.job] = None

    def hold_job(self, job: JobProgress, until: float) -> None:
        """Neither plan a job nor store its progress until a time in seconds."""
        job.held_until = until
        self._held[job.record.job] = job
        self._changed[job.record.queue].pop(job.record.job, None)
        self._deferred[job.record.queue].pop(job.record.job, None)

    def release_held_jobs(self, now: float) -> None:
        """Store the progress of the held jobs whose time has come."""
        for name, job in list(self._held.items()):
            if now >= job.held_until:
                del self._held[name]
                job.held_until = 0.0
                self.mark_changed(job)

    def changed_queues(self) -> list[QueueId]:
        """Return the queues whose jobs have unstored progress that is not deferred."""
        return [queue for queue, jobs in self._changed.items() if jobs]

    def pop_changes(self, queue: QueueId, limit: int) -> list[JobChange]:
        """Remove and return unstored changes of a queue's jobs.

        Deferred changes follow the others; there are none if all changes are deferred.

        Args:
            queue: Queue that the jobs were submitted to.
            limit: Maximum number of jobs.
        """
        if not self._changed[queue]:
            return []
        return self.pop_all_changes(queue, limit)

    def pop_all_changes(self, queue: QueueId, limit: int) -> list[JobChange]:
        """Remove and return unstored changes, also if all of them are deferred.

        Args:
            queue: Queue that the jobs were submitted to.
            limit: Maximum number of jobs; there are fewer if a transaction would become
                too large.
        """
        job_ids = list(self._changed[queue] | self._deferred[queue])[:limit]
        changes: list[JobChange] = []
        size = 0
        for job_id in job_ids:
            job = self.jobs.get(job_id)
            document = job.to_document() if job is not None else {}
            size += estimate_document_bytes(document)
            if changes and size > TRANSACTION_LIMIT_BYTES:
                break
            self._changed[queue].pop(job_id, None)
            self._deferred[queue].pop(job_id, None)
            finished_runs = self._finished_runs.pop(job_id, [])
            if job is not None:
                starts = [
                    run for run in job.active_runs() if run.stage is RunStage.PLANNED
                ]
                changes.append(JobChange(job, document, starts, finished_runs))
        return changes
