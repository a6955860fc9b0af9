"""Collects the state of the fleet for control."""

from asyncio import gather
from collections.abc import Iterable

from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.errors.exceptions import DispatchError
from jujubebarrow.maintenance.observations import FleetObservations, PoolDemand
from jujubebarrow.members.absences import AbsenceTracker
from jujubebarrow.members.peer_directories import PeerDirectory
from jujubebarrow.peers.status_messages import PeerStatus, PoolReport
from jujubebarrow.services.status_reporters import StatusReporter
from jujubebarrow.upstreams.upstream_clients import UpstreamClient


class FleetObserver:
    """Merges the reports of all homes and probes draining and rebooting upstreams.

    If a probe shows that an upstream has not executed its drain or reboot command, the
    observer sends the command again.

    Args:
        configuration: Records in force in this process.
        directory: Directory of the peers with their last reports.
        reporter: Source of this instance's own report.
        absences: Tracker of instances that the platform no longer lists.
        upstreams: Client that probes and commands upstreams.
    """

    def __init__(
        self,
        configuration: Configuration,
        directory: PeerDirectory,
        reporter: StatusReporter,
        absences: AbsenceTracker,
        upstreams: UpstreamClient,
    ):
        self._configuration = configuration
        self._directory = directory
        self._reporter = reporter
        self._absences = absences
        self._upstreams = upstreams

    async def observe(self) -> FleetObservations:
        """Return the current state of the fleet; repeat commands that had no effect."""
        observations = FleetObservations()
        own_status = self._reporter.make_full_status()
        own_reports = {
            name: report for name, report in own_status.pools.items() if report
        }
        self._add_home_report(observations, own_status, own_reports)
        for record in self._directory.responsive_records():
            self._add_home_report(observations, record.status, record.pools)
        observations.terminated = {
            name
            for name in self._absences.absent_instances()
            if self._absences.is_terminated(name) and self._configuration.instance(name)
        }
        await self._probe_unavailable(observations)
        return observations

    def _add_home_report(
        self,
        observations: FleetObservations,
        status: PeerStatus,
        reports: dict[str, PoolReport],
    ) -> None:
        for pool, report in reports.items():
            demand = observations.demands.setdefault(pool, PoolDemand())
            demand.slots += report.slots
            demand.free_slots += report.free_slots
            demand.waiting += report.waiting
            demand.wait = max(demand.wait, report.wait)
            observations.unreachable.update(report.unreachable)
            observations.failed_with_report.update(
                self._find_failed_instances(pool, status.zone)
            )

    def _find_failed_instances(self, pool: str, zone: str) -> Iterable[str]:
        for name in self._configuration.budget(pool).unavailable:
            instance = self._configuration.instance(name)
            if instance is None or instance.zone != zone:
                continue
            if instance.state is InstanceState.FAILED:
                yield name

    async def _probe_unavailable(self, observations: FleetObservations) -> None:
        probes = [
            self._probe_instance(observations, name, instance)
            for pool in self._configuration.list_names(RecordKind.BUDGET)
            for name in self._configuration.budget(pool).unavailable
            if (instance := self._configuration.instance(name)) is not None
        ]
        await gather(*probes)

    async def _probe_instance(
        self, observations: FleetObservations, name: str, instance: Instance
    ) -> None:
        try:
            if instance.state is InstanceState.DRAINING:
                await self._handle_draining(observations, name, instance.address)
            elif instance.state is InstanceState.REBOOTING:
                await self._handle_rebooting(observations, name, instance.address)
        except DispatchError:
            # The state of an unresponsive instance is left unchanged in this round.
            return

    async def _handle_draining(
        self, observations: FleetObservations, name: str, address: str
    ) -> None:
        report = await self._upstreams.probe(address)
        if not report.is_draining:
            # The drain was recorded, but the command may have been lost.
            await self._upstreams.drain(address)
        elif report.running_count == 0:
            observations.drained.add(name)

    async def _handle_rebooting(
        self, observations: FleetObservations, name: str, address: str
    ) -> None:
        report = await self._upstreams.probe(address)
        if report.is_draining:
            # The reboot was recorded, but the command did not arrive.
            await self._upstreams.reboot(address)
        else:
            observations.rebooted.add(name)
