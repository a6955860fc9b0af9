"""Presets, instances and maintenance."""

from jujubebarrow.configurations.configurations import SELECTION_NAME
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.move_causes import MoveCause
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.selection_records import Selection
from jujubebarrow.errors.exceptions import DispatchError, RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.maintenance.transitions import (
    bring_back,
    require_instance,
    require_pool,
    take_out,
)
from jujubebarrow.operators.documents import (
    InstanceAction,
    PresetRequest,
    WaveList,
    WaveRequest,
)
from jujubebarrow.operators.operator_handlers import OperatorHandler
from jujubebarrow.operators.record_checks import check_references


class PresetHandler(OperatorHandler):
    """Puts a preset in force."""

    async def put(self) -> None:
        """Select a preset."""
        selection = Selection(preset=self.read(PresetRequest).preset)
        configuration = self.context.configuration
        check_references(configuration, selection)
        name = (RecordKind.SELECTION, SELECTION_NAME)
        preset = (RecordKind.PRESET, selection.preset)
        change = Change(
            writes={name: selection},
            conditions={
                name: configuration.row_revision(*name),
                preset: configuration.row_revision(*preset),
            },
            reason=f"preset {selection.preset} in force",
            subject=selection.preset,
        )
        await self.commit(change)


class PresetPlanHandler(OperatorHandler):
    """Foretells the effect of a preset."""

    def get(self, name: str) -> None:
        """Show what a preset would change."""
        plan = self.context.status.plan_preset(name)
        if plan is None:
            raise RefusalError(ErrorKind.NOT_FOUND, f"preset {name}")
        self.answer(plan)


class InstanceActionHandler(OperatorHandler):
    """Drains, moves and resumes an instance."""

    async def post(self, name: str) -> None:
        """Start an action; control carries it through."""
        action = self.read(InstanceAction)
        match action.action:
            case "drain":
                change = self._take_out(name, MoveCause.OPERATOR, None, action)
            case "move":
                target = action.target or ""
                require_pool(self.context.configuration, target)
                change = self._take_out(name, MoveCause.MOVE, target, action)
            case "resume":
                change = await self._resume(name, action)
            case _:
                raise RefusalError(ErrorKind.BAD_REQUEST, "drain, resume or move")
        await self.commit(change)

    def _take_out(
        self, name: str, cause: MoveCause, target: str | None, action: InstanceAction
    ) -> Change:
        return take_out(self.context.configuration, name, cause, target, action.reason)

    async def _resume(self, name: str, action: InstanceAction) -> Change:
        configuration = self.context.configuration
        instance = require_instance(configuration, name)
        if instance.state not in (InstanceState.DRAINING, InstanceState.FAILED):
            raise RefusalError(
                ErrorKind.BAD_REQUEST, f"instance {name} is {instance.state.value}"
            )
        try:
            await self.context.upstreams.resume(instance.address)
        except DispatchError as error:
            raise RefusalError(ErrorKind.UPSTREAM_TIMEOUT, str(error)) from error
        return bring_back(configuration, name, action.reason, None)


class WavesHandler(OperatorHandler):
    """Lists maintenance waves."""

    def get(self) -> None:
        """Show the progress of all waves."""
        self.answer(WaveList(waves=self.context.status.waves()))


class WaveHandler(OperatorHandler):
    """Starts, pauses, resumes and ends a maintenance wave."""

    async def put(self, name: str) -> None:
        """Start a wave."""
        request = self.read(WaveRequest)
        for pool in request.pools:
            require_pool(self.context.configuration, pool)
        wave = Maintenance(
            pools=request.pools,
            started=self.context.clock.wall(),
            failure_limit=request.failure_limit,
        )
        await self._write(name, wave, f"maintenance {name} started")

    async def post(self, name: str) -> None:
        """Pause a wave, or resume a paused one."""
        wave = self.context.configuration.waves().get(name)
        if wave is None:
            raise RefusalError(ErrorKind.NOT_FOUND, f"maintenance {name}")
        paused = not wave.paused
        verb = "paused" if paused else "resumed"
        changed = wave.model_copy(update={"paused": paused})
        await self._write(name, changed, f"maintenance {name} {verb}")

    async def delete(self, name: str) -> None:
        """End a wave; instances that are out finish their maintenance."""
        if name not in self.context.configuration.waves():
            raise RefusalError(ErrorKind.NOT_FOUND, f"maintenance {name}")
        await self._write(name, None, f"maintenance {name} ended")

    async def _write(self, name: str, wave: Maintenance | None, reason: str) -> None:
        key = (RecordKind.MAINTENANCE, name)
        revision = self.context.configuration.row_revision(*key)
        change = Change(
            writes={key: wave}, conditions={key: revision}, reason=reason, subject=name
        )
        await self.commit(change)
