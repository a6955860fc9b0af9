"""The platform's machine service."""

from typing import Any

from msgspec import DecodeError, ValidationError, json

from jujubebarrow.gateways.machine_controls import (
    Machine,
    MachineAnswer,
    MachineControl,
    MachineControlError,
    MachineState,
)
from jujubebarrow.identifiers import InstanceId, PoolId, ZoneId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.transports.http_clients import HttpAnswer, HttpCallError, HttpClient
from jujubebarrow.workloads.identifiers import FenceToken, MachineId, WorkerId

CONNECTIONS = 8
"""Calls at a time; orders for machines are few."""
TIMEOUT = 1.5
"""Seconds for a call; the service may be slow."""

STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
    "down": MachineState.DOWN,
}
REASONS = {
    "fence": MachineAnswer.FENCED,
    "busy": MachineAnswer.BUSY,
    "wave": MachineAnswer.NOT_IN_WAVE,
}


class PlatformMachines(MachineControl):
    """Client of the machine service.

    Args:
        address: IP and port.
        instance: This instance, as the holder of the lease.
        metrics: Counters.
    """

    def __init__(self, address: str, instance: InstanceId, metrics: MetricsRegistry):
        self._url = f"http://{address}"
        self._instance = instance
        self._metrics = metrics
        self._client = HttpClient(CONNECTIONS)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def list_machines(self) -> list[Machine]:
        """Return all machines."""
        machines: list[Machine] = []
        page = ""
        while True:
            query = f"?PageToken={page}" if page else ""
            answer = await self._call("GET", f"/-/machines{query}")
            if answer.status != 200:
                raise MachineControlError(f"status {answer.status}")
            try:
                document = json.decode(answer.body)
                for row in document["Machines"]:
                    machines.append(_read_machine(row))
            except (DecodeError, ValidationError, KeyError, TypeError) as error:
                raise MachineControlError(f"unreadable list: {error!r}") from error
            page = document.get("NextToken") or ""
            if not page:
                return machines

    async def move(
        self, machine: MachineId, pool: PoolId, token: FenceToken
    ) -> MachineAnswer:
        """Move a machine to a pool; all that runs on it ends at once."""
        document = {"Machine": machine, "Pool": pool}
        return await self._order("/-/machine-move", document, token)

    async def maintain(
        self, machine: MachineId, wave: int, token: FenceToken
    ) -> MachineAnswer:
        """Begin a machine's maintenance; all that runs on it ends at once."""
        document = {"Machine": machine, "Wave": wave}
        return await self._order("/-/machine-upkeep", document, token)

    async def _order(
        self, path: str, document: dict[str, Any], token: FenceToken
    ) -> MachineAnswer:
        headers = {"X-Lease-Holder": self._instance, "X-Fencing-Token": str(token)}
        answer = await self._call("POST", path, json.encode(document), headers)
        if answer.status == 200:
            return MachineAnswer.DONE
        if answer.status == 400:
            return MachineAnswer.UNKNOWN_MACHINE
        if answer.status == 409:
            reason = json.decode(answer.body).get("Reason", "")
            return REASONS.get(reason, MachineAnswer.BUSY)
        if answer.status in (429, 503):
            return MachineAnswer.TRY_LATER
        raise MachineControlError(f"status {answer.status}")

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer:
        self._metrics.count("machine_call", path.split("?", 1)[0])
        try:
            return await self._client.call(
                method, self._url + path, TIMEOUT, body, headers
            )
        except HttpCallError as error:
            raise MachineControlError(str(error)) from error


def _read_machine(row: dict[str, Any]) -> Machine:
    return Machine(
        machine=MachineId(row["Machine"]),
        pool=PoolId(row["Pool"]),
        state=STATES.get(row["State"], MachineState.DOWN),
        zone=ZoneId(row.get("Zone", "")),
        labels=tuple(row.get("Labels") or ()),
        worker=WorkerId(row.get("Id") or ""),
    )
