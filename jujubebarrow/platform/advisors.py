"""Client of the platform's placement advice service."""

from msgspec import Struct, json

from jujubebarrow.gateways.advisors import AdviceError, Advisor
from jujubebarrow.identifiers import JobId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.decode_errors import DECODE_ERRORS
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient
from jujubebarrow.workloads.identifiers import WorkerId

CONNECTION_LIMIT = 2
"""Limit on parallel calls; the advice service accepts only one call at a time from
each machine."""


class _WireGrants(Struct, rename="pascal"):
    # Pairs of worker id and ticket.
    granted: list[tuple[str, str]] = []


class PlatformAdvisor(Advisor):
    """HTTP client of the placement advice service.

    Args:
        address: IP and port of the service; empty if the platform has none.
        metrics: Registry of the counters.
    """

    def __init__(self, address: str, metrics: MetricsRegistry):
        self._address = address
        self._metrics = metrics
        self._client = HttpClient(CONNECTION_LIMIT)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def advise(
        self,
        step: tuple[JobId, int, int],
        workers: list[WorkerId],
        timeout: float,
    ) -> dict[WorkerId, str]:
        """Return tickets for those of the workers that may run a step."""
        if not self._address:
            raise AdviceError("no placement advice service is configured")
        step_name = ".".join(str(part) for part in step)
        body = json.encode({"Step": step_name, "Workers": workers})
        url = f"http://{self._address}/-/advise"
        try:
            response = await self._client.call("POST", url, timeout, body)
        except HttpCallError as error:
            raise AdviceError(str(error)) from error
        if response.status != 200:
            raise AdviceError(
                f"advice service returned status {response.status}, expected 200"
            )
        try:
            wire = json.decode(response.body, type=_WireGrants)
        except DECODE_ERRORS as error:
            raise AdviceError(
                f"cannot decode the placement advice response: {error}"
            ) from error
        return {WorkerId(row[0]): row[1] for row in wire.granted}
