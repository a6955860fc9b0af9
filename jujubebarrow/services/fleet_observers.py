"""Gathers what control sees of the fleet."""

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
from jujubebarrow.upstreams.upstreams import Upstreams


class FleetObserver:
    """Joins the reports of all homes and asks upstreams that are out of service.

    Args:
        configuration: Records in force.
        directory: Peers' reports.
        reporter: Own report.
        absences: The platform's list.
        upstreams: Upstreams.
    """

    def __init__(
        self,
        configuration: Configuration,
        directory: PeerDirectory,
        reporter: StatusReporter,
        absences: AbsenceTracker,
        upstreams: Upstreams,
    ):
        self._configuration = configuration
        self._directory = directory
        self._reporter = reporter
        self._absences = absences
        self._upstreams = upstreams

    async def observe(self) -> FleetObservations:
        """Return what is seen now."""
        observations = FleetObservations()
        own = self._reporter.whole()
        reports = {name: report for name, report in own.pools.items() if report}
        self._add_home(observations, own, reports)
        for record in self._directory.alive():
            self._add_home(observations, record.status, record.pools)
        observations.terminated = {
            name
            for name in self._absences.missing()
            if self._absences.is_terminated(name) and self._configuration.instance(name)
        }
        await self._ask_unavailable(observations)
        return observations

    def _add_home(
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
            observations.reported.update(self._failed_in(pool, status.zone))

    def _failed_in(self, pool: str, zone: str) -> Iterable[str]:
        for name in self._configuration.budget(pool).unavailable:
            instance = self._configuration.instance(name)
            if instance is None or instance.zone != zone:
                continue
            if instance.state is InstanceState.FAILED:
                yield name

    async def _ask_unavailable(self, observations: FleetObservations) -> None:
        questions = [
            self._ask(observations, name, instance)
            for pool in self._configuration.names(RecordKind.BUDGET)
            for name in self._configuration.budget(pool).unavailable
            if (instance := self._configuration.instance(name)) is not None
        ]
        await gather(*questions)

    async def _ask(
        self, observations: FleetObservations, name: str, instance: Instance
    ) -> None:
        try:
            if instance.state is InstanceState.DRAINING:
                await self._ask_draining(observations, name, instance.address)
            elif instance.state is InstanceState.REBOOTING:
                await self._ask_rebooting(observations, name, instance.address)
        except DispatchError:
            # An instance that does not answer stays as it is for this round.
            return

    async def _ask_draining(
        self, observations: FleetObservations, name: str, address: str
    ) -> None:
        report = await self._upstreams.probe(address)
        if not report.draining:
            await self._upstreams.drain(address)
        elif report.running == 0:
            observations.drained.add(name)

    async def _ask_rebooting(
        self, observations: FleetObservations, name: str, address: str
    ) -> None:
        report = await self._upstreams.probe(address)
        if report.draining:
            # The reboot was decided but the command was lost.
            await self._upstreams.reboot(address)
        else:
            observations.rebooted.add(name)
