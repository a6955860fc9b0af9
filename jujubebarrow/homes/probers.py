"""Probes upstreams that have not responded recently."""

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
from jujubebarrow.upstreams.upstream_clients import UpstreamClient

MISSED_PROBE_LIMIT = 2
"""Number of consecutive failed probes that make an upstream unreachable."""
PROBED_STATES = frozenset({InstanceState.SERVING, InstanceState.FAILED})


class Prober:
    """Detects unreachable upstreams of this instance's pools.

    Upstreams that have responded to a request or a probe within the probe period are
    not probed.

    Args:
        home: Home service, which tracks the upstreams of each pool.
        upstreams: Client that sends probes.
        clock: Time source.
        settings: Settings with the probe period.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        home: HomeService,
        upstreams: UpstreamClient,
        clock: Clock,
        settings: Settings,
        metrics: MetricsRegistry,
    ):
        self._home = home
        self._upstreams = upstreams
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._missed_counts: Counter[str] = Counter()

    async def probe(self, pools: Iterable[str]) -> None:
        """Probe each upstream of the pools that is due for a probe."""
        probes = []
        for pool in pools:
            for member in self._home.scheduler(pool).upstreams.members:
                if self._needs_probe(member):
                    probes.append(self._probe(pool, member))
        await gather(*probes)

    def _needs_probe(self, member: UpstreamSlots) -> bool:
        if member.instance.state not in PROBED_STATES:
            return False
        idle_seconds = self._clock.monotonic() - member.last_response_at
        return idle_seconds >= self._settings.probe_period

    async def _probe(self, pool: str, member: UpstreamSlots) -> None:
        self._metrics.count("probe")
        try:
            await self._upstreams.probe(member.instance.address)
        except DispatchError:
            self._missed_counts[member.upstream] += 1
        else:
            self._missed_counts.pop(member.upstream, None)
            member.last_response_at = self._clock.monotonic()
        is_reachable = self._missed_counts[member.upstream] < MISSED_PROBE_LIMIT
        self._home.record_reachability(pool, member.upstream, is_reachable)
