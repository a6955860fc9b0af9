"""Mutation tests: the runs with late orders must detect each injected fault."""

import unittest
from collections.abc import Iterable
from contextlib import ExitStack
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from jujubebarrow.coordinators.late_starts import LateStarts
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_views import UNKNOWN_START_MS, WorkerView
from jujubebarrow.tests.fakes.late_order_faults import (
    BRIEF_SPREAD_LOAD,
    LARGE_TASK_RESTART_LOAD,
    LONG_TASK_LOAD,
    SHORT_SPREAD_LOAD,
    WIDE_SPREAD_LOAD,
)
from jujubebarrow.tests.proof_late_orders import RESTART_SEEDS, simulate
from jujubebarrow.workloads.resources import NO_RESOURCES

LIKELY_SEEDS = (30, 72)
"""Seeds that have detected an injected fault where most others do not."""
SEEDS = (*LIKELY_SEEDS, *range(1, 41))
TOKEN_SEEDS = (17, 24, *range(1, 16))
ACKNOWLEDGEMENT_SEEDS = (6, 36, 37, 47, *range(1, 60))
UNFENCED_ACKNOWLEDGEMENTS = patch.object(
    PoolState, "fence_open_acknowledgements", lambda self, worker: True
)


class LateOrderMutationProof(unittest.TestCase):
    def assert_detected(
        self,
        *patches: Any,
        expected: str = "",
        seeds: Iterable[int] = SEEDS,
        **options: Any,
    ) -> None:
        """Require that a seed detects a fault and shows no violation without it.

        Args:
            *patches: Patches that inject the fault.
            expected: Part of the description of a violation that the fault causes.
            seeds: Seeds of the runs.
            **options: Options of the runs.
        """
        for seed in seeds:
            with ExitStack() as stack:
                for each in patches:
                    stack.enter_context(each)
                violations = simulate(seed, **options)
            if any(expected in violation for violation in violations):
                self.assertEqual(simulate(seed, **options), [])
                return
        self.fail("no seed detected the injected fault")

    def test_incarnations_share_a_token(self) -> None:
        self.assert_detected(
            patch.object(PoolState, "issue_token", lambda self: self.token),
            # Without a higher token, starts would wait, which hides the fault.
            UNFENCED_ACKNOWLEDGEMENTS,
            seeds=TOKEN_SEEDS,
            restarts_cut_workers=True,
            load=BRIEF_SPREAD_LOAD,
        )

    def test_starts_do_not_fence_open_acknowledgements(self) -> None:
        self.assert_detected(
            UNFENCED_ACKNOWLEDGEMENTS,
            expected="after the end",
            seeds=ACKNOWLEDGEMENT_SEEDS,
            restarts_cut_workers=True,
            load=BRIEF_SPREAD_LOAD,
        )

    def test_leases_of_late_orders_not_counted(self) -> None:
        self.assert_detected(
            patch.object(PoolState, "find_late_expiry", lambda self, worker: 0.0),
            expected="overlap",
            seeds=RESTART_SEEDS,
            restarts_cut_workers=True,
            load=LONG_TASK_LOAD,
        )

    def test_runs_with_late_starts_acknowledged(self) -> None:
        self.assert_detected(
            patch.object(WorkerView, "late_starts_end", property(lambda self: 0.0))
        )

    def test_late_starts_of_former_runs_ignored(self) -> None:
        self.assert_detected(
            patch.object(WorkerView, "find_late_start_end", lambda self, task: 0.0)
        )

    def test_capacity_for_late_starts_not_kept(self) -> None:
        self.assert_detected(
            patch.object(LateStarts, "reserved", property(lambda self: NO_RESOURCES)),
            expected="tasks need",
            seeds=RESTART_SEEDS,
            restarts_cut_workers=True,
            load=LARGE_TASK_RESTART_LOAD,
        )

    def test_late_starts_not_counted_against_the_limit_of_a_step(self) -> None:
        self.assert_detected(
            patch.object(LateStarts, "count", lambda self, step: 0),
            expected="of 1 tasks",
            seeds=RESTART_SEEDS,
            restarts_cut_workers=True,
            load=WIDE_SPREAD_LOAD,
        )

    def test_late_starts_of_former_owners_ignored(self) -> None:
        self.assert_detected(
            patch.object(PoolState, "set_former_owners_starts", lambda self, _: None),
            expected="after the end of",
            seeds=RESTART_SEEDS,
            restarts_after_takeovers=True,
            load=SHORT_SPREAD_LOAD,
        )

    def test_registration_of_a_former_incarnation_used(self) -> None:
        def get_entry(self: WorkerView) -> Any:
            entry = original(self)
            return entry and replace(entry, started_at_ms=UNKNOWN_START_MS)

        entry = WorkerView.entry
        original: Any = entry.fget
        self.assert_detected(
            patch.object(WorkerView, "entry", property(get_entry, entry.fset)),
            changes_capacity=True,
        )
