"""Web handlers for maintenance waves."""

from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.maintenance.transitions import require_pool
from jujubebarrow.operators.maintenance_documents import WaveList, WaveStartRequest
from jujubebarrow.operators.operator_handlers import OperatorHandler


class WavesHandler(OperatorHandler):
    """Lists the maintenance waves."""

    def get(self) -> None:
        """Return the progress of all waves."""
        self.send_document(WaveList(waves=self.context.status_reader.read_waves()))


class WaveHandler(OperatorHandler):
    """Starts, pauses, resumes and ends a maintenance wave."""

    async def put(self, name: str) -> None:
        """Start a wave."""
        request = self.parse_body(WaveStartRequest)
        for pool in request.pools:
            require_pool(self.context.configuration, pool)
        wave = Maintenance(
            pools=request.pools,
            started=self.context.clock.wall(),
            failure_limit=request.failure_limit,
        )
        await self._commit_wave(name, wave, f"maintenance {name} started")

    async def post(self, name: str) -> None:
        """Pause a wave, or resume a paused one."""
        wave = self.context.configuration.waves().get(name)
        if wave is None:
            raise RefusalError(ErrorKind.NOT_FOUND, f"maintenance {name}")
        paused = not wave.paused
        verb = "paused" if paused else "resumed"
        changed = wave.model_copy(update={"paused": paused})
        await self._commit_wave(name, changed, f"maintenance {name} {verb}")

    async def delete(self, name: str) -> None:
        """End a wave; instances already under maintenance finish."""
        if name not in self.context.configuration.waves():
            raise RefusalError(ErrorKind.NOT_FOUND, f"maintenance {name}")
        await self._commit_wave(name, None, f"maintenance {name} ended")

    async def _commit_wave(
        self, name: str, wave: Maintenance | None, reason: str
    ) -> None:
        record_name = (RecordKind.MAINTENANCE, name)
        revision = self.context.configuration.row_revision(*record_name)
        change = Change(
            writes={record_name: wave},
            conditions={record_name: revision},
            reason=reason,
            subject=name,
        )
        await self.commit(change)
