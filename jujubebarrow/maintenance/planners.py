"""One round of control over the fleet."""

from collections import Counter

from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.move_causes import MoveCause
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.maintenance.observations import FleetObservations
from jujubebarrow.maintenance.transitions import (
    begin_reboot,
    bring_back,
    finish_move,
    mark_failed,
    take_out,
)
from jujubebarrow.maintenance.waves import choose_candidates, has_too_many_failures
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools.move_planners import MovePlanner
from jujubebarrow.pools.moves import Move

FAILED_ROUNDS = 4
"""Rounds in a row in which an instance must be unreachable to count as failed."""


class FleetPlanner:
    """Plans state changes of instances; each change is safe by itself.

    Changes that would use a record twice are left for the next round.

    Args:
        moves: Plans moves between pools.
        metrics: Where refused steps are counted.
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
        """Return the changes to make now, most urgent first.

        Args:
            configuration: Records in force.
            observations: Reports and answers.
            now: Seconds since the epoch.
        """
        changes = self._plan_failures(configuration, observations)
        changes += self._plan_progress(configuration, observations, now)
        changes += self._plan_moves(configuration, observations, now)
        changes += self._plan_waves(configuration, observations)
        return _drop_overlaps(changes)

    def _plan_failures(
        self, configuration: Configuration, observations: FleetObservations
    ) -> list[Change]:
        changes = []
        self._count_unreachable(observations)
        for name in sorted(_suspects(configuration, observations)):
            instance = configuration.instance(name)
            if instance is None:
                continue
            change = self._plan_health(configuration, name, instance, observations)
            if change is not None:
                changes.append(change)
        return changes

    def _count_unreachable(self, observations: FleetObservations) -> None:
        for name in list(self._unreachable_rounds):
            if name not in observations.unreachable:
                del self._unreachable_rounds[name]
        self._unreachable_rounds.update(observations.unreachable)

    def _plan_health(
        self,
        configuration: Configuration,
        name: str,
        instance: Instance,
        observations: FleetObservations,
    ) -> Change | None:
        lost = self._unreachable_rounds[name] >= FAILED_ROUNDS
        gone = name in observations.gone
        if instance.state is InstanceState.FAILED:
            answers = observations.reported - observations.unreachable
            if gone or name not in answers:
                return None
            return bring_back(configuration, name, "answers again", None)
        if gone:
            return mark_failed(configuration, name, "not in the platform's list")
        if lost and instance.state is not InstanceState.REBOOTING:
            return mark_failed(configuration, name, "does not answer its home")
        return None

    def _plan_progress(
        self, configuration: Configuration, observations: FleetObservations, now: float
    ) -> list[Change]:
        changes = []
        for name in sorted(observations.drained):
            instance = configuration.instance(name)
            if instance is None or instance.state is not InstanceState.DRAINING:
                continue
            if instance.cause is MoveCause.MOVE:
                changes.append(finish_move(configuration, name, now))
            elif instance.cause is MoveCause.MAINTENANCE:
                changes.append(begin_reboot(configuration, name))
        for name in sorted(observations.rebooted):
            instance = configuration.instance(name)
            if instance and instance.state is InstanceState.REBOOTING:
                changes.append(bring_back(configuration, name, "maintained", now))
        return changes

    def _plan_moves(
        self, configuration: Configuration, observations: FleetObservations, now: float
    ) -> list[Change]:
        changes = []
        for move in self._moves.plan(configuration, observations, now):
            change = self._try_take_out(configuration, move)
            if change is not None:
                changes.append(change)
        return changes

    def _try_take_out(self, configuration: Configuration, move: Move) -> Change | None:
        try:
            return take_out(
                configuration, move.instance, MoveCause.MOVE, move.target, move.reason
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
                changes.append(_pause(configuration, name, wave))
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
                change = take_out(
                    configuration, name, MoveCause.MAINTENANCE, None, reason
                )
            except RefusalError as error:
                self._metrics.count("maintenance_refused", error.kind.value)
                continue
            changes.append(change)
        return changes


def _suspects(
    configuration: Configuration, observations: FleetObservations
) -> set[str]:
    unavailable = {
        name
        for pool in configuration.names(RecordKind.BUDGET)
        for name in configuration.budget(pool).unavailable
    }
    return unavailable | observations.unreachable | observations.gone


def _pause(configuration: Configuration, name: str, wave: Maintenance) -> Change:
    key = (RecordKind.MAINTENANCE, name)
    reason = f"maintenance {name} paused: {wave.failure_limit} or more failures"
    return Change(
        writes={key: wave.model_copy(update={"paused": True})},
        conditions={key: configuration.row_revision(*key)},
        reason=reason,
        subject=name,
    )


def _drop_overlaps(changes: list[Change]) -> list[Change]:
    written: set[tuple[RecordKind, str]] = set()
    kept = []
    for change in changes:
        if written.isdisjoint(change.writes):
            kept.append(change)
            written.update(change.writes)
    return kept
