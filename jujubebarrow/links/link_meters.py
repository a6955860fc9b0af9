"""Measures what an instance sends and receives over its network link."""

from asyncio import sleep
from dataclasses import dataclass

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.links.link_backlogs import BYTES_PER_MEGABIT, LinkBacklog
from jujubebarrow.links.traffic_kinds import TrafficKind
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry

HEADER_BYTES = 170
"""Assumed size of the headers of a request or a response."""
PERIOD_SECONDS = 1.0
"""Length of the periods whose traffic is logged."""
QUEUED_KINDS = frozenset({TrafficKind.START, TrafficKind.START_RELAY})
"""Kinds of messages that wait for room on the link and are added before they are sent.
"""
LOGGED_LOAD = 0.25
"""Share of the link's nominal rate from which on a period is logged."""


@dataclass(slots=True)
class _Traffic:
    calls: int = 0
    connections: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class LinkMeter(BackgroundLoop):
    """Counts calls, new connections and bytes by kind; logs periods with high load.

    Args:
        link_mbps: Nominal rate of the link in Mbit/s, in each direction.
        backlog: Gets all messages except starts, which are added before they are sent.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        link_mbps: float,
        backlog: LinkBacklog,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        super().__init__()
        self._period_bytes = link_mbps * BYTES_PER_MEGABIT * PERIOD_SECONDS
        self._backlog = backlog
        self._log = log
        self._metrics = metrics
        self._traffic: dict[TrafficKind, _Traffic] = {}

    def record_sent(self, kind: TrafficKind, size_bytes: int) -> None:
        """Record a request or a response when it is sent.

        Args:
            kind: Purpose of the call.
            size_bytes: Size of the body.
        """
        size_bytes += HEADER_BYTES
        self._get_traffic(kind).sent_bytes += size_bytes
        if kind not in QUEUED_KINDS:
            self._backlog.add(size_bytes)

    def record_received(self, kind: TrafficKind, size_bytes: int) -> None:
        """Record a received response or request, or a part of one.

        Args:
            kind: Purpose of the call.
            size_bytes: Size of the body.
        """
        self._get_traffic(kind).received_bytes += size_bytes + HEADER_BYTES

    def record_call(self, kind: TrafficKind, is_new_connection: bool = False) -> None:
        """Record a call that has ended, with or without a response.

        Args:
            kind: Purpose of the call.
            is_new_connection: Whether the call opened a connection.
        """
        traffic = self._get_traffic(kind)
        traffic.calls += 1
        traffic.connections += is_new_connection

    def _get_traffic(self, kind: TrafficKind) -> _Traffic:
        return self._traffic.setdefault(kind, _Traffic())

    async def _run(self) -> None:
        while True:
            await sleep(PERIOD_SECONDS)
            self.end_period()

    def end_period(self) -> None:
        """Add the traffic of the period to the counters; log it if it was high."""
        period, self._traffic = self._traffic, {}
        for kind, traffic in period.items():
            self._metrics.count("link_calls", kind.value, traffic.calls)
            self._metrics.count("link_connections", kind.value, traffic.connections)
            self._metrics.count("link_sent_bytes", kind.value, traffic.sent_bytes)
            self._metrics.count(
                "link_received_bytes", kind.value, traffic.received_bytes
            )
        sent = sum(traffic.sent_bytes for traffic in period.values())
        received = sum(traffic.received_bytes for traffic in period.values())
        if max(sent, received) < LOGGED_LOAD * self._period_bytes:
            return
        self._log.write(
            "link_traffic",
            sent_load=round(sent / self._period_bytes, 3),
            received_load=round(received / self._period_bytes, 3),
            calls={kind.value: traffic.calls for kind, traffic in period.items()},
            connections={
                kind.value: traffic.connections
                for kind, traffic in period.items()
                if traffic.connections
            },
            sent_bytes={kind.value: item.sent_bytes for kind, item in period.items()},
            received_bytes={
                kind.value: item.received_bytes for kind, item in period.items()
            },
        )
