"""Claims on requests around midnight, and deletion of expired claims.

Guards against a second run of a request: a repeated request must find the claim of the
first request, even if the day in the claim's row key has changed or the clocks of two
instances show different days.
"""

import unittest
from random import Random

from jujubebarrow.claims.claims import DAY_SECONDS, claim_keys
from jujubebarrow.clocks.manual_clocks import ManualClock
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.services.claim_purgers import PURGE_ROWS, ClaimPurger
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_networks import FakeNetwork
from jujubebarrow.tests.fakes.fake_platforms import FakePlatform, PlatformState
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

NOON_SECONDS = 100.5 * DAY_SECONDS


class ClaimKeyTest(unittest.TestCase):
    def test_claim_is_found_across_midnight_with_differing_clocks(self) -> None:
        midnight = 100 * DAY_SECONDS
        before, before_others = claim_keys("t", "q", "k", midnight - 0.1)
        after, after_others = claim_keys("t", "q", "k", midnight + 0.1)
        self.assertIn(after, before_others)
        self.assertIn(before, after_others)

    def test_claim_is_found_a_whole_day_later(self) -> None:
        key, _ = claim_keys("t", "q", "k", NOON_SECONDS)
        self.assertIn(key, claim_keys("t", "q", "k", NOON_SECONDS + DAY_SECONDS)[1])


class PurgeTest(unittest.TestCase):
    def setUp(self) -> None:
        network = FakeNetwork(Random(1))
        network.zones["host"] = "zone-a"
        self.state = PlatformState(network)
        self.metrics = MetricsRegistry()
        identity = PeerIdentity("host", "host/1", "zone-a")
        self.platform = FakePlatform(self.state, identity, self.metrics)

    def put_claims(self, count: int, now: float) -> None:
        writes = {
            claim_keys("t", "q", str(number), now)[0]: {"number": number}
            for number in range(count)
        }
        self.state.table.commit(Transaction(writes=writes, nonce="x"))

    def test_only_expired_claims_are_deleted(self) -> None:
        self.put_claims(PURGE_ROWS + 50, NOON_SECONDS - 2 * DAY_SECONDS)
        self.put_claims(30, NOON_SECONDS - DAY_SECONDS)
        self.put_claims(20, NOON_SECONDS)
        purger = ClaimPurger(self.platform, ManualClock(NOON_SECONDS), self.metrics)

        async def purge() -> None:
            await purger.purge()
            await purger.purge()
            await purger.purge()

        run_virtual(purge())
        self.assertEqual(len(self.state.table.read("claims/").rows), 50)
        self.assertEqual(self.metrics.value("claim_purged"), PURGE_ROWS + 50)
