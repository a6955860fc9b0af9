"""Property test: a team never runs more tasks than its upper limit allows.

Guards against units that two hosts use at the same time: hosts pause and restart, their
clocks differ, messages are late or lost, and the upper limit changes while tasks run
under the hosts' own quotas and under loans.
"""

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
HOST_COUNT = 3
SEAT_COUNT = 4
CLOCK_ERROR_SECONDS = 0.2
LEASE_SECONDS = 10.0
FRESHNESS_SECONDS = 3.0
QUARANTINE_SECONDS = LEASE_SECONDS + 2 * CLOCK_ERROR_SECONDS
HOST_NUMBERS = st.integers(0, HOST_COUNT - 1)


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
        self.clock = SkewedClock(
            clock, (-CLOCK_ERROR_SECONDS / 2, 0.0, CLOCK_ERROR_SECONDS / 2)[number]
        )
        self.number = number
        self.seats = [number] + ([SEAT_COUNT - 1] if number == 0 else [])
        self.is_paused = False
        self.process_number = 0
        self.start_process(0.0, ManualClock(), 8)

    def start_process(self, quarantine: float, clock: ManualClock, limit: int) -> None:
        """Start a new process on this host."""
        self.process_number += 1
        metrics = MetricsRegistry()
        monitor = InvariantMonitor(metrics)
        self.configuration = Configuration(metrics, monitor)
        self.revision = 0
        self.ledger = LimitLedger(
            self.configuration,
            self.clock,
            monitor,
            SEAT_COUNT,
            CLOCK_ERROR_SECONDS,
            f"{self.number}",
        )
        self.learned = float("inf")
        self.apply_limit(limit)
        for seat in self.seats:
            self.ledger.add_seat(seat, self.clock.wall() + quarantine)

    def apply_limit(self, limit: int) -> None:
        self.revision += 1
        value = Team(limit=limit).model_dump(mode="json")
        key = row_key(RecordKind.TEAM, TEAM)
        self.configuration.apply([Row(key=key, revision=self.revision, value=value)])
        self.known_limit = limit


class Task:
    def __init__(self, host: Host, permit: Permit, lease_end: float):
        self.host = host
        self.started_by_process = host.process_number
        self.permit = permit
        self.lease_end = lease_end
        self.is_running = False
        self.has_ended = False


class LimitMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.time = ManualClock()
        self.limit = 8
        self.limit_history = [(self.time.wall(), 8)]
        self.hosts = [Host(self.time, number) for number in range(HOST_COUNT)]
        self.tasks: list[Task] = []
        self.loans: list[tuple[Host, int, Host, int, Loan]] = []
        self.returns: list[tuple[Host, int, Loan]] = []

    def now(self) -> float:
        return self.time.wall()

    @rule(number=HOST_NUMBERS, length=st.floats(0.5, LEASE_SECONDS))
    def start_task(self, number: int, length: float) -> None:
        host = self.hosts[number]
        is_stale = host.known_limit != self.limit
        changed_at = self.limit_history[-1][0]
        if host.is_paused or (is_stale and self.now() - changed_at > FRESHNESS_SECONDS):
            return
        lease_end = host.clock.wall() + length
        permit = host.ledger.acquire(TEAM, lease_end)
        if permit is not None:
            self.tasks.append(Task(host, permit, lease_end))

    @precondition(lambda self: self.tasks)
    @rule(data=st.data())
    def deliver_task(self, data) -> None:
        """Deliver a start order, possibly after the task's lease has expired."""
        task = data.draw(st.sampled_from(self.tasks))
        if not task.has_ended and not task.is_running:
            task.is_running = self.now() < task.lease_end
            task.has_ended = not task.is_running

    @precondition(lambda self: self.tasks)
    @rule(data=st.data())
    def end_task(self, data) -> None:
        task = data.draw(st.sampled_from(self.tasks))
        if task.is_running and not task.host.is_paused:
            self._release_task(task)

    def _release_task(self, task: Task) -> None:
        task.is_running, task.has_ended = False, True
        self.tasks.remove(task)
        if task.started_by_process == task.host.process_number:
            task.host.ledger.release(task.permit)

    @rule(lender=HOST_NUMBERS, borrower=HOST_NUMBERS, requested=st.integers(1, 4))
    def request_loan(self, lender: int, borrower: int, requested: int) -> None:
        lending, borrowing = self.hosts[lender], self.hosts[borrower]
        if lending is borrowing or lending.is_paused or borrowing.is_paused:
            return
        loan = lending.ledger.lend(TEAM, requested, str(borrower), LEASE_SECONDS)
        if loan is not None:
            received = Loan(
                loan.loan_id, str(lender), loan.count, loan.until - CLOCK_ERROR_SECONDS
            )
            self.loans.append(
                (
                    lending,
                    lending.process_number,
                    borrowing,
                    borrowing.process_number,
                    received,
                )
            )

    @precondition(lambda self: self.loans)
    @rule(data=st.data(), lost=st.booleans())
    def deliver_loan(self, data, lost: bool) -> None:
        entry = data.draw(st.sampled_from(self.loans))
        _, _, borrower, process_number, loan = entry
        if borrower.is_paused:
            return
        self.loans.remove(entry)
        if not lost and borrower.process_number == process_number:
            borrower.ledger.add_borrowed(TEAM, loan)

    @rule(number=HOST_NUMBERS)
    def return_idle_units(self, number: int) -> None:
        host = self.hosts[number]
        if host.is_paused:
            return
        for _, loan in host.ledger.return_idle():
            lender = self.hosts[int(loan.peer)]
            self.returns.append((lender, lender.process_number, loan))

    @precondition(lambda self: self.returns)
    @rule(data=st.data(), lost=st.booleans())
    def deliver_returned_units(self, data, lost: bool) -> None:
        entry = data.draw(st.sampled_from(self.returns))
        lender, process_number, loan = entry
        self.returns.remove(entry)
        if not lost and lender.process_number == process_number:
            lender.ledger.add_returned(TEAM, loan.loan_id, loan.count)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 11.0]))
    def advance(self, seconds: float) -> None:
        self.time.advance(seconds)
        for task in list(self.tasks):
            if task.is_running and self.now() >= task.lease_end:
                # The worker stops the task without a report to the host. The host
                # releases the unit once the lease has expired on the host's clock.
                task.is_running, task.has_ended = False, True
            has_expired = task.host.clock.wall() >= task.lease_end + CLOCK_ERROR_SECONDS
            if has_expired and not task.host.is_paused:
                self._release_task(task)

    @rule(number=HOST_NUMBERS)
    def pause(self, number: int) -> None:
        self.hosts[number].is_paused = not self.hosts[number].is_paused

    @rule(number=HOST_NUMBERS)
    def restart(self, number: int) -> None:
        host = self.hosts[number]
        host.is_paused = False
        host.start_process(QUARANTINE_SECONDS, self.time, self.limit)

    @rule(limit=st.integers(0, 12))
    def change_limit(self, limit: int) -> None:
        self.limit = limit
        self.limit_history.append((self.now(), limit))

    @rule(number=HOST_NUMBERS)
    def apply_limit(self, number: int) -> None:
        host = self.hosts[number]
        if not host.is_paused and host.known_limit != self.limit:
            host.apply_limit(self.limit)

    @invariant()
    def running_tasks_stay_within_limit(self) -> None:
        running = sum(task.is_running for task in self.tasks)
        since = self.now() - LEASE_SECONDS - FRESHNESS_SECONDS - CLOCK_ERROR_SECONDS
        recent = [limit for time, limit in self.limit_history if time > since]
        earlier = [limit for time, limit in self.limit_history if time <= since]
        assert running <= max(recent + earlier[-1:]), (running, self.limit_history)

    @invariant()
    def usable_units_stay_within_limit(self) -> None:
        total = sum(host.ledger.usable(TEAM) for host in self.hosts)
        recent = [limit for _, limit in self.limit_history]
        assert total <= max(recent), (total, recent)


class LimitProof(LimitMachine.TestCase):  # type: ignore[name-defined,misc]
    pass


class LimitUseTest(unittest.TestCase):
    def test_one_host_can_use_the_whole_limit(self) -> None:
        time = ManualClock()
        hosts = [Host(time, number) for number in range(HOST_COUNT)]
        borrower = hosts[0]
        for lender in hosts[1:]:
            loan = lender.ledger.lend(TEAM, 8, "0", LEASE_SECONDS)
            assert loan is not None
            borrower.ledger.add_borrowed(
                TEAM, Loan(loan.loan_id, str(lender.number), loan.count, loan.until)
            )
        permits = [borrower.ledger.acquire(TEAM, time.wall() + 1) for _ in range(9)]
        self.assertEqual(sum(permit is not None for permit in permits), 8)
