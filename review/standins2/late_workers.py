"""Worker that leaves some orders unanswered and executes them after a restart."""

import asyncio
import time
from typing import Any

from fleets import Life, Worker
from wire import Response

WINDOW_SECONDS = 5.0
"""Time for which orders are left unanswered, for the share of these."""
NO_ANSWER_SECONDS = 60.0
"""Longer than any caller waits for an answer."""


class LateWorker(Worker):
    """Worker with held orders and silent crashes; subclasses choose the orders."""

    held: list[tuple[str, dict[str, Any]]]
    held_at: list[float]
    is_dark = False

    def boot(self, name: str = "") -> None:
        """Begin a new life."""
        if not hasattr(self, "held"):
            self.held, self.held_at = [], []
        super().boot(name)

    def holds(self, target: str, document: dict[str, Any]) -> bool:
        """Return whether to leave an order unanswered and execute it later."""
        raise NotImplementedError

    async def handle(
        self, method: str, target: str, headers: dict[str, str], document: Any
    ) -> Response:
        """Answer a call, unless it is held or the worker is dark."""
        if not self.is_dark and self.holds(target, document):
            self.held.append((target, document))
            self.held_at.append(time.monotonic())
            self.fleet.orders.append(time.monotonic())
            self.fleet.write(f"no answer from {self.name}: {target} {document}")
            await asyncio.sleep(NO_ANSWER_SECONDS)
        life = self.life
        if not self.is_dark:
            answer = await super().handle(method, target, headers, document)
            if self.life is life:
                return answer
        await asyncio.sleep(NO_ANSWER_SECONDS)
        return 503, {}

    def crash(self) -> None:
        """Lose all runs and answer nothing any more."""
        self.fleet.write(f"crash of {self.name}, {len(self.life.running)} runs")
        self.is_dark = True
        self.state = "down"
        self.life = Life()

    def restart(self) -> None:
        """Begin a new life under the same id."""
        self.boot(self.name)
        self.is_dark = False
        self.fleet.write(f"restart of {self.name}")

    async def execute(self, target: str, document: dict[str, Any]) -> None:
        """Execute a held order late."""
        first, last = self.held_at[0] - WINDOW_SECONDS / 2, self.held_at[0]
        last += WINDOW_SECONDS / 2
        count = sum(first <= at <= last for at in self.fleet.orders)
        self.fleet.write(f"{len(self.held)} of {count} orders of 5 s got no answer")
        self.fleet.write(f"{self.name} executes late: {target} {document}")
        headers = {"x-target-instance": self.name}
        await super().handle("POST", target, headers, document)
