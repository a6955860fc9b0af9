"""Property test: a fresh configuration contains all changes older than the limit.

Guards against withdrawn keys that an instance keeps accepting, because lost or delayed
messages and new seat holders make its outdated configuration count as fresh.
"""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from jujubebarrow.clocks.manual_clocks import ManualClock
from jujubebarrow.configurations.freshness import Attestation, FreshnessLease

LIMIT_SECONDS = 6.0
INSTANCE_COUNT = 4
FIRST_HOLDER_COUNT = 2
INSTANCE_INDEX = st.integers(0, INSTANCE_COUNT - 1)


class SimulatedInstance:
    """Simulated instance with or without a seat.

    `unacknowledged` contains the other seat holders that have not acknowledged the
    instance's seat yet; None for an instance without a seat.
    """

    def __init__(self, name: str, clock: ManualClock):
        self.name = name
        self.lease = FreshnessLease(clock, LIMIT_SECONDS)
        self.revision = 0
        self.pending = 0
        self.holders: set[str] = set()
        self.unacknowledged: set[str] | None = None

    @property
    def can_write(self) -> bool:
        return self.unacknowledged is not None and not self.unacknowledged


class FreshnessMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.instances = {
            str(number): SimulatedInstance(str(number), self.clock)
            for number in range(INSTANCE_COUNT)
        }
        self.seats: set[str] = set()
        self.accepted: list[tuple[float, int]] = []
        self.revision = 0
        self.writes: list[tuple[SimulatedInstance, int]] = []
        self.reads: list[tuple[SimulatedInstance, float, int]] = []
        self.pings: list[tuple[SimulatedInstance, SimulatedInstance, float, bool]] = []
        self.pongs: list[
            tuple[SimulatedInstance, SimulatedInstance, Attestation, bool]
        ] = []
        # Two instances hold seats from the start; the others may claim seats later.
        for index in range(FIRST_HOLDER_COUNT):
            self.claim_seat(index)
        for index in range(FIRST_HOLDER_COUNT):
            self.exchange(index)

    @rule(index=INSTANCE_INDEX)
    def claim_seat(self, index: int) -> None:
        instance = self.instances[str(index)]
        if instance.unacknowledged is None:
            self.seats.add(instance.name)
            instance.unacknowledged = self.seats - {instance.name}
            self._set_holders(instance)

    def _set_holders(self, instance: SimulatedInstance) -> None:
        instance.holders |= self.seats - {instance.name}
        self._update_lease(instance)

    def _update_lease(self, instance: SimulatedInstance) -> None:
        holds_seat = instance.unacknowledged is not None
        instance.lease.set_seat_holders(frozenset(instance.holders), holds_seat)

    @rule(index=INSTANCE_INDEX)
    def start_read(self, index: int) -> None:
        instance = self.instances[str(index)]
        self.reads.append((instance, self.clock.monotonic(), self.revision))

    @precondition(lambda self: self.reads)
    @rule(data=st.data(), lost=st.booleans())
    def complete_read(self, data, lost: bool) -> None:
        entry = data.draw(st.sampled_from(self.reads))
        self.reads.remove(entry)
        instance, sent_at, revision = entry
        if not lost:
            instance.revision = max(instance.revision, revision)
            instance.lease.renew(sent_at)
            self._set_holders(instance)

    @rule(index=INSTANCE_INDEX)
    def write(self, index: int) -> None:
        """Commit a change at the platform; the response is still in flight."""
        instance = self.instances[str(index)]
        if instance.can_write:
            self.revision += 1
            instance.pending += 1
            self.writes.append((instance, self.revision))

    @precondition(lambda self: self.writes)
    @rule(data=st.data())
    def confirm_write(self, data) -> None:
        entry = data.draw(st.sampled_from(self.writes))
        self.writes.remove(entry)
        instance, revision = entry
        instance.revision = max(instance.revision, revision)
        instance.pending -= 1
        self.accepted.append((self.clock.monotonic(), revision))

    @rule(sender_index=INSTANCE_INDEX, peer_index=INSTANCE_INDEX)
    def ping(self, sender_index: int, peer_index: int) -> None:
        if sender_index != peer_index:
            instance = self.instances[str(sender_index)]
            has_seat = instance.unacknowledged is not None
            sent_at = self.clock.monotonic()
            self.pings.append(
                (instance, self.instances[str(peer_index)], sent_at, has_seat)
            )

    @precondition(lambda self: self.pings)
    @rule(data=st.data(), lost=st.booleans())
    def deliver_ping(self, data, lost: bool) -> None:
        entry = data.draw(st.sampled_from(self.pings))
        self.pings.remove(entry)
        if not lost:
            self._reply(entry)

    def _reply(
        self, entry: tuple[SimulatedInstance, SimulatedInstance, float, bool]
    ) -> None:
        sender, peer, sent_at, has_seat = entry
        if has_seat:
            self._record_holder(peer, sender.name)
        age = peer.lease.age(peer.revision)
        attestation = Attestation(sent_at, peer.revision, age, peer.pending > 0)
        self.pongs.append((sender, peer, attestation, has_seat))

    @rule(index=INSTANCE_INDEX)
    def exchange(self, index: int) -> None:
        """Exchange heartbeats with all other instances without delay."""
        for peer_index in range(INSTANCE_COUNT):
            self.ping(index, peer_index)
            if peer_index != index:
                self._reply(self.pings.pop())
                self._apply_pong(self.pongs.pop())

    def _record_holder(self, instance: SimulatedInstance, holder: str) -> None:
        instance.holders.add(holder)
        self._update_lease(instance)

    @precondition(lambda self: self.pongs)
    @rule(data=st.data(), lost=st.booleans())
    def deliver_pong(self, data, lost: bool) -> None:
        entry = data.draw(st.sampled_from(self.pongs))
        self.pongs.remove(entry)
        if not lost:
            self._apply_pong(entry)

    def _apply_pong(
        self, entry: tuple[SimulatedInstance, SimulatedInstance, Attestation, bool]
    ) -> None:
        sender, peer, attestation, has_seat = entry
        if has_seat and sender.unacknowledged is not None:
            sender.unacknowledged.discard(peer.name)
        sender.lease.record_attestation(peer.name, attestation, sender.revision)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 7.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @invariant()
    def check_fresh_is_complete(self) -> None:
        now = self.clock.monotonic()
        for instance in self.instances.values():
            if not instance.lease.is_fresh(instance.revision):
                continue
            missing = [
                (time, revision)
                for time, revision in self.accepted
                if time < now - LIMIT_SECONDS and revision > instance.revision
            ]
            assert not missing, (instance.name, missing, now)


