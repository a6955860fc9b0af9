"""Many instances of which only the ownership of duties is simulated."""

from asyncio import gather, get_running_loop, sleep
from collections import Counter
from random import Random

from jujubebarrow.identifiers import IncarnationId, InstanceId, ZoneId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.ownership_rows import DutyId, InstanceRow
from jujubebarrow.ownerships.peer_probes import PeerProbe, ProbeOutcome
from jujubebarrow.ownerships.service_obstacles import ServiceObstacle
from jujubebarrow.runtimes.duty_listeners import DutyListener
from jujubebarrow.runtimes.ownership_services import OwnershipService
from jujubebarrow.standins.emulated_stores import EmulatedStore, SharedStore
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.virtual_loops import LoopClock
from jujubebarrow.workloads.identifiers import FenceToken

PROBE_SECONDS = 0.002
PROBE_TIMEOUT_SECONDS = 0.2
START_RANGE_SECONDS = 0.3
"""Range of the times at which instances start that are started together."""


class CountingStore(EmulatedStore):
    """Counts the calls and the rows of one instance."""

    def __init__(self, shared: SharedStore, metrics: MetricsRegistry):
        super().__init__(shared, metrics)
        self.call_count = 0
        self.row_count = 0

    async def try_commit(self, transaction: Transaction) -> CommitResult:
        self.call_count += 1
        return await super().try_commit(transaction)

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        self.call_count += 1
        return self._count_rows(await super().read(prefix, limit))

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        self.call_count += 1
        return self._count_rows(await super().read_changes(prefix, since, wait))

    async def list_partitions(self, table: str) -> list[str]:
        self.call_count += 1
        return await super().list_partitions(table)

    def _count_rows(self, rows: RowSet) -> RowSet:
        self.row_count += len(rows.rows)
        return rows


class FleetProbe(PeerProbe):
    """Probes the other members of a fleet."""

    def __init__(self, fleet: "OwnershipFleet"):
        self._fleet = fleet

    async def probe(self, row: InstanceRow) -> ProbeOutcome:
        await sleep(PROBE_SECONDS)
        for member in self._fleet.members:
            if member.name == row.instance and member.service is not None:
                if member.incarnation != row.incarnation:
                    return ProbeOutcome.GONE
                if not member.is_isolated:
                    return (
                        ProbeOutcome.FAILS_TO_RENEW
                        if member.service.is_failing
                        else ProbeOutcome.RENEWS
                    )
        await sleep(PROBE_TIMEOUT_SECONDS)
        return ProbeOutcome.UNANSWERED


class Member(DutyListener):
    """Instance that serves its duties as long as its lease is valid."""

    def __init__(self, fleet: "OwnershipFleet", number: int):
        self._fleet = fleet
        self.name = InstanceId(f"n{number}")
        self.zone = ZoneId(f"zone-{number % fleet.zone_count}")
        self.capacity = 2.0 if number // fleet.zone_count % 5 == 0 else 0.5
        self.start_count = 0
        self._is_starting = False
        self.is_isolated = False
        self.service: OwnershipService | None = None
        self.peers: list[str] = []

    async def start(self) -> None:
        if self._is_starting or self.service is not None:
            return
        self._is_starting = True
        await sleep(self._fleet.random.uniform(0, START_RANGE_SECONDS))
        self._is_starting = False
        self.start_count += 1
        clock = LoopClock(get_running_loop())
        metrics = MetricsRegistry()
        self.log = ListLog(self.name)
        self.store = CountingStore(self._fleet.shared, metrics)
        self.incarnation = IncarnationId(f"{self.name}-{self.start_count}")
        identity = InstanceRow(
            self.name,
            self.incarnation,
            is_stopping=False,
            address=self.name,
            revision=0,
            zone=self.zone,
            pool_capacity=self.capacity,
        )
        self.service = OwnershipService(
            identity,
            self.store,
            FleetProbe(self._fleet),
            self,
            self._fleet.random,
            clock,
            self.log,
            metrics,
        )
        self.service.duties = self._fleet.duties
        self.service.open()

    async def kill(self) -> None:
        service, self.service = self.service, None
        if service is not None:
            self.store.is_disconnected = True
            await service.close()

    @property
    def duties(self) -> list[DutyId]:
        """Duties under which this instance may act at present without a fence."""
        now = get_running_loop().time()
        service = self.service
        if service is None or now >= service.lease_valid_until:
            return []
        return [
            duty
            for duty in service.owned_duties
            if now >= service.find_former_lease_end(duty)
        ]

    @property
    def fenced_duties(self) -> list[DutyId]:
        """Duties under which this instance may act at present with its tokens."""
        service = self.service
        if service is None or get_running_loop().time() >= service.lease_valid_until:
            return []
        return list(service.owned_duties)

    @property
    def is_claimant(self) -> bool:
        return self.service is not None and self.service.is_claimant

    async def on_claimed(self, duty: DutyId, token: FenceToken) -> None:
        self._fleet.claim_count += 1

    async def on_lost(self, duty: DutyId) -> None:
        pass

    def is_serving(self, duty: DutyId) -> bool:
        return self.service is not None and duty in self.service.owned_duties

    def find_obstacle(self, duty: DutyId) -> ServiceObstacle | None:
        return None

    def on_peers_changed(self, addresses: list[str]) -> None:
        self.peers = addresses


class OwnershipFleet:
    """Instances that share one emulated store.

    Args:
        size: Number of instances.
        seed: Seed of the random generator.
        duty_count: Number of duties.
        zone_count: Number of availability zones.
    """

    def __init__(
        self, size: int, seed: int = 1, duty_count: int = 5, zone_count: int = 5
    ):
        self.random = Random(seed)
        self.shared = SharedStore(self.random)
        self.zone_count = zone_count
        self.duties = [DutyId(f"duty-{number}") for number in range(duty_count)]
        self.claim_count = 0
        self.members = [Member(self, number) for number in range(size)]

    async def start(self, members: list[Member] | None = None) -> None:
        await gather(*(member.start() for member in members or self.members))

    async def kill(self, members: list[Member] | None = None) -> None:
        await gather(*(member.kill() for member in members or self.members))

    def list_owners(self) -> dict[DutyId, list[Member]]:
        owners: dict[DutyId, list[Member]] = {duty: [] for duty in self.duties}
        for member in self.members:
            for duty in member.duties:
                owners[duty].append(member)
        return owners

    @property
    def is_served(self) -> bool:
        return all(self.list_owners().values())

    @property
    def claimants(self) -> list[Member]:
        return [member for member in self.members if member.is_claimant]

    async def wait_until_served(self, limit: float) -> float:
        """Return the seconds until each duty has an owner."""
        began_at = get_running_loop().time()
        while not self.is_served and get_running_loop().time() < began_at + limit:
            await sleep(0.05)
        return get_running_loop().time() - began_at

    async def watch(self, seconds: float) -> list[Counter[DutyId]]:
        """Return the duties with more than one owner, for each time this was so."""
        doubled = []
        deadline = get_running_loop().time() + seconds
        while get_running_loop().time() < deadline:
            counts = Counter(
                {
                    duty: len(owners)
                    for duty, owners in self.list_owners().items()
                    if len(owners) > 1
                }
            )
            if counts:
                doubled.append(counts)
            await sleep(0.02)
        return doubled
