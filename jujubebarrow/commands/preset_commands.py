"""Presets."""

from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.preset_documents import PresetPlan, PresetRequest
from jujubebarrow.operators.record_documents import Committed


class PresetPlanCommand(OperatorCommand):
    """Foretells the effect of a preset."""

    name = "preset plan"
    description = "Show what a preset would change."
    arguments = [argument("preset", "Preset.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print the effect on each pool."""
        path = f"/v1/presets/{quote(self.argument('preset'), safe='')}/plan"
        plan = client.get(path, PresetPlan)
        rows = [
            [p.pool, p.size, p.wanted, p.wanted - p.size, p.unavailable]
            for p in plan.pools
        ]
        self.show(plan, ["pool", "size", "wanted", "change", "unavailable"], rows)
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
        """Select the preset."""
        request = PresetRequest(preset=self.argument("preset"))
        done = client.change("PUT", "/v1/preset", Committed, request)
        self.tell(done, f"{done.reason} at revision {done.revision}")
