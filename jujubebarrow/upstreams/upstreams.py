"""Interface to upstreams."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """Task as it is sent to an upstream.

    Attributes:
        task: Identifier of this start.
        queue: Queue, which names the service.
        team: Team, for the upstream's record.
        key: Idempotency key, for the upstream's record.
        content_type: Media type of the body.
        body: Body.
        lease_end: End of the task's lease in seconds since the epoch. The
            upstream starts nothing after it and stops what still runs.
        timeout: Seconds to wait for the answer.
        once: Whether it must not be sent a second time.
    """

    task: str
    queue: str
    team: str
    key: str
    content_type: str
    body: bytes
    lease_end: float
    timeout: float
    once: bool


@dataclass(frozen=True, slots=True)
class TaskAnswer:
    """Whole answer of an upstream."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """What an upstream says of itself."""

    running: int
    draining: bool


class Upstreams(ABC):
    """Sends tasks and commands to upstreams, named by address."""

    @abstractmethod
    async def run(self, address: str, task: TaskRequest) -> TaskAnswer:
        """Run a task.

        Raises:
            DispatchError: There is no whole answer.
        """

    @abstractmethod
    async def probe(self, address: str) -> UpstreamReport:
        """Return what an upstream says of itself.

        Raises:
            DispatchError: It does not answer.
        """

    @abstractmethod
    async def drain(self, address: str) -> None:
        """Tell an upstream to refuse new tasks."""

    @abstractmethod
    async def resume(self, address: str) -> None:
        """Tell an upstream to take tasks again."""

    @abstractmethod
    async def reboot(self, address: str) -> None:
        """Reboot an upstream that runs nothing."""
