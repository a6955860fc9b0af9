"""Upstreams of one pool in one availability zone."""

from collections.abc import Collection

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.identifiers import UpstreamId
from jujubebarrow.routes.ejections import Ejection
from jujubebarrow.routes.upstream_slots import UpstreamSlots


class UpstreamSet:
    """Chooses the upstream of each task.

    Args:
        clock: Time source.
        failures: Failures in a row that eject an upstream.
        period: First ejection in seconds.
    """

    def __init__(self, clock: Clock, failures: int, period: float):
        self._clock = clock
        self._failures = failures
        self._period = period
        self._members: dict[UpstreamId, UpstreamSlots] = {}
        self._leaving: frozenset[str] = frozenset()
        self._slots: int | None = None

    @property
    def members(self) -> Collection[UpstreamSlots]:
        """All upstreams, also those that take no work."""
        return self._members.values()

    @property
    def slots(self) -> int:
        """Slots of all upstreams that take work."""
        if self._slots is None:
            self._slots = sum(
                member.instance.slots
                for member in self._members.values()
                if self.takes_work(member) and not member.ejection.ejected
            )
        return self._slots

    def _forget_slots(self) -> None:
        self._slots = None

    def update(self, instances: dict[str, Instance], leaving: frozenset[str]) -> None:
        """Take over the records of the pool's instances in this zone.

        Args:
            instances: Records by instance id.
            leaving: Instances that the platform lists as leaving.
        """
        self._leaving = leaving
        self._forget_slots()
        for name, instance in instances.items():
            member = self._members.get(UpstreamId(name))
            if member is None or member.instance.address != instance.address:
                self._members[UpstreamId(name)] = self._create(name, instance)
            else:
                member.instance = instance
        for name in set(self._members) - set(instances):
            del self._members[name]

    def _create(self, name: str, instance: Instance) -> UpstreamSlots:
        ejection = Ejection(
            self._clock, self._failures, self._period, self._forget_slots
        )
        return UpstreamSlots(UpstreamId(name), instance, ejection)

    def takes_work(self, member: UpstreamSlots) -> bool:
        """Return whether an upstream is in service."""
        if member.upstream in self._leaving:
            return False
        return member.instance.state is InstanceState.SERVING

    def choose(self, tried: Collection[UpstreamId]) -> UpstreamSlots | None:
        """Return the least loaded upstream with room, or None.

        An ejected upstream whose period is over comes first, with one trial.

        Args:
            tried: Upstreams that already refused or failed this task.
        """
        now = self._clock.monotonic()
        best: UpstreamSlots | None = None
        best_rank = (0, 0.0)
        for member in self._members.values():
            if member.upstream in tried or not self.takes_work(member):
                continue
            if not member.has_room(now):
                continue
            member_rank = (0 if member.ejection.ejected else 1, member.load)
            if best is None or member_rank < best_rank:
                best = member
                best_rank = member_rank
        return best

    def has_untried(self, tried: Collection[UpstreamId]) -> bool:
        """Return whether an upstream in service has not been tried."""
        return any(
            member.upstream not in tried and self.takes_work(member)
            for member in self._members.values()
        )
