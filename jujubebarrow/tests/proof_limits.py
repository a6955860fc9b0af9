"""Upper limits over pauses, losses, deaths, late messages and changed limits."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.clocks.manual_clocks import ManualClock
from jujubebarrow.configurations.configurations import Configuration, row_key
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.team_records import Team
from jujubebarrow.identifiers import TeamId
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.limits.ledgers import LimitLedger
from jujubebarrow.limits.loans import Loan
from jujubebarrow.limits.permits import Permit
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.rows import Row

TEAM = TeamId("tuna")
HOSTS = 3
SEATS = 4
ERROR = 0.2
LEASE = 10.0
FRESHNESS = 3.0
QUARANTINE = LEASE + 2 * ERROR
HOST = st.integers(0, HOSTS - 1)


class SkewedClock(Clock):
    def __init__(self, clock: ManualClock, error: float):
        self._clock = clock
        self._error = error

    def monotonic(self) -> float:
        return self._clock.monotonic()

    def wall(self) -> float:
        return self._clock.wall() + self._error


class Host:
    def __init__(self, clock: ManualClock, number: int):
        self.clock = SkewedClock(clock, (-ERROR / 2, 0.0, ERROR / 2)[number])
        self.number = number
        self.seats = [number] + ([SEATS - 1] if number == 0 else [])
        self.paused = False
        self.starts = 0
        self.renew(0.0, ManualClock(), 8)

    def renew(self, quarantine: float, clock: ManualClock, limit: int) -> None:
        """A new process on this host."""
        self.starts += 1
        metrics = MetricsRegistry()
        monitor = InvariantMonitor(metrics)
        self.configuration = Configuration(metrics, monitor)
        self.revision = 0
        self.ledger = LimitLedger(
            self.configuration, self.clock, monitor, SEATS, ERROR, f"{self.number}"
        )
        self.learned = float("inf")
        self.learn(limit)
        for seat in self.seats:
            self.ledger.add_seat(seat, self.clock.wall() + quarantine)

    def learn(self, limit: int) -> None:
        self.revision += 1
        value = Team(limit=limit).model_dump(mode="json")
        key = row_key(RecordKind.TEAM, TEAM)
        self.configuration.apply([Row(key=key, revision=self.revision, value=value)])
        self.known = limit


class Task:
    def __init__(self, host: Host, permit: Permit, lease_end: float):
        self.host = host
        self.process = host.starts
        self.permit = permit
        self.lease_end = lease_end
        self.running = False
        self.gone = False


class LimitMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.time = ManualClock()
        self.limit = 8
        self.history = [(self.time.wall(), 8)]
        self.hosts = [Host(self.time, number) for number in range(HOSTS)]
        self.tasks: list[Task] = []
        self.loans: list[tuple[Host, int, Host, int, Loan]] = []
        self.returns: list[tuple[Host, int, Loan]] = []

    def now(self) -> float:
        return self.time.wall()

    @rule(number=HOST, length=st.floats(0.5, LEASE))
    def start(self, number: int, length: float) -> None:
        host = self.hosts[number]
        stale = host.known != self.limit
        changed = self.history[-1][0]
        if host.paused or (stale and self.now() - changed > FRESHNESS):
            return
        lease_end = host.clock.wall() + length
        permit = host.ledger.acquire(TEAM, lease_end)
        if permit is not None:
            self.tasks.append(Task(host, permit, lease_end))

    @precondition(lambda self: self.tasks)
    @rule(data=st.data())
    def arrive(self, data) -> None:
        """A task reaches its worker, perhaps long after it was sent."""
        task = data.draw(st.sampled_from(self.tasks))
        if not task.gone and not task.running:
            task.running = self.now() < task.lease_end
            task.gone = not task.running

    @precondition(lambda self: self.tasks)
    @rule(data=st.data())
    def end(self, data) -> None:
        task = data.draw(st.sampled_from(self.tasks))
        if task.running and not task.host.paused:
            self._finish(task)

    def _finish(self, task: Task) -> None:
        task.running, task.gone = False, True
        self.tasks.remove(task)
        if task.process == task.host.starts:
            task.host.ledger.release(task.permit)

    @rule(lender=HOST, borrower=HOST, wanted=st.integers(1, 4))
    def ask(self, lender: int, borrower: int, wanted: int) -> None:
        one, other = self.hosts[lender], self.hosts[borrower]
        if one is other or one.paused or other.paused:
            return
        loan = one.ledger.lend(TEAM, wanted, str(borrower), LEASE)
        if loan is not None:
            copy = Loan(loan.loan, str(lender), loan.count, loan.until - ERROR)
            self.loans.append((one, one.starts, other, other.starts, copy))

    @precondition(lambda self: self.loans)
    @rule(data=st.data(), lost=st.booleans())
    def grant(self, data, lost: bool) -> None:
        entry = data.draw(st.sampled_from(self.loans))
        _, _, borrower, starts, loan = entry
        if borrower.paused:
            return
        self.loans.remove(entry)
        if not lost and borrower.starts == starts:
            borrower.ledger.take(TEAM, loan)

    @rule(number=HOST)
    def give_back(self, number: int) -> None:
        host = self.hosts[number]
        if host.paused:
            return
        for _, loan in host.ledger.return_idle():
            lender = self.hosts[int(loan.peer)]
            self.returns.append((lender, lender.starts, loan))

    @precondition(lambda self: self.returns)
    @rule(data=st.data(), lost=st.booleans())
    def restore(self, data, lost: bool) -> None:
        entry = data.draw(st.sampled_from(self.returns))
        lender, starts, loan = entry
        self.returns.remove(entry)
        if not lost and lender.starts == starts:
            lender.ledger.restore(TEAM, loan.loan, loan.count)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 11.0]))
    def advance(self, seconds: float) -> None:
        self.time.advance(seconds)
        for task in list(self.tasks):
            if task.running and self.now() >= task.lease_end:
                # The worker stops it; its host learns that by the clock only.
                task.running, task.gone = False, True
            lapsed = task.host.clock.wall() >= task.lease_end + ERROR
            if lapsed and not task.host.paused:
                self._finish(task)

    @rule(number=HOST)
    def pause(self, number: int) -> None:
        self.hosts[number].paused = not self.hosts[number].paused

    @rule(number=HOST)
    def restart(self, number: int) -> None:
        host = self.hosts[number]
        host.paused = False
        host.renew(QUARANTINE, self.time, self.limit)

    @rule(limit=st.integers(0, 12))
    def change_limit(self, limit: int) -> None:
        self.limit = limit
        self.history.append((self.now(), limit))

    @rule(number=HOST)
    def learn(self, number: int) -> None:
        host = self.hosts[number]
        if not host.paused and host.known != self.limit:
            host.learn(self.limit)

    @invariant()
    def limit_holds(self) -> None:
        running = sum(task.running for task in self.tasks)
        since = self.now() - LEASE - FRESHNESS - ERROR
        known = [limit for time, limit in self.history if time > since]
        earlier = [limit for time, limit in self.history if time <= since]
        assert running <= max(known + earlier[-1:]), (running, self.history)

    @invariant()
    def parts_add_up(self) -> None:
        total = sum(host.ledger.usable(TEAM) for host in self.hosts)
        recent = [limit for _, limit in self.history]
        assert total <= max(recent), (total, recent)


class LimitProof(LimitMachine.TestCase):  # type: ignore[name-defined,misc]
    pass


class LimitUseTest(unittest.TestCase):
    def test_one_host_can_use_the_whole_limit(self) -> None:
        time = ManualClock()
        hosts = [Host(time, number) for number in range(HOSTS)]
        borrower = hosts[0]
        for lender in hosts[1:]:
            loan = lender.ledger.lend(TEAM, 8, "0", LEASE)
            assert loan is not None
            borrower.ledger.take(
                TEAM, Loan(loan.loan, str(lender.number), loan.count, loan.until)
            )
        permits = [borrower.ledger.acquire(TEAM, time.wall() + 1) for _ in range(9)]
        self.assertEqual(sum(permit is not None for permit in permits), 8)
