"""HTTP client and handler for probes between instances."""

from collections.abc import Callable

from tornado.httputil import HTTPServerRequest

from jujubebarrow.identifiers import IncarnationId
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.ownerships.ownership_rows import InstanceRow
from jujubebarrow.ownerships.peer_probes import PeerProbe, ProbeOutcome
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient
from jujubebarrow.transports.http_servers import HttpRequestHandler, ServerResponse

PROBE_PATH = "/alive"
CONNECTION_LIMIT = 16
"""Limit on parallel probes; more than there are claimants to probe."""
TIMEOUT_SECONDS = 0.2
"""Timeout of a probe; an instance needs a few milliseconds, and its event loop is busy
for less than that."""
FAILING_STATUS = 503


class HttpPeerProbe(PeerProbe):
    """Probes other instances over HTTP.

    Args:
        meter: Records the traffic of the probes.
    """

    def __init__(self, meter: LinkMeter | None = None):
        self._client = HttpClient(CONNECTION_LIMIT, meter)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def probe(self, row: InstanceRow) -> ProbeOutcome:
        """Ask the run of an instance that wrote a heartbeat."""
        try:
            response = await self._client.call(
                "GET",
                f"http://{row.address}{PROBE_PATH}",
                TIMEOUT_SECONDS,
                # A kept connection may be silent although new ones work.
                headers={"Connection": "close"},
            )
        except HttpCallError as error:
            return ProbeOutcome.GONE if error.is_refused else ProbeOutcome.UNANSWERED
        if response.status not in (200, FAILING_STATUS):
            # An earlier build answers no probes.
            return ProbeOutcome.RENEWS
        if response.body.decode(errors="replace") != row.incarnation:
            return ProbeOutcome.GONE
        if response.status == FAILING_STATUS:
            return ProbeOutcome.FAILS_TO_RENEW
        return ProbeOutcome.RENEWS


class ProbeHandler(HttpRequestHandler):
    """Answers the probes of other instances.

    Args:
        incarnation: Id of the present run of this process.
        is_failing: Returns whether this instance cannot renew its lease.
    """

    def __init__(self, incarnation: IncarnationId, is_failing: Callable[[], bool]):
        self._incarnation = incarnation
        self._is_failing = is_failing

    @property
    def closes_connections(self) -> bool:
        """Whether responses tell clients to close the connection."""
        return True

    async def handle(self, request: HTTPServerRequest) -> ServerResponse:
        """Return the incarnation, and in the status whether its lease is renewed."""
        status = FAILING_STATUS if self._is_failing() else 200
        return ServerResponse(
            status, self._incarnation.encode(), {"Content-Type": "text/plain"}
        )
