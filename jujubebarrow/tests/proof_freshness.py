"""A configuration that counts as fresh lacks no change older than the limit."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from jujubebarrow.clocks.manual_clocks import ManualClock
from jujubebarrow.configurations.freshness import Attestation, FreshnessLease

LIMIT = 6.0
NODES = 4
FIRST_HOLDERS = 2
NODE = st.integers(0, NODES - 1)


class Member:
    """Instance that may or may not hold a seat."""

    def __init__(self, name: str, clock: ManualClock):
        self.name = name
        self.lease = FreshnessLease(clock, LIMIT)
        self.revision = 0
        self.pending = 0
        self.holders: set[str] = set()
        self.awaited: set[str] | None = None

    @property
    def may_write(self) -> bool:
        return self.awaited is not None and not self.awaited


class FreshnessMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.members = {str(n): Member(str(n), self.clock) for n in range(NODES)}
        self.seats: set[str] = set()
        self.accepted: list[tuple[float, int]] = []
        self.revision = 0
        self.writes: list[tuple[Member, int]] = []
        self.reads: list[tuple[Member, float, int]] = []
        self.pings: list[tuple[Member, Member, float, bool]] = []
        self.pongs: list[tuple[Member, Member, Attestation, bool]] = []
        # Two holders stand; the others may join at any time.
        for node in range(FIRST_HOLDERS):
            self.claim_seat(node)
        for node in range(FIRST_HOLDERS):
            self.exchange(node)

    @rule(node=NODE)
    def claim_seat(self, node: int) -> None:
        member = self.members[str(node)]
        if member.awaited is None:
            self.seats.add(member.name)
            member.awaited = self.seats - {member.name}
            self._set_holders(member)

    def _set_holders(self, member: Member) -> None:
        member.holders |= self.seats - {member.name}
        self._tell_holders(member)

    def _tell_holders(self, member: Member) -> None:
        holds = member.awaited is not None
        member.lease.set_holders(frozenset(member.holders), holds)

    @rule(node=NODE)
    def ask_platform(self, node: int) -> None:
        member = self.members[str(node)]
        self.reads.append((member, self.clock.monotonic(), self.revision))

    @precondition(lambda self: self.reads)
    @rule(data=st.data(), lost=st.booleans())
    def answer_read(self, data, lost: bool) -> None:
        entry = data.draw(st.sampled_from(self.reads))
        self.reads.remove(entry)
        member, asked, revision = entry
        if not lost:
            member.revision = max(member.revision, revision)
            member.lease.renew(asked)
            self._set_holders(member)

    @rule(node=NODE)
    def write(self, node: int) -> None:
        """The platform commits a change; its answer is on the way."""
        member = self.members[str(node)]
        if member.may_write:
            self.revision += 1
            member.pending += 1
            self.writes.append((member, self.revision))

    @precondition(lambda self: self.writes)
    @rule(data=st.data())
    def accept(self, data) -> None:
        entry = data.draw(st.sampled_from(self.writes))
        self.writes.remove(entry)
        member, revision = entry
        member.revision = max(member.revision, revision)
        member.pending -= 1
        self.accepted.append((self.clock.monotonic(), revision))

    @rule(one=NODE, other=NODE)
    def ping(self, one: int, other: int) -> None:
        if one != other:
            member = self.members[str(one)]
            seated = member.awaited is not None
            asked = self.clock.monotonic()
            self.pings.append((member, self.members[str(other)], asked, seated))

    @precondition(lambda self: self.pings)
    @rule(data=st.data(), lost=st.booleans())
    def answer_ping(self, data, lost: bool) -> None:
        entry = data.draw(st.sampled_from(self.pings))
        self.pings.remove(entry)
        if not lost:
            self._answer(entry)

    def _answer(self, entry: tuple[Member, Member, float, bool]) -> None:
        asker, peer, asked, seated = entry
        if seated:
            self._note_holder(peer, asker.name)
        age = peer.lease.age(peer.revision)
        attestation = Attestation(asked, peer.revision, age, peer.pending > 0)
        self.pongs.append((asker, peer, attestation, seated))

    @rule(node=NODE)
    def exchange(self, node: int) -> None:
        """Ask all other members and take their answers at once."""
        for other in range(NODES):
            self.ping(node, other)
            if other != node:
                self._answer(self.pings.pop())
                self._take(self.pongs.pop())

    def _note_holder(self, member: Member, holder: str) -> None:
        member.holders.add(holder)
        self._tell_holders(member)

    @precondition(lambda self: self.pongs)
    @rule(data=st.data(), lost=st.booleans())
    def take_pong(self, data, lost: bool) -> None:
        entry = data.draw(st.sampled_from(self.pongs))
        self.pongs.remove(entry)
        if not lost:
            self._take(entry)

    def _take(self, entry: tuple[Member, Member, Attestation, bool]) -> None:
        asker, peer, attestation, seated = entry
        if seated and asker.awaited is not None:
            asker.awaited.discard(peer.name)
        asker.lease.attest(peer.name, attestation, asker.revision)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 7.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @invariant()
    def fresh_means_complete(self) -> None:
        now = self.clock.monotonic()
        for member in self.members.values():
            if not member.lease.is_fresh(member.revision):
                continue
            missed = [
                (time, revision)
                for time, revision in self.accepted
                if time < now - LIMIT and revision > member.revision
            ]
            assert not missed, (member.name, missed, now)


class FreshnessProof(FreshnessMachine.TestCase):  # type: ignore[name-defined,misc]
    pass


class StrangerTest(unittest.TestCase):
    """An instance without a seat, which new holders need not ask."""

    def ask(self, machine: FreshnessMachine, one: int, other: int) -> None:
        machine.ping(one, other)
        machine._answer(machine.pings.pop())
        machine._take(machine.pongs.pop())

    def test_holders_that_are_cut_off_do_not_vouch_for_it(self) -> None:
        machine = FreshnessMachine()
        machine.ask_platform(3)
        member, asked, _ = machine.reads.pop()
        member.lease.renew(asked)
        machine._set_holders(member)
        machine.claim_seat(2)
        for holder in range(FIRST_HOLDERS):
            self.ask(machine, 2, holder)
        machine.write(2)
        writer, revision = machine.writes.pop()
        writer.revision, writer.pending = revision, 0
        machine.accepted.append((machine.clock.monotonic(), revision))
        machine.advance(LIMIT + 1)
        for holder in range(FIRST_HOLDERS):
            self.ask(machine, 3, holder)
        machine.fresh_means_complete()

    def test_the_only_holder_vouches_for_itself(self) -> None:
        clock = ManualClock()
        lease = FreshnessLease(clock, LIMIT)
        clock.advance(100.0)
        lease.set_holders(frozenset(), True)
        self.assertTrue(lease.is_fresh(0))
        lease.set_holders(frozenset(), False)
        self.assertFalse(lease.is_fresh(0))
