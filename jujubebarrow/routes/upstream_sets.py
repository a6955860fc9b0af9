"""Upstreams of one pool in one availability zone."""

from collections.abc import Collection

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.identifiers import UpstreamId
from jujubebarrow.routes.ejections import Ejection
from jujubebarrow.routes.upstream_slots import UpstreamSlots


class UpstreamSet:
    """Chooses the upstream of each request.

    Args:
        clock: Clock for ejections and blocked upstreams.
        failure_limit: Number of consecutive failures that eject an upstream.
        period: Length of the first ejection in seconds.
    """

    def __init__(self, clock: Clock, failure_limit: int, period: float):
        self._clock = clock
        self._failure_limit = failure_limit
        self._period = period
        self._members: dict[UpstreamId, UpstreamSlots] = {}
        self._leaving: frozenset[str] = frozenset()
        self._slots: int | None = None

    @property
    def members(self) -> Collection[UpstreamSlots]:
        """All upstreams, including those out of service."""
        return self._members.values()

    @property
    def slots(self) -> int:
        """Number of slots of the upstreams that are in service and not ejected."""
        if self._slots is None:
            self._slots = sum(
                member.instance.slots
                for member in self._members.values()
                if self.is_in_service(member) and not member.ejection.is_ejected
            )
        return self._slots

    def _invalidate_slots(self) -> None:
        self._slots = None

    def update(self, instances: dict[str, Instance], leaving: frozenset[str]) -> None:
        """Apply the records of the pool's instances in this zone.

        Args:
            instances: Records by instance id.
            leaving: Ids of the instances that the platform lists as leaving.
        """
        self._leaving = leaving
        self._invalidate_slots()
        for name, instance in instances.items():
            member = self._members.get(UpstreamId(name))
            if member is None or member.instance.address != instance.address:
                self._members[UpstreamId(name)] = self._create_slots(name, instance)
            else:
                member.instance = instance
        for name in set(self._members) - set(instances):
            del self._members[name]

    def _create_slots(self, name: str, instance: Instance) -> UpstreamSlots:
        ejection = Ejection(
            self._clock, self._failure_limit, self._period, self._invalidate_slots
        )
        return UpstreamSlots(UpstreamId(name), instance, ejection)

    def is_in_service(self, member: UpstreamSlots) -> bool:
        """Return whether an upstream is serving and not listed as leaving."""
        if member.upstream in self._leaving:
            return False
        return member.instance.state is InstanceState.SERVING

    def choose(self, excluded: Collection[UpstreamId]) -> UpstreamSlots | None:
        """Return the least loaded upstream with free capacity, or None.

        An ejected upstream whose ejection period has ended comes first and gets one
        trial request.

        Args:
            excluded: Upstreams that must not get the request, because an earlier
                attempt failed there.
        """
        now = self._clock.monotonic()
        best: UpstreamSlots | None = None
        best_rank = (0, 0.0)
        for member in self._members.values():
            if member.upstream in excluded or not self.is_in_service(member):
                continue
            if not member.has_free_capacity(now):
                continue
            member_rank = (0 if member.ejection.is_ejected else 1, member.load)
            if best is None or member_rank < best_rank:
                best = member
                best_rank = member_rank
        return best

    def has_alternative(self, excluded: Collection[UpstreamId]) -> bool:
        """Return whether an upstream is in service that is not excluded."""
        return any(
            member.upstream not in excluded and self.is_in_service(member)
            for member in self._members.values()
        )
