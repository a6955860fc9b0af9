"""Commands for presets."""

from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.preset_documents import PresetPlan, PresetRequest
from jujubebarrow.operators.record_documents import CommittedChange


class PresetPlanCommand(OperatorCommand):
    """Shows the effect of a preset before it is in force."""

    name = "preset plan"
    description = "Show what a preset would change."
    arguments = [argument("preset", "Preset.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print the effect of the preset on each pool."""
        path = f"/v1/presets/{quote(self.argument('preset'), safe='')}/plan"
        plan = client.get(path, PresetPlan)
        rows = [
            [
                pool.pool,
                pool.size,
                pool.wanted,
                pool.wanted - pool.size,
                pool.unavailable,
            ]
            for pool in plan.pools
        ]
        self.print_table(
            plan, ["pool", "size", "wanted", "change", "unavailable"], rows
        )
        if not self.option("json"):
            maintenance = "goes on" if plan.maintenance else "takes no instance"
            moves = "follow demand" if plan.moves else "follow the sizes only"
            self.line(f"maintenance {maintenance}, moves {moves}")


class PresetUseCommand(OperatorCommand):
    """Puts a preset in force."""

    name = "preset use"
    description = "Put a preset in force."
    arguments = [argument("preset", "Preset.")]

    def run_with(self, client: OperatorClient) -> None:
        """Put the preset in force."""
        request = PresetRequest(preset=self.argument("preset"))
        committed = client.change("PUT", "/v1/preset", CommittedChange, request)
        self.print_result(
            committed, f"{committed.reason} at revision {committed.revision}"
        )
