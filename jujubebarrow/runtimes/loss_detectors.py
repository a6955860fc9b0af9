"""Finds lost instances before their leases have expired."""

from asyncio import gather
from collections.abc import Callable
from dataclasses import replace
from uuid import uuid4

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.identifiers import InstanceId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import InstanceRow
from jujubebarrow.ownerships.peer_probes import PeerProbe, ProbeOutcome
from jujubebarrow.pauses import Pause
from jujubebarrow.runtimes.heartbeat_watchers import (
    find_latest_key,
    get_revision,
    make_heartbeat,
    read_heartbeats,
)
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

OVERDUE_SECONDS = 0.6
"""Silence from which an instance is probed: the period of the heartbeats, and the time
that one takes to be stored."""
PROBES_COUNT = 2
"""Probes without a good answer after which an instance counts as lost."""


class LossDetector(BackgroundLoop):
    """Revokes the leases of instances that are silent and do not answer.

    A revocation is a write of the instance's heartbeat under the condition that the
    instance has not renewed it since. A revoked lease cannot be renewed unnoticed: the
    next renewal finds another revision. For the same reason the row of the other
    partition is written first. The lease still ends only when it would have ended
    without the revocation, and until then the instance may act under it.

    Args:
        instance: Id of this instance.
        store: Store that holds the heartbeats.
        observer: Tracks the heartbeats of the other instances.
        probe: Asks the other instances directly.
        may_revoke: Returns whether this instance reaches the store well enough to judge
            the others.
        on_revoked: Called when this instance has revoked a lease.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        instance: InstanceId,
        store: Store,
        observer: LeaseObserver,
        probe: PeerProbe,
        may_revoke: Callable[[], bool],
        on_revoked: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        super().__init__()
        self._instance = instance
        self._store = store
        self._observer = observer
        self._probe = probe
        self._may_revoke = may_revoke
        self._on_revoked = on_revoked
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._pause = Pause()

    def check(self) -> None:
        """Look for overdue heartbeats, since the heartbeats have just been read."""
        if self._may_revoke() and self._list_overdue():
            self._pause.interrupt()

    async def _run(self) -> None:
        while True:
            await self._pause.sleep()
            await gather(*(self._examine(row) for row in self._list_overdue()))

    def _list_overdue(self) -> list[InstanceRow]:
        now = self._clock.monotonic()
        return [
            row
            for row in self._observer.list_alive(now)
            if row.instance != self._instance
            and row.address
            and not row.is_stopping
            and self._observer.seconds_since_heartbeat(row.instance, now)
            > OVERDUE_SECONDS
        ]

    async def _examine(self, row: InstanceRow) -> None:
        """Probe an instance and revoke its lease if it is lost."""
        for _ in range(PROBES_COUNT):
            outcome = await self._probe.probe(row)
            self._metrics.count("peer_probe", outcome.value)
            if outcome is ProbeOutcome.RENEWS:
                return
            if outcome is ProbeOutcome.GONE:
                break
        if self._may_revoke() and self._observer.find(row.instance) == row:
            await self._revoke(row, outcome)

    async def _revoke(self, row: InstanceRow, outcome: ProbeOutcome) -> None:
        revoked = replace(row, is_revoked=True)
        try:
            rows = await read_heartbeats(self._store, row.instance)
            key = find_latest_key(rows)
            [other_key] = rows.keys() - {key}
            if get_revision(rows[key]) != row.revision:
                self._metrics.count("lease_unrevoked", "renewed")
                return
            blocked = replace(row, is_blocked=True)
            await self._write(other_key, get_revision(rows[other_key]), blocked)
            revision = await self._write(key, row.revision, revoked)
        except (StoreError, TransactionConflictError) as error:
            # The instance has renewed its lease, or another one has revoked it.
            self._metrics.count("lease_unrevoked", type(error).__name__)
            return
        now = self._clock.monotonic()
        self._observer.record_revocation(replace(revoked, revision=revision))
        self._log.write(
            "lease_revoked",
            instance=row.instance,
            probe=outcome.value,
            silence=round(self._observer.seconds_since_heartbeat(row.instance, now), 2),
        )
        self._on_revoked()

    async def _write(self, key: str, revision: int, heartbeat: InstanceRow) -> int:
        return await self._store.commit(
            Transaction(
                conditions={key: revision},
                writes={key: make_heartbeat(heartbeat)},
                nonce=uuid4().hex,
            )
        )
