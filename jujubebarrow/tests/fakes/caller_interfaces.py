"""Callers' interface of one instance on the platform, with a scripted store."""

import asyncio
from types import SimpleNamespace
from typing import Any

from msgspec import json
from tornado.httputil import HTTPHeaders, HTTPServerRequest

from jujubebarrow.clocks.boot_clocks import BootClock
from jujubebarrow.errors.exceptions import TransactionConflictError
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.identifiers import JobId, PoolId, QueueId, TeamId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.callers import CallerHandler
from jujubebarrow.runtimes.job_intakes import JobIntake
from jujubebarrow.transports.http_servers import ServerResponse
from jujubebarrow.workloads.job_phases import JobPhase

JOB = JobId("0123456789abcdef")
REQUEST = "b3879acfba87216d"
KEY = "key"
TEAM = TeamId("team")
ROUTE = QueueRoute(
    queue=QueueId("print"), host="h", prefix="/print/", pool=PoolId("labels")
)
ROW_LIMIT_BYTES = 48_000


class ScriptedStore:
    """Ends each transaction as a script tells; the last result holds for the rest.

    A commit is one attempt, unlike that of a real client.

    Args:
        results: None for success, or the error that ends the transaction.

    Attributes:
        commit_count: Number of commits so far.
        single_count: Number of those that are single attempts of a real client too.
    """

    def __init__(self, *results: Exception | None):
        self._results = list(results)
        self.commit_count = self.single_count = 0

    async def commit_once(self, transaction: Any) -> int:
        self.single_count += 1
        return await self.commit(transaction)

    async def commit(self, transaction: Any) -> int:
        self.commit_count += 1
        result = self._results[0]
        if len(self._results) > 1:
            self._results.pop(0)
        if result is not None:
            raise result
        return 1


class LineLog(DecisionLog):
    """Keeps all lines."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})


class CallerInterface:
    """Handler of callers' requests.

    Args:
        results: Results of the transactions, see ``ScriptedStore``.

    Attributes:
        store: Store of the jobs.
        log: Lines that the handler and the intake have written.
        fleet_source: Configuration, which tests may replace or let lapse.
        intake: Accepts the jobs.
        owned_phase: Phase of the job if this instance owns its pool.
    """

    def __init__(self, *results: Exception | None):
        self.store = ScriptedStore(*results)
        self.log = LineLog()
        self.owned_phase: JobPhase | None = None
        clock, metrics = BootClock(), MetricsRegistry()
        fleet = SimpleNamespace(
            match=lambda host, path: ROUTE if path.startswith(ROUTE.prefix) else None,
            find_team=lambda key: TEAM if key == KEY else None,
            version=1,
            body_limit=0,
        )
        self.fleet_source = SimpleNamespace(fleet=fleet, is_fresh=True, age=0.1)
        self.intake = JobIntake(
            self.store,  # type: ignore[arg-type]
            lambda queue, job: self.owned_phase,
            clock,
            self.log,
            metrics,
            ROW_LIMIT_BYTES,
        )
        node = SimpleNamespace(
            fleet_source=self.fleet_source, intake=self.intake, is_stopping=False
        )
        self._handler = CallerHandler(node, clock, self.log, metrics)  # type: ignore[arg-type]

    def submit(
        self, headers: dict[str, str] | None = None, path: str = ROUTE.prefix + JOB
    ) -> ServerResponse:
        """Return the response to a submission."""
        body = json.encode({"Spec": "s", "Steps": [{"Count": 1, "Cpu": 1000}]})
        sent = {"Host": "h", "Authorization": f"Token {KEY}", "Request-Id": REQUEST}
        request = HTTPServerRequest(
            method="POST",
            uri=path,
            headers=HTTPHeaders(sent | (headers or {})),
            body=body,
        )
        return asyncio.run(self._handler.handle(request))


def make_conflict() -> TransactionConflictError:
    """Return the error of a transaction that finds the job stored."""
    return TransactionConflictError([f"jobs/{ROUTE.queue}/{JOB}"])
