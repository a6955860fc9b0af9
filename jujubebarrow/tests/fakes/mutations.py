"""Breaks one mechanism at a time."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from unittest.mock import patch

from jujubebarrow.claims.claim_states import ClaimVerdict
from jujubebarrow.tests.fakes.world_runs import Fault

PACKAGE = "jujubebarrow"


@dataclass(frozen=True)
class Mutation:
    """Broken mechanism and the faults under which its promise breaks.

    Attributes:
        promise: Number of the promise in docs/PROOFS.md.
        name: What is broken.
        breaks: Makes the patch.
        faults: Schedule that brings it to light.
        expected: Part of the complaint.
    """

    promise: int
    name: str
    breaks: Callable[[], AbstractContextManager]
    faults: tuple[Fault, ...]
    expected: str


def _replace(target: str, new: object) -> Callable[[], AbstractContextManager]:
    return lambda: patch(f"{PACKAGE}.{target}", new)


def _whole_limit(limit: int, seat: int, seats: int, team: str) -> int:
    return limit


def _always_fresh(self, revision: int) -> bool:
    return True


def _lend_without_debit(self, loan, floor, now):
    return loan if floor else None


def _take_over(*arguments) -> ClaimVerdict:
    return ClaimVerdict.TAKE_OVER


def _never_overdrawn_budget(*arguments, **options):
    return frozenset()


def _no_refusal(error) -> bool:
    return True


MUTATIONS = (
    Mutation(
        4,
        "every seat owns the whole limit",
        _replace("limits.ledgers.floor_of", _whole_limit),
        (),
        "runs",
    ),
    Mutation(
        4,
        "a loan is not subtracted at its lender",
        _replace("limits.holdings.Holding.lend", _lend_without_debit),
        (),
        "runs",
    ),
    Mutation(
        3,
        "keys are taken whatever the age of the configuration",
        _replace("configurations.freshness.FreshnessLease.is_fresh", _always_fresh),
        (
            Fault(1.0, "isolate_zone", 0, 20.0),
            Fault(1.5, "withdraw_key", 0, 1.0),
            Fault(1.5, "withdraw_key", 1, 1.0),
        ),
        "withdrawn key",
    ),
    Mutation(
        7,
        "a claim that exists is taken over",
        _replace("services.claim_stores.judge", _take_over),
        (Fault(5.0, "kill", 0, 3.0), Fault(9.0, "kill", 2, 3.0)),
        "started twice",
    ),
)
