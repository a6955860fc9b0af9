"""Web handlers for presets."""

from jujubebarrow.configurations.configurations import SELECTION_NAME
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.selection_records import Selection
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.operators.operator_handlers import OperatorHandler
from jujubebarrow.operators.preset_documents import PresetRequest
from jujubebarrow.operators.record_checks import check_references


class PresetHandler(OperatorHandler):
    """Puts a preset in force."""

    async def put(self) -> None:
        """Put the requested preset in force."""
        selection = Selection(preset=self.parse_body(PresetRequest).preset)
        configuration = self.context.configuration
        check_references(configuration, selection)
        selection_name = (RecordKind.SELECTION, SELECTION_NAME)
        preset_name = (RecordKind.PRESET, selection.preset)
        change = Change(
            writes={selection_name: selection},
            conditions={
                selection_name: configuration.row_revision(*selection_name),
                preset_name: configuration.row_revision(*preset_name),
            },
            reason=f"preset {selection.preset} in force",
            subject=selection.preset,
        )
        await self.commit(change)


class PresetPlanHandler(OperatorHandler):
    """Shows the effect of a preset before it is in force."""

    def get(self, name: str) -> None:
        """Return the changes that a preset would cause."""
        plan = self.context.status_reader.plan_preset(name)
        if plan is None:
            raise RefusalError(ErrorKind.NOT_FOUND, f"preset {name}")
        self.send_document(plan)
