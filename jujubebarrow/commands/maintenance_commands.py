"""Commands for maintenance waves."""

from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.maintenance_documents import WaveList, WaveStartRequest
from jujubebarrow.operators.record_documents import CommittedChange


class MaintenanceListCommand(OperatorCommand):
    """Lists the maintenance waves."""

    name = "maintenance list"
    description = "Show the progress of maintenance waves."

    def run_with(self, client: OperatorClient) -> None:
        """Print the progress of all waves."""
        wave_list = client.get("/v1/maintenance", WaveList)
        rows = [
            [
                wave.name,
                wave.done,
                wave.total,
                "paused" if wave.paused else "going on",
                wave.remaining,
            ]
            for wave in wave_list.waves
        ]
        headers = ["wave", "done", "instances", "state", "remaining [s]"]
        self.print_table(wave_list, headers, rows)


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
        request = WaveStartRequest(pools=self.argument("pools"))
        path = f"/v1/maintenance/{quote(self.argument('wave'), safe='')}"
        committed = client.change("PUT", path, CommittedChange, request)
        self.print_result(
            committed, f"{committed.reason} at revision {committed.revision}"
        )


class MaintenancePauseCommand(OperatorCommand):
    """Pauses a wave, or resumes a paused one."""

    name = "maintenance pause"
    description = "Pause a wave, or resume a paused one."
    arguments = [argument("wave", "Name of the wave.")]

    def run_with(self, client: OperatorClient) -> None:
        """Pause the wave, or resume a paused one."""
        path = f"/v1/maintenance/{quote(self.argument('wave'), safe='')}"
        committed = client.change("POST", path, CommittedChange)
        self.print_result(
            committed, f"{committed.reason} at revision {committed.revision}"
        )


class MaintenanceEndCommand(OperatorCommand):
    """Ends a wave."""

    name = "maintenance end"
    description = "End a wave; instances that are out finish first."
    arguments = [argument("wave", "Name of the wave.")]

    def run_with(self, client: OperatorClient) -> None:
        """End the wave."""
        path = f"/v1/maintenance/{quote(self.argument('wave'), safe='')}"
        committed = client.change("DELETE", path, CommittedChange)
        self.print_result(
            committed, f"{committed.reason} at revision {committed.revision}"
        )
