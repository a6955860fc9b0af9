"""Injected faults, each of which disables one mechanism."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from unittest.mock import patch

from jujubebarrow.claims.claim_states import ClaimVerdict
from jujubebarrow.configurations.pool_records import Pool
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.cluster_runs import Fault

PatchFactory = Callable[[], AbstractContextManager]


@dataclass(frozen=True)
class Mutation:
    """Injected fault that a check must detect.

    Attributes:
        promise: Number of the violated promise in docs/PROOFS.md.
        name: Description of the fault.
        make_patch: Returns the patch that injects the fault.
        expected: Part of the message by which the check reports the violation.
        faults: Failures that expose the fault in a simulated run of complete
            instances.
        run_time: Run time of the workers' tasks in seconds.
    """

    promise: int
    name: str
    make_patch: PatchFactory
    expected: str = ""
    faults: tuple[Fault, ...] = ()
    run_time: float = 0.1


def _replace(target: str, new: object) -> PatchFactory:
    return lambda: patch(f"jujubebarrow.{target}", new)


def _quota_of_whole_limit(limit: int, seat: int, seat_count: int, team: str) -> int:
    return limit


def _lend_without_debit(self, loan, quota, now):
    return loan if quota else None


def _make_unlimited_pool(configuration, name):
    return Pool(unavailable_limit=99)


def _make_unconditional_transaction(self, guards, nonce):
    transaction = ORIGINAL_MAKE_TRANSACTION(self, guards, nonce)
    return Transaction(writes=transaction.writes, nonce=nonce)


def _report_not_run(self, scheduler, entry, error):
    entry.possible_start_count = 0
    raise RefusalError(ErrorKind.UPSTREAM_REFUSED)


async def _report_drained(self, observations, name, address):
    await self._upstreams.drain(address)
    observations.drained.add(name)


ORIGINAL_MAKE_TRANSACTION = Change.make_transaction
MAKE_TRANSACTION = "maintenance.changes.Change.make_transaction"
SEAT_QUOTA = "limits.ledgers.compute_seat_quota"
ISOLATION_FAULTS = (
    Fault(1.0, "isolate_zone", 0, 20.0),
    Fault(1.5, "withdraw_key", 0, 1.0),
    Fault(1.5, "withdraw_key", 1, 1.0),
)
KILL_FAULTS = tuple(Fault(2.0 + 3 * n, "kill", n, 2.0) for n in range(8))

MAINTENANCE_MUTATIONS = (
    Mutation(
        1,
        "the availability budget is not checked",
        _replace("maintenance.transitions.require_pool", _make_unlimited_pool),
    ),
    Mutation(
        1,
        "changes are committed without conditions",
        _replace(MAKE_TRANSACTION, _make_unconditional_transaction),
    ),
)
FRESHNESS_MUTATIONS = (
    Mutation(
        10,
        "attestations by peers with newer revisions count",
        _replace(
            "configurations.freshness.FreshnessLease._confirmed_by_holder_at",
            lambda self, holder, revision: (
                self._attestations[holder].sent_at
                if holder in self._attestations
                else float("-inf")
            ),
        ),
    ),
    Mutation(
        10,
        "a new seat holder writes before the other holders have acknowledged its seat",
        _replace("tests.proof_freshness.SimulatedInstance.can_write", True),
    ),
)
LIMIT_MUTATIONS = (
    Mutation(
        4,
        "every seat's quota is the whole limit",
        _replace(SEAT_QUOTA, _quota_of_whole_limit),
    ),
    Mutation(
        4,
        "a loan is not subtracted from the lender's units",
        _replace("limits.team_allocations.TeamAllocation.lend", _lend_without_debit),
    ),
    Mutation(
        4,
        "a new process uses its seats without the quarantine",
        _replace("tests.proof_limits.QUARANTINE_SECONDS", 0.0),
    ),
)
SYSTEM_MUTATIONS = (
    Mutation(
        3,
        "keys are accepted with a configuration of any age",
        _replace(
            "configurations.freshness.FreshnessLease.is_fresh",
            lambda self, revision: True,
        ),
        "withdrawn key",
        ISOLATION_FAULTS,
    ),
    Mutation(
        4,
        "every seat's quota is the whole limit",
        _replace(SEAT_QUOTA, _quota_of_whole_limit),
        "runs",
        # With tasks of 1 s, the load reaches the limits of all teams.
        run_time=1.0,
    ),
    Mutation(
        6,
        "started requests are reported as not run",
        _replace("homes.attempts.AttemptRunner._check_retry", _report_not_run),
        "told not run",
        tuple(Fault(1.0, "worker_truncate", n, 20.0) for n in range(8)),
    ),
    Mutation(
        6,
        "a refusal of the last attempt speaks for those before",
        _replace("errors.exceptions.RefusalError.holds_for_all_attempts", True),
        "told that no attempt had run",
        tuple(Fault(1.0, "worker_truncate", n, 20.0) for n in range(8)),
    ),
    Mutation(
        7,
        "an existing claim is replaced",
        _replace(
            "services.claim_stores.decide_verdict",
            lambda *arguments: ClaimVerdict.TAKE_OVER,
        ),
        "started twice",
        KILL_FAULTS,
    ),
    Mutation(
        8,
        "instances that the platform lists as leaving stay in use",
        _replace("members.absences.AbsenceTracker.leaving", frozenset()),
        "while it leaves",
        tuple(Fault(1.0, "worker_leaves", n, 20.0) for n in (1, 3, 5, 7)),
    ),
    Mutation(
        9,
        "an instance is rebooted while it runs tasks",
        _replace(
            "services.fleet_observers.FleetObserver._handle_draining", _report_drained
        ),
        "rebooted while it ran",
        (Fault(1.0, "maintain", 0, 1.0),),
        1.5,
    ),
)
