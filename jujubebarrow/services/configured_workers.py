"""Registers the operators' instances as workers of the job core."""

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

CHECK_PERIOD_SECONDS = 0.2
"""Time between two checks whether the configuration has changed."""
MEMORY_PER_CORE_MB = 2048
"""Assumed memory of an instance per core in MiB; the records state no memory."""
DRAIN_SECONDS = 3600.0
"""Time until shutdown that is reported for a draining instance. The actual time is
unknown, because the control service waits without a limit until the instance runs no
task."""
ABSENT_STATES = frozenset({InstanceState.REBOOTING, InstanceState.FAILED})
"""States in which an instance runs no tasks."""


class ConfiguredWorkers(BackgroundLoop, WorkerSource):
    """Reports the instances in the configuration to listeners.

    Args:
        configuration: Records in force in this process.
    """

    def __init__(self, configuration: Configuration):
        super().__init__()
        self._configuration = configuration
        self._revision = 0
        self._entries: dict[WorkerId, WorkerEntry] = {}
        self._listeners: list[WorkerListener] = []

    def add_listener(self, listener: WorkerListener) -> None:
        """Report the current workers and all later changes to a listener."""
        self._listeners.append(listener)
        for entry in self._entries.values():
            listener.on_worker_changed(entry)

    def remove_listener(self, listener: WorkerListener) -> None:
        """Stop reporting changes to a listener."""
        self._listeners.remove(listener)

    async def _run(self) -> None:
        while True:
            self.refresh()
            await sleep(CHECK_PERIOD_SECONDS)

    def refresh(self) -> None:
        """Report changed and removed workers to the listeners."""
        revision = self._configuration.revision
        if revision == self._revision:
            return
        self._revision = revision
        entries = self._build_entries()
        for worker in self._entries.keys() - entries.keys():
            for listener in list(self._listeners):
                listener.on_worker_deregistered(worker)
        for worker, entry in entries.items():
            if self._entries.get(worker) != entry:
                for listener in list(self._listeners):
                    listener.on_worker_changed(entry)
        self._entries = entries

    def _build_entries(self) -> dict[WorkerId, WorkerEntry]:
        entries = {}
        for name in self._configuration.list_names(RecordKind.INSTANCE):
            instance = self._configuration.instance(name)
            if instance is not None and instance.state not in ABSENT_STATES:
                entry = make_worker_entry(name, instance)
                entries[entry.worker] = entry
        return entries


def make_worker_entry(name: str, instance: Instance) -> WorkerEntry:
    """Return the worker entry of an instance."""
    is_serving = instance.state is InstanceState.SERVING
    capacity = Resources(
        cpu=1000 * instance.cores,
        memory=MEMORY_PER_CORE_MB * instance.cores,
        gpus=instance.accelerators,
    )
    return WorkerEntry(
        worker=WorkerId(name),
        # The worker reports the start time in its first response to a lease renewal.
        started_at_ms=0,
        pool=PoolId(instance.pool),
        address=instance.address,
        zone=ZoneId(instance.zone),
        state=WorkerState.READY if is_serving else WorkerState.DRAINING,
        capacity=capacity,
        labels=(instance.rack,),
        remaining=DRAIN_SECONDS,
        machine=MachineId(name),
    )
