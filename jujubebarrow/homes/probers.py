"""Probes upstreams that are idle or suspect."""

from asyncio import gather
from collections import Counter
from collections.abc import Iterable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.errors.exceptions import DispatchError
from jujubebarrow.homes.home_services import HomeService
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.routes.upstream_slots import UpstreamSlots
from jujubebarrow.settings.settings import Settings
from jujubebarrow.upstreams.upstreams import Upstreams

MISSES = 2
"""Missed probes in a row after which an upstream counts as unreachable."""
PROBED_STATES = frozenset({InstanceState.SERVING, InstanceState.FAILED})


class Prober:
    """Finds out which upstreams of the own pools do not answer.

    Upstreams that answer requests need no probe.

    Args:
        home: Own pools.
        upstreams: Upstreams.
        clock: Time source.
        settings: Periods.
        metrics: Where probes are counted.
    """

    def __init__(
        self,
        home: HomeService,
        upstreams: Upstreams,
        clock: Clock,
        settings: Settings,
        metrics: MetricsRegistry,
    ):
        self._home = home
        self._upstreams = upstreams
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._misses: Counter[str] = Counter()

    async def probe(self, pools: Iterable[str]) -> None:
        """Probe once what needs it."""
        probes = []
        for pool in pools:
            for member in self._home.scheduler(pool).upstreams.members:
                if self._needs_probe(member):
                    probes.append(self._probe(pool, member))
        await gather(*probes)

    def _needs_probe(self, member: UpstreamSlots) -> bool:
        if member.instance.state not in PROBED_STATES:
            return False
        silence = self._clock.monotonic() - member.last_answer
        return silence >= self._settings.probe_period

    async def _probe(self, pool: str, member: UpstreamSlots) -> None:
        self._metrics.count("probe")
        try:
            await self._upstreams.probe(member.instance.address)
        except DispatchError:
            self._misses[member.upstream] += 1
        else:
            self._misses.pop(member.upstream, None)
            member.last_answer = self._clock.monotonic()
        reachable = self._misses[member.upstream] < MISSES
        self._home.note_reachable(pool, member.upstream, reachable)
