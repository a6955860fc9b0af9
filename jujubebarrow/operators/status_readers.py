"""Status of the fleet as seen from one entry instance."""

from collections import Counter

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.preset_records import Preset
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.identifiers import TeamId
from jujubebarrow.limits.ledgers import LimitLedger
from jujubebarrow.members.peer_directories import PeerDirectory, PeerRecord
from jujubebarrow.operators.maintenance_documents import WaveProgress
from jujubebarrow.operators.preset_documents import PoolPlan, PresetPlan
from jujubebarrow.operators.status_documents import (
    FleetStatus,
    InstanceStatus,
    TeamStatus,
)
from jujubebarrow.services.configuration_services import ConfigurationService
from jujubebarrow.services.status_reporters import StatusReporter


class StatusReader:
    """Builds operators' documents from the status of all instances and the records.

    Args:
        configuration: Configuration records in force.
        configuration_service: Service that reports whether the configuration is fresh.
        directory: Last status of each peer.
        reporter: Source of this instance's status.
        ledger: Usage of the teams' upper limits on this instance.
        clock: Time source.
    """

    def __init__(
        self,
        configuration: Configuration,
        configuration_service: ConfigurationService,
        directory: PeerDirectory,
        reporter: StatusReporter,
        ledger: LimitLedger,
        clock: Clock,
    ):
        self._configuration = configuration
        self._configuration_service = configuration_service
        self._directory = directory
        self._reporter = reporter
        self._ledger = ledger
        self._clock = clock

    def read_fleet(self) -> FleetStatus:
        """Return the status of all entry instances and teams."""
        own_status = self._reporter.make_full_status()
        instances = [InstanceStatus(reachable=True, silent=0.0, status=own_status)]
        instances += [
            self._describe_peer(record) for record in self._directory.all_records()
        ]
        instances.sort(key=lambda item: item.status.instance)
        return FleetStatus(
            preset=self._configuration.preset_name,
            revision=self._configuration.revision,
            age=own_status.age,
            fresh=self._configuration_service.is_fresh(),
            platform=self._configuration_service.is_platform_reachable,
            instances=instances,
            teams=self._describe_teams(own_status.usage),
        )

    def _describe_peer(self, record: PeerRecord) -> InstanceStatus:
        status = record.status.model_copy(
            update={"usage": record.usage, "pools": record.pools}
        )
        return InstanceStatus(
            reachable=self._directory.is_responsive(status.instance),
            silent=round(self._clock.monotonic() - record.last_response_at, 2),
            status=status,
        )

    def _describe_teams(self, own_usage: dict[str, int | None]) -> list[TeamStatus]:
        running: Counter[str] = Counter()
        usages = [own_usage] + [
            dict(record.usage) for record in self._directory.responsive_records()
        ]
        for usage in usages:
            for usage_key, units in usage.items():
                running[usage_key.partition("/")[2]] += units or 0
        return [
            TeamStatus(
                team=name,
                limit=record.limit,
                running=running[name],
                usable=self._ledger.usable(TeamId(name)),
            )
            for name in self._configuration.list_names(RecordKind.TEAM)
            if (record := self._configuration.team(name)) is not None
        ]

    def plan_preset(self, name: str) -> PresetPlan | None:
        """Return the effect of a preset, or None if the preset does not exist."""
        preset = self._configuration.find(RecordKind.PRESET, name, Preset)
        if preset is None:
            return None
        return PresetPlan(
            preset=name,
            in_force=self._configuration.preset_name == name,
            maintenance=preset.maintenance,
            moves=preset.moves,
            pools=[
                self._plan_pool(pool, preset.sizes.get(pool))
                for pool in self._list_pool_names()
            ],
        )

    def _list_pool_names(self) -> list[str]:
        return self._configuration.list_names(RecordKind.POOL)

    def _plan_pool(self, name: str, requested_size: int | None) -> PoolPlan:
        record = self._configuration.pool(name)
        size = len(self._configuration.pool_instances(name))
        return PoolPlan(
            pool=name,
            size=size,
            wanted=size if requested_size is None else requested_size,
            unavailable=len(self._configuration.budget(name).unavailable),
            unavailable_limit=record.unavailable_limit if record else 0,
        )

    def read_waves(self) -> list[WaveProgress]:
        """Return the progress of all maintenance waves."""
        progress = []
        for name, wave in self._configuration.waves().items():
            pools = wave.pools or self._list_pool_names()
            instances = [
                instance
                for pool in pools
                for instance in self._configuration.pool_instances(pool).values()
            ]
            done_count = sum(1 for item in instances if item.maintained >= wave.started)
            elapsed = self._clock.wall() - wave.started
            remaining_count = len(instances) - done_count
            progress.append(
                WaveProgress(
                    name=name,
                    total=len(instances),
                    done=done_count,
                    paused=wave.paused,
                    remaining=round(elapsed / done_count * remaining_count, 1)
                    if done_count
                    else None,
                )
            )
        return progress
