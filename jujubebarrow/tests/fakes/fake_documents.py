"""In-memory decision log and document reader."""

from asyncio import get_running_loop
from typing import Any

from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.runtimes.document_readers import DocumentReader
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.rows import Row
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry


class ListLog(DecisionLog):
    def __init__(self, name: str = ""):
        self.name = name
        self.lines: list[dict[str, Any]] = []

    def write(self, event: str, **fields: Any) -> None:
        at = round(get_running_loop().time(), 3)
        self.lines.append({"at": at, "event": event, "node": self.name, **fields})


class FakeReader(DocumentReader):
    """Reads rows that only name an object, so that the tests need no wire format."""

    def __init__(self) -> None:
        self.objects: dict[str, Any] = {}

    @property
    def operator_table(self) -> str:
        return "op"

    @property
    def worker_table(self) -> str:
        return "servers"

    def _find(self, row: Row) -> Any:
        return self.objects[row.value["object"]] if row.value else None

    def is_fleet(self, row: Row) -> bool:
        return isinstance(self._find(row), FleetMap)

    def read_fleet(self, row: Row) -> FleetMap | None:
        return self._find(row)

    def read_wave(self, row: Row) -> WaveRequest | None:
        return self._find(row)

    def parse_worker_id(self, row: Row) -> WorkerId:
        return WorkerId(RowKey.parse(row.key).name)

    def read_worker(self, row: Row) -> WorkerEntry | None:
        return self._find(row)

    def make_wave_status(
        self, wave: int, is_completed: bool
    ) -> tuple[str, dict[str, Any]]:
        return f"status//wave/{wave}", {"completed": is_completed}
