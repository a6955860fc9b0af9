"""Planning of instance state changes in one control round."""

from collections import Counter

from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.drain_causes import DrainCause
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.maintenance.observations import FleetObservations
from jujubebarrow.maintenance.transitions import (
    finish_move,
    mark_failed,
    mark_rebooting,
    return_to_service,
    start_drain,
)
from jujubebarrow.maintenance.waves import choose_candidates, has_too_many_failures
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools.move_planners import MovePlanner
from jujubebarrow.pools.moves import Move

UNREACHABLE_ROUNDS = 4
"""Consecutive control rounds for which an instance must be unreachable before the
instance is marked as failed."""


class FleetPlanner:
    """Plans instance state changes, each of which can be committed on its own.

    If two changes in a round write the same record, the later change is dropped and
    planned again in the next round.

    Args:
        moves: Planner of moves between pools.
        metrics: Registry in which refused changes are counted.
    """

    def __init__(self, moves: MovePlanner, metrics: MetricsRegistry):
        self._moves = moves
        self._metrics = metrics
        self._unreachable_rounds: Counter[str] = Counter()

    def plan(
        self,
        configuration: Configuration,
        observations: FleetObservations,
        now: float,
    ) -> list[Change]:
        """Return the changes to commit in this round, most urgent first.

        Args:
            configuration: Current configuration records.
            observations: Observed state of the fleet.
            now: Current time in seconds since the epoch.
        """
        changes = self._plan_health_changes(configuration, observations)
        changes += self._plan_next_states(configuration, observations, now)
        changes += self._plan_moves(configuration, observations, now)
        changes += self._plan_waves(configuration, observations)
        return _drop_overlapping_changes(changes)

    def _plan_health_changes(
        self, configuration: Configuration, observations: FleetObservations
    ) -> list[Change]:
        changes = []
        self._update_unreachable_rounds(observations)
        for name in sorted(_find_instances_to_check(configuration, observations)):
            instance = configuration.instance(name)
            if instance is None:
                continue
            change = self._plan_health_change(
                configuration, name, instance, observations
            )
            if change is not None:
                changes.append(change)
        return changes

    def _update_unreachable_rounds(self, observations: FleetObservations) -> None:
        for name in list(self._unreachable_rounds):
            if name not in observations.unreachable:
                del self._unreachable_rounds[name]
        self._unreachable_rounds.update(observations.unreachable)

    def _plan_health_change(
        self,
        configuration: Configuration,
        name: str,
        instance: Instance,
        observations: FleetObservations,
    ) -> Change | None:
        is_unreachable = self._unreachable_rounds[name] >= UNREACHABLE_ROUNDS
        is_terminated = name in observations.terminated
        if instance.state is InstanceState.FAILED:
            reachable = observations.failed_with_report - observations.unreachable
            if is_terminated or name not in reachable:
                return None
            return return_to_service(configuration, name, "answers again", None)
        if is_terminated:
            return mark_failed(configuration, name, "not in the platform's list")
        if is_unreachable and instance.state is not InstanceState.REBOOTING:
            return mark_failed(configuration, name, "does not answer its home")
        return None

    def _plan_next_states(
        self, configuration: Configuration, observations: FleetObservations, now: float
    ) -> list[Change]:
        changes = []
        for name in sorted(observations.drained):
            instance = configuration.instance(name)
            if instance is None or instance.state is not InstanceState.DRAINING:
                continue
            if instance.cause is DrainCause.MOVE:
                changes.append(finish_move(configuration, name, now))
            elif instance.cause is DrainCause.MAINTENANCE:
                changes.append(mark_rebooting(configuration, name))
        for name in sorted(observations.rebooted):
            instance = configuration.instance(name)
            if instance and instance.state is InstanceState.REBOOTING:
                changes.append(
                    return_to_service(configuration, name, "maintained", now)
                )
        return changes

    def _plan_moves(
        self, configuration: Configuration, observations: FleetObservations, now: float
    ) -> list[Change]:
        changes = []
        for move in self._moves.plan(configuration, observations, now):
            change = self._try_start_drain(configuration, move)
            if change is not None:
                changes.append(change)
        return changes

    def _try_start_drain(
        self, configuration: Configuration, move: Move
    ) -> Change | None:
        try:
            return start_drain(
                configuration, move.instance, DrainCause.MOVE, move.target, move.reason
            )
        except RefusalError as error:
            self._metrics.count("move_refused", error.kind.value)
            return None

    def _plan_waves(
        self, configuration: Configuration, observations: FleetObservations
    ) -> list[Change]:
        if not configuration.preset_in_force().maintenance:
            return []
        changes = []
        for name, wave in configuration.waves().items():
            if wave.paused:
                continue
            if has_too_many_failures(configuration, wave, observations):
                changes.append(_make_pause_change(configuration, name, wave))
                continue
            changes += self._plan_wave(configuration, name, wave, observations)
        return changes

    def _plan_wave(
        self,
        configuration: Configuration,
        wave_name: str,
        wave: Maintenance,
        observations: FleetObservations,
    ) -> list[Change]:
        changes = []
        reason = f"maintenance {wave_name}"
        for name in choose_candidates(configuration, wave, observations):
            try:
                change = start_drain(
                    configuration, name, DrainCause.MAINTENANCE, None, reason
                )
            except RefusalError as error:
                self._metrics.count("maintenance_refused", error.kind.value)
                continue
            changes.append(change)
        return changes


def _find_instances_to_check(
    configuration: Configuration, observations: FleetObservations
) -> set[str]:
    unavailable = {
        name
        for pool in configuration.list_names(RecordKind.BUDGET)
        for name in configuration.budget(pool).unavailable
    }
    return unavailable | observations.unreachable | observations.terminated


def _make_pause_change(
    configuration: Configuration, name: str, wave: Maintenance
) -> Change:
    key = (RecordKind.MAINTENANCE, name)
    reason = f"maintenance {name} paused: {wave.failure_limit} or more failures"
    return Change(
        writes={key: wave.model_copy(update={"paused": True})},
        conditions={key: configuration.row_revision(*key)},
        reason=reason,
        subject=name,
    )


def _drop_overlapping_changes(changes: list[Change]) -> list[Change]:
    written_names: set[tuple[RecordKind, str]] = set()
    non_overlapping = []
    for change in changes:
        if written_names.isdisjoint(change.writes):
            non_overlapping.append(change)
            written_names.update(change.writes)
    return non_overlapping
