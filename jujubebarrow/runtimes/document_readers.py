"""Interface for decoding and encoding documents of other programs in the store."""

from abc import abstractmethod

from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.runtimes.wave_reporters import WaveReporter
from jujubebarrow.stores.rows import Row
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry


class DocumentReader(WaveReporter):
    """Decodes and encodes the documents of the operator and of the workers."""

    @property
    @abstractmethod
    def operator_table(self) -> str:
        """Name of the table with the operator's documents."""

    @property
    @abstractmethod
    def worker_table(self) -> str:
        """Name of the table with the workers' registrations."""

    @abstractmethod
    def is_fleet(self, row: Row) -> bool:
        """Return whether a row holds the configuration of the fleet."""

    @abstractmethod
    def read_fleet(self, row: Row) -> FleetMap | None:
        """Decode the configuration; count an undecodable row and return None."""

    @abstractmethod
    def read_wave(self, row: Row) -> WaveRequest | None:
        """Decode a requested maintenance wave; return None for any other row."""

    @abstractmethod
    def parse_worker_id(self, row: Row) -> WorkerId:
        """Return the id of the worker that a row registers."""

    @abstractmethod
    def read_worker(self, row: Row) -> WorkerEntry | None:
        """Decode a registration; count an undecodable row and return None."""
