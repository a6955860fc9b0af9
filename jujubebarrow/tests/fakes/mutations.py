"""Breaks one mechanism at a time."""

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
from jujubebarrow.tests.fakes.world_runs import Fault

Break = Callable[[], AbstractContextManager]


@dataclass(frozen=True)
class Mutation:
    """Broken mechanism.

    Attributes:
        promise: Number of the promise in docs/PROOFS.md.
        name: What is broken.
        make: Makes the patch.
        expected: Part of the complaint.
        faults: Schedule that brings it to light in a run of whole instances.
        run_time: Run time of the workers' tasks in seconds.
    """

    promise: int
    name: str
    make: Break
    expected: str = ""
    faults: tuple[Fault, ...] = ()
    run_time: float = 0.1


def _replace(target: str, new: object) -> Break:
    return lambda: patch(f"jujubebarrow.{target}", new)


def _whole_limit(limit: int, seat: int, seats: int, team: str) -> int:
    return limit


def _lend_without_debit(self, loan, floor, now):
    return loan if floor else None


def _wide_pool(configuration, name):
    return Pool(unavailable_limit=99)


def _unconditional(self, guards, nonce):
    made = REAL_MAKE(self, guards, nonce)
    return Transaction(writes=made.writes, nonce=nonce)


def _tell_not_run(self, scheduler, entry, error):
    entry.sends = 0
    raise RefusalError(ErrorKind.UPSTREAM_REFUSED)


async def _call_drained(self, observations, name, address):
    await self._upstreams.drain(address)
    observations.drained.add(name)


REAL_MAKE = Change.make_transaction
MAKE = "maintenance.changes.Change.make_transaction"
LEDGER = "limits.ledgers.seat_quota"
ISOLATED = (
    Fault(1.0, "isolate_zone", 0, 20.0),
    Fault(1.5, "withdraw_key", 0, 1.0),
    Fault(1.5, "withdraw_key", 1, 1.0),
)
KILLS = tuple(Fault(2.0 + 3 * n, "kill", n, 2.0) for n in range(8))

MAINTENANCE_MUTATIONS = (
    Mutation(
        1,
        "the budget is not checked",
        _replace("maintenance.transitions.require_pool", _wide_pool),
    ),
    Mutation(1, "changes are not conditional", _replace(MAKE, _unconditional)),
)
FRESHNESS_MUTATIONS = (
    Mutation(
        10,
        "a peer that is ahead vouches too",
        _replace(
            "configurations.freshness.FreshnessLease._vouched_by",
            lambda self, holder, revision: (
                self._attestations[holder].asked
                if holder in self._attestations
                else float("-inf")
            ),
        ),
    ),
    Mutation(
        10,
        "a new holder writes before others have answered it",
        _replace("tests.proof_freshness.Member.may_write", True),
    ),
)
LIMIT_MUTATIONS = (
    Mutation(4, "every seat owns the whole limit", _replace(LEDGER, _whole_limit)),
    Mutation(
        4,
        "a loan is not subtracted at its lender",
        _replace("limits.team_allocations.TeamAllocation.lend", _lend_without_debit),
    ),
    Mutation(
        4,
        "a new process uses its seat at once",
        _replace("tests.proof_limits.QUARANTINE_SECONDS", 0.0),
    ),
)
SYSTEM_MUTATIONS = (
    Mutation(
        3,
        "keys are taken whatever the age of the configuration",
        _replace(
            "configurations.freshness.FreshnessLease.is_fresh",
            lambda self, revision: True,
        ),
        "withdrawn key",
        ISOLATED,
    ),
    Mutation(
        4,
        "every seat owns the whole limit",
        _replace(LEDGER, _whole_limit),
        "runs",
        # Long enough for the load to reach the limits of all teams.
        run_time=1.0,
    ),
    Mutation(
        6,
        "work that was started is told not run",
        _replace("homes.attempts.AttemptRunner._check_retry", _tell_not_run),
        "told not run",
        tuple(Fault(1.0, "worker_truncate", n, 20.0) for n in range(8)),
    ),
    Mutation(
        7,
        "a claim that exists is taken over",
        _replace(
            "services.claim_stores.decide_verdict",
            lambda *arguments: ClaimVerdict.TAKE_OVER,
        ),
        "started twice",
        KILLS,
    ),
    Mutation(
        8,
        "the platform's list is not heeded",
        _replace("members.absences.AbsenceTracker.leaving", frozenset()),
        "while it leaves",
        tuple(Fault(1.0, "worker_leaves", n, 20.0) for n in (1, 3, 5, 7)),
    ),
    Mutation(
        9,
        "an instance is rebooted without waiting",
        _replace("services.fleet_observers.FleetObserver._ask_draining", _call_drained),
        "rebooted while it ran",
        (Fault(1.0, "maintain", 0, 1.0),),
        1.5,
    ),
)
