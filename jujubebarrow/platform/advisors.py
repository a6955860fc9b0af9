"""The platform's placement advice."""

from msgspec import DecodeError, Struct, ValidationError, json

from jujubebarrow.gateways.advisors import AdviceError, Advisor
from jujubebarrow.identifiers import JobId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient
from jujubebarrow.workloads.identifiers import WorkerId

CONNECTIONS = 2
"""Calls at a time; the service takes one from each machine."""


class _WireGrants(Struct, rename="pascal"):
    # Rows of a worker's id and its ticket.
    granted: list[tuple[str, str]] = []


class PlatformAdvisor(Advisor):
    """Client of the advice service.

    Args:
        address: IP and port; empty if there is none.
        metrics: Counters.
    """

    def __init__(self, address: str, metrics: MetricsRegistry):
        self._address = address
        self._metrics = metrics
        self._client = HttpClient(CONNECTIONS)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def advise(
        self,
        step: tuple[JobId, int, int],
        workers: list[WorkerId],
        timeout: float,
    ) -> dict[WorkerId, str]:
        """Return the ticket for each worker that may run a step."""
        if not self._address:
            raise AdviceError("the platform has no advice service")
        name = ".".join(str(part) for part in step)
        body = json.encode({"Step": name, "Workers": workers})
        url = f"http://{self._address}/-/advise"
        try:
            answer = await self._client.call("POST", url, timeout, body)
        except HttpCallError as error:
            raise AdviceError(str(error)) from error
        if answer.status != 200:
            raise AdviceError(f"status {answer.status}")
        try:
            wire = json.decode(answer.body, type=_WireGrants)
        except (DecodeError, ValidationError) as error:
            raise AdviceError(f"unreadable answer: {error}") from error
        return {WorkerId(row[0]): row[1] for row in wire.granted}
