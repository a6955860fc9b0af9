"""In-memory platform with one store client for each simulated process."""

from asyncio import get_running_loop, sleep

from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.standins.tables import Table
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.instance_lists import InstanceList
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_networks import FakeNetwork
from jujubebarrow.tests.fakes.table_audits import TableAudit

TIMEOUT_SECONDS = 1.0


class PlatformState:
    """Table, objects, instance list and injected faults, shared by all processes."""

    def __init__(self, network: FakeNetwork):
        self.network = network
        self.table = Table()
        self.audit = TableAudit(self.table)
        self.objects: dict[str, bytes] = {}
        self.listing: dict[str, str] = {}
        self.leaving_since: dict[str, float] = {}
        self.response_loss_probability = 0.0
        self.late_write_probability = 0.0
        self.extra_delay_limit_seconds = 0.0


class FakePlatform(Store):
    def __init__(
        self, state: PlatformState, identity: PeerIdentity, metrics: MetricsRegistry
    ):
        super().__init__(metrics)
        self._state = state
        self._network = state.network
        self._identity = identity

    async def _deliver_request(self) -> None:
        await self._network.wait_until_running(
            self._identity.incarnation, self._identity.instance
        )
        await self._network.wait_for_latency()
        if self._state.extra_delay_limit_seconds:
            await sleep(
                self._network.random.uniform(0, self._state.extra_delay_limit_seconds)
            )
        if not self._network.can_reach_platform(self._identity.instance):
            await sleep(TIMEOUT_SECONDS)
            await self._block_if_dead_or_frozen()
            raise StoreError("down")

    async def _block_if_dead_or_frozen(self) -> None:
        await self._network.wait_until_running(
            self._identity.incarnation, self._identity.instance
        )

    async def try_commit(self, transaction: Transaction) -> CommitResult:
        await self._deliver_request()
        random = self._network.random
        if random.random() < self._state.late_write_probability:
            delay = random.uniform(0.1, 2 * TIMEOUT_SECONDS)
            get_running_loop().call_later(delay, self._apply, transaction)
            await sleep(TIMEOUT_SECONDS)
            raise StoreError("late")
        result = self._apply(transaction)
        await self._state.table.notify()
        await self._network.wait_for_latency()
        await self._block_if_dead_or_frozen()
        if random.random() < self._state.response_loss_probability:
            raise StoreError("answer lost")
        return result

    def _apply(self, transaction: Transaction) -> CommitResult:
        result = self._state.table.commit(transaction)
        if not result.nonces:
            self._state.audit.check(transaction)
        return result

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        await self._deliver_request()
        rows = self._state.table.read(prefix, limit)
        await self._network.wait_for_latency()
        await self._block_if_dead_or_frozen()
        return rows

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        await self._deliver_request()
        rows = await self._state.table.wait_for_changes(prefix, since, wait)
        if not self._network.can_reach_platform(self._identity.instance):
            await sleep(TIMEOUT_SECONDS)
            raise StoreError("down")
        await self._network.wait_for_latency()
        await self._block_if_dead_or_frozen()
        return rows

    async def list_instances(self) -> InstanceList:
        await self._deliver_request()
        listing = dict(self._state.listing)
        await self._block_if_dead_or_frozen()
        return InstanceList.model_validate({"instances": listing})

    async def put_object(self, name: str, data: bytes) -> None:
        await self._deliver_request()
        self._state.objects[name] = data

    async def get_object(self, name: str) -> bytes:
        await self._deliver_request()
        return self._state.objects[name]
