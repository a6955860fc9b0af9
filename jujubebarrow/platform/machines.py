"""Client of the platform's machine service."""

from typing import Any

from msgspec import json

from jujubebarrow.gateways.machine_controls import (
    Machine,
    MachineControl,
    MachineControlError,
    MachineOrderOutcome,
    MachineState,
)
from jujubebarrow.identifiers import InstanceId, PoolId, ZoneId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.decode_errors import DECODE_ERRORS
from jujubebarrow.transports.http_clients import (
    ClientResponse,
    HttpCallError,
    HttpClient,
)
from jujubebarrow.workloads.identifiers import FenceToken, MachineId, WorkerId

CONNECTION_LIMIT = 8
"""Limit on parallel calls; orders for machines are rare."""
TIMEOUT_SECONDS = 1.5
"""Timeout of a call; the machine service may respond slowly."""

MACHINE_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
    "down": MachineState.DOWN,
}
REFUSAL_OUTCOMES = {
    "fence": MachineOrderOutcome.FENCED,
    "busy": MachineOrderOutcome.BUSY,
    "wave": MachineOrderOutcome.NOT_IN_WAVE,
}


class PlatformMachines(MachineControl):
    """HTTP client of the machine service.

    Args:
        address: IP and port of the service.
        instance: Id of this instance, sent as the lease holder.
        metrics: Registry of the counters.
    """

    def __init__(self, address: str, instance: InstanceId, metrics: MetricsRegistry):
        self._url = f"http://{address}"
        self._instance = instance
        self._metrics = metrics
        self._client = HttpClient(CONNECTION_LIMIT)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def list_machines(self) -> list[Machine]:
        """Return all machines of the platform."""
        machines: list[Machine] = []
        page_token = ""
        while True:
            query = f"?PageToken={page_token}" if page_token else ""
            response = await self._call("GET", f"/-/machines{query}")
            if response.status != 200:
                raise MachineControlError(
                    f"machine list returned status {response.status}, expected 200"
                )
            try:
                document = json.decode(response.body)
                for row in document["Machines"]:
                    machines.append(_decode_machine(row))
            except DECODE_ERRORS as error:
                raise MachineControlError(
                    f"cannot decode the machine list: {error!r}"
                ) from error
            page_token = document.get("NextToken") or ""
            if not page_token:
                return machines

    async def move(
        self, machine: MachineId, pool: PoolId, token: FenceToken
    ) -> MachineOrderOutcome:
        """Move a machine to a pool; everything that runs on it ends at once."""
        document = {"Machine": machine, "Pool": pool}
        return await self._send_order("/-/machine-move", document, token)

    async def maintain(
        self, machine: MachineId, wave: int, token: FenceToken
    ) -> MachineOrderOutcome:
        """Begin a machine's maintenance; everything that runs on it ends at once."""
        document = {"Machine": machine, "Wave": wave}
        return await self._send_order("/-/machine-upkeep", document, token)

    async def _send_order(
        self, path: str, document: dict[str, Any], token: FenceToken
    ) -> MachineOrderOutcome:
        headers = {"X-Lease-Holder": self._instance, "X-Fencing-Token": str(token)}
        response = await self._call("POST", path, json.encode(document), headers)
        if response.status == 200:
            return MachineOrderOutcome.DONE
        if response.was_resent:
            raise MachineControlError(
                f"machine service refused the second copy of a call for {path} with "
                f"status {response.status}; the first copy may take effect"
            )
        if response.status == 400:
            return MachineOrderOutcome.UNKNOWN_MACHINE
        if response.status == 409:
            return _decode_refusal(response.body)
        if response.status in (429, 503):
            return MachineOrderOutcome.TRY_LATER
        raise MachineControlError(
            f"machine service returned unexpected status {response.status} for {path}"
        )

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> ClientResponse:
        self._metrics.count("machine_call", path.split("?", 1)[0])
        try:
            return await self._client.call(
                method, self._url + path, TIMEOUT_SECONDS, body, headers
            )
        except HttpCallError as error:
            raise MachineControlError(str(error)) from error


def _decode_refusal(body: bytes) -> MachineOrderOutcome:
    try:
        reason = json.decode(body)["Reason"]
        return REFUSAL_OUTCOMES.get(reason, MachineOrderOutcome.BUSY)
    except DECODE_ERRORS as error:
        raise MachineControlError(f"cannot decode the refusal: {error!r}") from error


def _decode_machine(row: dict[str, Any]) -> Machine:
    return Machine(
        machine=MachineId(row["Machine"]),
        pool=PoolId(row["Pool"]),
        state=MACHINE_STATES.get(row["State"], MachineState.DOWN),
        zone=ZoneId(row.get("Zone", "")),
        labels=tuple(row.get("Labels") or ()),
        worker=WorkerId(row.get("Id") or ""),
    )
