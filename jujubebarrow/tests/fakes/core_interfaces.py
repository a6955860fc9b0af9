"""Callers' interface of one instance of the product's own, with a scripted home."""

from types import SimpleNamespace
from typing import Any

from tornado.web import Application

from jujubebarrow.callers.applications import make_caller_application
from jujubebarrow.callers.authenticators import Authenticator
from jujubebarrow.clocks.system_clocks import SystemClock
from jujubebarrow.configurations.key_records import Key
from jujubebarrow.configurations.key_states import KeyState
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.configurations.team_records import Team
from jujubebarrow.errors.error_responses import ERROR_RESPONSES
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.forward_messages import Forward, ForwardRefusal
from jujubebarrow.routes.homes import HomeCandidate
from jujubebarrow.services.request_services import RequestService
from jujubebarrow.settings.settings import Settings

BODY_LIMIT_BYTES = 1000
ONCE = "certificates"
"""Queue whose requests run at most once."""
REPEATABLE = "labels"
"""Queue whose requests may run more than once."""
TEAM = "tuna"
QUEUES = {
    ONCE: Queue(pool="pool", idempotent=False),
    REPEATABLE: Queue(pool="pool"),
    "reef-only": Queue(pool="pool", teams=["reef"]),
}


class CoreInterface:
    """Callers' interface whose homes refuse every request.

    Attributes:
        refusals: Kind with which each home refuses, in the order of the homes.
        is_stopping: Whether the instance is shutting down.
        is_ready: Whether the instance accepts requests.
        is_fresh: Whether keys can be verified.
        key_state: State of the callers' key.
    """

    def __init__(self) -> None:
        self.refusals = [ErrorKind.QUEUE_FULL]
        self.is_stopping = False
        self.is_ready = True
        self.is_fresh = True
        self.key_state = KeyState.GRANTED

    def make_application(self) -> Application:
        """Create the web application."""
        clock, metrics = SystemClock(), MetricsRegistry()
        settings: Any = SimpleNamespace(
            body_limit=BODY_LIMIT_BYTES,
            default_deadline=Settings.model_fields["default_deadline"].default,
            deadline_limit=Settings.model_fields["deadline_limit"].default,
            retry_ratio=1.0,
            retry_reserve=10,
        )
        configuration: Any = SimpleNamespace(
            queue=QUEUES.get,
            key=lambda digest: Key(team=TEAM, state=self.key_state),
            team=lambda name: Team(share=1, limit=8),
        )
        homes: Any = SimpleNamespace(
            candidates=lambda pool: [
                HomeCandidate(str(number), "zone-a", 0.0)
                for number in range(len(self.refusals))
            ]
        )
        requests = RequestService(
            "",
            configuration,
            homes,
            SimpleNamespace(),  # type: ignore[arg-type]
            SimpleNamespace(request=self._refuse),  # type: ignore[arg-type]
            clock,
            settings,
            metrics,
            SimpleNamespace(),  # type: ignore[arg-type]
        )
        context: Any = SimpleNamespace(
            settings=settings,
            clock=clock,
            metrics=metrics,
            authenticator=Authenticator(configuration, lambda: self.is_fresh),
            requests=requests,
            jobs=SimpleNamespace(find_route=lambda queue: None),
            is_ready=lambda: self.is_ready,
            is_stopping=lambda: self.is_stopping,
        )
        return make_caller_application(context)

    async def _refuse(
        self, instance: str, request: Forward, timeout: float
    ) -> ForwardRefusal:
        kind = self.refusals[int(instance)]
        return ForwardRefusal(
            serial=0,
            to="",
            error=kind,
            detail="",
            run=ERROR_RESPONSES[kind].run,
            retry_after=None,
        )
