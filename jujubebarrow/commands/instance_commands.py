"""Commands for instances of the fleet."""

from typing import Any, ClassVar
from urllib.parse import quote

from cleo.helpers import argument, option

from jujubebarrow.commands.base_commands import COMMON_OPTIONS, OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.instance_documents import InstanceAction
from jujubebarrow.operators.record_documents import CommittedChange


class _InstanceCommand(OperatorCommand):
    """Base class of commands for one instance of the fleet."""

    action = ""
    arguments: ClassVar[list[Any]] = [argument("instance", "Instance.")]
    options = [
        *COMMON_OPTIONS,
        option("reason", None, "Kept with the instance.", flag=False),
    ]

    def run_with(self, client: OperatorClient) -> None:
        """Request the action and print the revision of the committed change."""
        name = self.argument("instance")
        request = InstanceAction(
            action=self.action,
            target=self.read_target_pool(),
            reason=self.option("reason") or "operator",
        )
        path = f"/v1/instances/{quote(name, safe='')}/actions"
        committed = client.change("POST", path, CommittedChange, request)
        self.print_result(
            committed, f"{name}: {self.action} at revision {committed.revision}"
        )

    def read_target_pool(self) -> str | None:
        """Return the pool to which the instance moves, or None for other actions."""
        return None


class InstanceDrainCommand(_InstanceCommand):
    """Drains an instance."""

    name = "instance drain"
    description = "Take an instance out of service once its work has ended."
    action = "drain"


class InstanceResumeCommand(_InstanceCommand):
    """Returns an instance to service."""

    name = "instance resume"
    description = "Put a drained or failed instance back into service."
    action = "resume"


class InstanceMoveCommand(_InstanceCommand):
    """Moves an instance to another pool."""

    name = "instance move"
    description = "Drain an instance and put it into another pool."
    action = "move"
    arguments = [argument("instance", "Instance."), argument("pool", "Pool.")]

    def read_target_pool(self) -> str | None:
        """Return the pool to which the instance moves."""
        return self.argument("pool")
