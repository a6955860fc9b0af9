"""Maintenance waves."""

from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.maintenance_documents import WaveList, WaveRequest
from jujubebarrow.operators.record_documents import Committed


class MaintenanceListCommand(OperatorCommand):
    """Lists maintenance waves."""

    name = "maintenance list"
    description = "Show the progress of maintenance waves."

    def run_with(self, client: OperatorClient) -> None:
        """Print all waves."""
        found = client.get("/v1/maintenance", WaveList)
        rows = [
            [w.name, w.done, w.total, "paused" if w.paused else "going on", w.remaining]
            for w in found.waves
        ]
        headers = ["wave", "done", "instances", "state", "remaining [s]"]
        self.show(found, headers, rows)


class MaintenanceStartCommand(OperatorCommand):
    """Starts a maintenance wave."""

    name = "maintenance start"
    description = "Maintain every instance of some pools, or of all."
    arguments = [
        argument("wave", "Name of the wave."),
        argument("pools", "Pools; all if none is named.", optional=True, multiple=True),
    ]

    def run_with(self, client: OperatorClient) -> None:
        """Start the wave."""
        request = WaveRequest(pools=self.argument("pools"))
        path = f"/v1/maintenance/{quote(self.argument('wave'), safe='')}"
        done = client.change("PUT", path, Committed, request)
        self.tell(done, f"{done.reason} at revision {done.revision}")


class MaintenancePauseCommand(OperatorCommand):
    """Pauses a wave, or resumes a paused one."""

    name = "maintenance pause"
    description = "Pause a wave, or resume a paused one."
    arguments = [argument("wave", "Name of the wave.")]

    def run_with(self, client: OperatorClient) -> None:
        """Switch between paused and going on."""
        path = f"/v1/maintenance/{quote(self.argument('wave'), safe='')}"
        done = client.change("POST", path, Committed)
        self.tell(done, f"{done.reason} at revision {done.revision}")


class MaintenanceEndCommand(OperatorCommand):
    """Ends a wave."""

    name = "maintenance end"
    description = "End a wave; instances that are out finish first."
    arguments = [argument("wave", "Name of the wave.")]

    def run_with(self, client: OperatorClient) -> None:
        """End the wave."""
        path = f"/v1/maintenance/{quote(self.argument('wave'), safe='')}"
        done = client.change("DELETE", path, Committed)
        self.tell(done, f"{done.reason} at revision {done.revision}")
