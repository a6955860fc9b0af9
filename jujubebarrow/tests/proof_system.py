"""Randomised simulations of a cluster of entry instances in virtual time."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jujubebarrow.tests.fakes.cluster_runs import FAULT_KINDS, ClusterRun, Fault

FAULT_STRATEGY = st.builds(
    Fault,
    start_offset=st.floats(0, 28),
    kind=st.sampled_from(FAULT_KINDS),
    target=st.integers(0, 11),
    duration=st.sampled_from([0.5, 3.0, 9.0, 20.0]),
)


LATE_CLAIM_WRITE_BEFORE_MIDNIGHT = (
    3068,
    [
        Fault(11.71865524321612, "late_writes", 8, 9.0),
        Fault(22.833382104933357, "maintain", 9, 20.0),
        Fault(27.14849361242982, "replace", 7, 9.0),
    ],
)

LEAVING_UPSTREAM_IN_ZONE_WITHOUT_PLATFORM = (
    4203,
    [
        Fault(14.77604433021077, "worker_truncate", 10, 3.0),
        Fault(18.23779256861438, "worker_freeze", 2, 20.0),
        Fault(19.030232833168068, "cut_platform", 1, 20.0),
        Fault(22.09519846620666, "worker_leaves", 3, 20.0),
    ],
)


class SystemProof(unittest.TestCase):
    def test_every_request_is_answered_without_faults(self) -> None:
        run = ClusterRun(1, []).run()
        self.assertEqual(run.cluster.collect_violations(), [])
        for call in run.callers.calls:
            expected = "not-run" if call.queue == "huge" else "answered"
            self.assertEqual(call.outcome, expected, call.key)

    def test_late_claim_write_before_midnight(self) -> None:
        # Guards against a second start of a request. The store applies the write of a
        # claim late, shortly before midnight; a repeat of the request after midnight
        # must find the claim under the key of the previous day.
        run = ClusterRun(*LATE_CLAIM_WRITE_BEFORE_MIDNIGHT).run()
        self.assertEqual(run.cluster.collect_violations(), [])

    def test_upstream_leaves_zone_without_platform(self) -> None:
        # Guards against requests that are sent to a leaving upstream. The upstream
        # leaves while its zone cannot reach the platform, so that a home in this zone
        # cannot read the platform's list of leaving instances.
        run = ClusterRun(*LEAVING_UPSTREAM_IN_ZONE_WITHOUT_PLATFORM).run()
        self.assertEqual(run.cluster.collect_violations(), [])

    @given(st.integers(0, 2**32), st.lists(FAULT_STRATEGY, min_size=1, max_size=6))
    def test_random_faults(self, seed: int, faults: list[Fault]) -> None:
        run = ClusterRun(seed, faults).run()
        self.assertEqual(run.cluster.collect_violations(), [])
