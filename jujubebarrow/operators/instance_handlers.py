"""Web handler for actions on instances."""

from jujubebarrow.configurations.drain_causes import DrainCause
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.errors.exceptions import DispatchError, RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.maintenance.transitions import (
    require_instance,
    require_pool,
    return_to_service,
    start_drain,
)
from jujubebarrow.operators.instance_documents import InstanceAction
from jujubebarrow.operators.operator_handlers import OperatorHandler


class InstanceActionHandler(OperatorHandler):
    """Drains an instance, moves it to another pool or returns it to service."""

    async def post(self, name: str) -> None:
        """Start a drain or move, or return the instance to service.

        The control service executes a drain or move after the commit.
        """
        action = self.parse_body(InstanceAction)
        match action.action:
            case "drain":
                change = self._start_drain(name, DrainCause.OPERATOR, None, action)
            case "move":
                target = action.target or ""
                require_pool(self.context.configuration, target)
                change = self._start_drain(name, DrainCause.MOVE, target, action)
            case "resume":
                change = await self._return_to_service(name, action)
            case _:
                raise RefusalError(ErrorKind.BAD_REQUEST, "drain, resume or move")
        await self.commit(change)

    def _start_drain(
        self, name: str, cause: DrainCause, target: str | None, action: InstanceAction
    ) -> Change:
        return start_drain(
            self.context.configuration, name, cause, target, action.reason
        )

    async def _return_to_service(self, name: str, action: InstanceAction) -> Change:
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
        return return_to_service(configuration, name, action.reason, None)
