"""Interface of the client that sends tasks and commands to upstreams."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """Task to send to an upstream.

    Attributes:
        task: Id of the attempt to run the request.
        queue: Queue of the request, which selects the service at the upstream.
        team: Team of the request, recorded by the upstream.
        key: Idempotency key of the request, recorded by the upstream.
        content_type: Media type of the request body.
        body: Request body.
        lease_end: End of the task's lease in seconds since the epoch. The upstream
            neither starts nor continues the task after that time.
        timeout: Maximum time to wait for the response, in seconds.
        is_resend_forbidden: Whether the request must not be sent a second time.
    """

    task: str
    queue: str
    team: str
    key: str
    content_type: str
    body: bytes
    lease_end: float
    timeout: float
    is_resend_forbidden: bool


@dataclass(frozen=True, slots=True)
class TaskResponse:
    """Complete response of an upstream to a task.

    Attributes:
        status: HTTP status code.
        content_type: Media type of the response body.
        body: Response body.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """State that an upstream reports.

    Attributes:
        running_count: Number of running tasks.
        is_draining: Whether the upstream refuses new tasks.
    """

    running_count: int
    is_draining: bool


class UpstreamClient(ABC):
    """Sends tasks and commands to upstreams, which are identified by address."""

    @abstractmethod
    async def run(self, address: str, task: TaskRequest) -> TaskResponse:
        """Run a task on an upstream and return its response.

        Raises:
            DispatchError: The upstream returned no complete response.
        """

    @abstractmethod
    async def probe(self, address: str) -> UpstreamReport:
        """Return the state that an upstream reports.

        Raises:
            DispatchError: The upstream returned no valid state.
        """

    @abstractmethod
    async def drain(self, address: str) -> None:
        """Order an upstream to refuse new tasks."""

    @abstractmethod
    async def resume(self, address: str) -> None:
        """Order an upstream to accept tasks again."""

    @abstractmethod
    async def reboot(self, address: str) -> None:
        """Reboot an upstream that runs no task."""