class FreshnessProof(FreshnessMachine.TestCase):  # type: ignore[name-defined,misc]
    pass


class AttestationTest(unittest.TestCase):
    """Guards the rules for which peers may attest to an instance's configuration.

    A new seat holder waits for the other holders only. An instance without a seat
    learns of changes by the new holder late, and must not count as fresh because the
    previous holders, which are cut off from the platform, attest to its configuration.
    """

    def exchange_heartbeat(
        self, machine: FreshnessMachine, sender_index: int, peer_index: int
    ) -> None:
        machine.ping(sender_index, peer_index)
        machine._reply(machine.pings.pop())
        machine._apply_pong(machine.pongs.pop())

    def test_attestations_by_cut_off_holders_do_not_count_without_a_seat(self) -> None:
        machine = FreshnessMachine()
        machine.start_read(3)
        instance, sent_at, _ = machine.reads.pop()
        instance.lease.renew(sent_at)
        machine._set_holders(instance)
        machine.claim_seat(2)
        for holder in range(FIRST_HOLDER_COUNT):
            self.exchange_heartbeat(machine, 2, holder)
        machine.write(2)
        writer, revision = machine.writes.pop()
        writer.revision, writer.pending = revision, 0
        machine.accepted.append((machine.clock.monotonic(), revision))
        machine.advance(LIMIT_SECONDS + 1)
        for holder in range(FIRST_HOLDER_COUNT):
            self.exchange_heartbeat(machine, 3, holder)
        machine.check_fresh_is_complete()

    def test_sole_seat_holder_is_fresh_without_attestations(self) -> None:
        clock = ManualClock()
        lease = FreshnessLease(clock, LIMIT_SECONDS)
        clock.advance(100.0)
        lease.set_seat_holders(frozenset(), True)
        self.assertTrue(lease.is_fresh(0))
        lease.set_seat_holders(frozenset(), False)
        self.assertFalse(lease.is_fresh(0))
