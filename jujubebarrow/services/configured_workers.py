"""The operators' instances as workers of the job core."""

from asyncio import sleep

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.identifiers import PoolId, ZoneId
from jujubebarrow.runtimes.worker_sources import WorkerListener, WorkerSource
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.worker_reports import WorkerEntry, WorkerState

PERIOD = 0.2
"""Seconds between two looks at whether the configuration has changed."""
MEMORY_PER_CORE = 2048
"""MiB of memory counted for each core, as records do not name the memory."""
DRAIN_SECONDS = 3600.0
"""Seconds until a draining instance ends: control waits until nothing runs."""
ABSENT_STATES = frozenset({InstanceState.REBOOTING, InstanceState.FAILED})
"""States in which an instance runs nothing."""


class ConfiguredWorkers(BackgroundLoop, WorkerSource):
    """Tells listeners of the instances in the configuration.

    Args:
        configuration: Records in force.
    """

    def __init__(self, configuration: Configuration):
        super().__init__()
        self._configuration = configuration
        self._revision = 0
        self._entries: dict[WorkerId, WorkerEntry] = {}
        self._listeners: list[WorkerListener] = []

    def add_listener(self, listener: WorkerListener) -> None:
        """Tell a listener of all registrations and their changes."""
        self._listeners.append(listener)
        for entry in self._entries.values():
            listener.on_worker_changed(entry)

    def remove_listener(self, listener: WorkerListener) -> None:
        """Tell a listener nothing more."""
        self._listeners.remove(listener)

    async def _run(self) -> None:
        while True:
            self.refresh()
            await sleep(PERIOD)

    def refresh(self) -> None:
        """Take over what has changed."""
        revision = self._configuration.revision
        if revision == self._revision:
            return
        self._revision = revision
        entries = self._build()
        for worker in self._entries.keys() - entries.keys():
            for listener in list(self._listeners):
                listener.on_worker_gone(worker)
        for worker, entry in entries.items():
            if self._entries.get(worker) != entry:
                for listener in list(self._listeners):
                    listener.on_worker_changed(entry)
        self._entries = entries

    def _build(self) -> dict[WorkerId, WorkerEntry]:
        entries = {}
        for name in self._configuration.names(RecordKind.INSTANCE):
            instance = self._configuration.instance(name)
            if instance is not None and instance.state not in ABSENT_STATES:
                entry = make_entry(name, instance)
                entries[entry.worker] = entry
        return entries


def make_entry(name: str, instance: Instance) -> WorkerEntry:
    """Return the registration of an instance."""
    serving = instance.state is InstanceState.SERVING
    capacity = Resources(
        cpu=1000 * instance.cores,
        memory=MEMORY_PER_CORE * instance.cores,
        gpus=instance.accelerators,
    )
    return WorkerEntry(
        worker=WorkerId(name),
        # The instance tells its start itself, with its first answer.
        started_at_ms=0,
        pool=PoolId(instance.pool),
        address=instance.address,
        zone=ZoneId(instance.zone),
        state=WorkerState.READY if serving else WorkerState.DRAINING,
        capacity=capacity,
        labels=(instance.rack,),
        remaining=DRAIN_SECONDS,
        machine=MachineId(name),
    )
