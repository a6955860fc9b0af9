"""Interface to the documents that others write into the store."""

from abc import abstractmethod

from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.runtimes.wave_reporters import WaveReporter
from jujubebarrow.stores.rows import Row
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry


class DocumentReader(WaveReporter):
    """Decodes and makes documents that the operator and the workers know."""

    @property
    @abstractmethod
    def operator_table(self) -> str:
        """Table of the operator's documents."""

    @property
    @abstractmethod
    def worker_table(self) -> str:
        """Table of the workers' registrations."""

    @abstractmethod
    def is_fleet(self, row: Row) -> bool:
        """Return whether a row is the configuration of the fleet."""

    @abstractmethod
    def read_fleet(self, row: Row) -> FleetMap | None:
        """Return the configuration, or None, counted, if it cannot be read."""

    @abstractmethod
    def read_wave(self, row: Row) -> WaveRequest | None:
        """Return a request for maintenance, or None if the row is none."""

    @abstractmethod
    def worker_of(self, row: Row) -> WorkerId:
        """Return the worker that a registration is about."""

    @abstractmethod
    def read_worker(self, row: Row) -> WorkerEntry | None:
        """Return a registration, or None, counted, if it cannot be used."""
