"""Messages on peer links."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

from jujubebarrow.configurations.records import Priority
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.platforms.rows import Row

PROTOCOL_VERSION = 1


class Message(BaseModel):
    """Base of all messages."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Challenge(Message):
    """First message of the accepting side."""

    kind: Literal["challenge"] = "challenge"
    version: int
    nonce: bytes


class Hello(Message):
    """Identity of the dialling side with a proof that it knows the secret."""

    kind: Literal["hello"] = "hello"
    version: int
    instance: str
    incarnation: str
    zone: str
    nonce: bytes
    proof: bytes


class Welcome(Message):
    """Identity of the accepting side with its proof."""

    kind: Literal["welcome"] = "welcome"
    instance: str
    incarnation: str
    zone: str
    proof: bytes


class PoolReport(Message):
    """State of a pool at its home in one zone.

    Attributes:
        free_slots: Slots not in use.
        slots: Slots of upstreams in service.
        waiting: Waiting requests.
        wait: Expected time to start all waiting work, in seconds.
        unreachable: Upstreams that do not answer probes.
    """

    free_slots: int
    slots: int
    waiting: int
    wait: float
    unreachable: list[str] = []


class PeerStatus(Message):
    """State of an instance, sent with each heartbeat.

    Attributes:
        instance: Instance id.
        incarnation: Process.
        zone: Availability zone.
        address: Address for peer links.
        seat: Number of its seat, or None.
        ready: Whether it takes work.
        leaving: Whether it is shutting down.
        revision: Revision of the configuration in force.
        age: Age of the configuration in seconds; None if never verified.
        write_pending: Whether a configuration write is in flight.
        controls: Whether it holds the control lease.
        platform: Whether it reaches the platform.
        version: Number of this status for its receiver.
        full: Whether usage and pools are whole, not only what changed.
        usage: Changed numbers of running requests, by "pool/team".
        pools: Changed pool reports; None for a pool it is no longer home of.
    """

    instance: str
    incarnation: str
    zone: str
    address: str
    seat: int | None
    ready: bool
    leaving: bool
    revision: int
    age: float | None
    write_pending: bool
    controls: bool
    platform: bool
    version: int = 0
    full: bool = True
    usage: dict[str, int | None] = {}
    pools: dict[str, PoolReport | None] = {}


class Ping(Message):
    """Heartbeat.

    Attributes:
        acknowledged: Version of the last status received; 0 if there is none.
    """

    kind: Literal["ping"] = "ping"
    serial: int
    acknowledged: int
    instance: str
    incarnation: str
    address: str
    seat: int | None


class Pong(Message):
    """Answer to a heartbeat."""

    kind: Literal["pong"] = "pong"
    serial: int
    to: str
    status: PeerStatus


class Forward(Message):
    """Request for its home instance.

    Attributes:
        serial: Number of the message on its link.
        request: Request id.
        queue: Queue.
        team: Team of the key; empty on open queues.
        key: Digest of the key; empty on open queues.
        remaining: Seconds to the deadline.
        idempotency_key: Key of the caller, or an empty text.
        content_type: Media type of the body.
        body: Body.
        priority: Order among the queues of the pool.
        job: Whether its lease is renewed while it runs.
    """

    kind: Literal["forward"] = "forward"
    serial: int = 0
    request: str
    queue: str
    team: str
    key: str
    remaining: float
    idempotency_key: str = ""
    content_type: str = "application/octet-stream"
    body: bytes = b""
    priority: Priority = Priority.INTERACTIVE
    job: bool = False


class Answered(Message):
    """Whole answer of an upstream."""

    kind: Literal["answered"] = "answered"
    serial: int
    to: str
    request: str
    status: int
    content_type: str
    length: int
    body: bytes
    upstream: str
    replayed: bool = False


class Refused(Message):
    """Refusal or failure of a request."""

    kind: Literal["refused"] = "refused"
    serial: int
    to: str
    error: ErrorKind
    detail: str
    run: RunState
    retry_after: float | None


class LoanRequest(Message):
    """Asks for a part of a team's upper limit."""

    kind: Literal["loan-request"] = "loan-request"
    serial: int = 0
    team: str
    wanted: int = Field(ge=1)


class LoanExtension(Message):
    """Asks to end a loan later, for work that is still running."""

    kind: Literal["loan-extension"] = "loan-extension"
    serial: int = 0
    team: str
    loan: str


class LoanReply(Message):
    """Grants units until a moment; none if the count is 0."""

    kind: Literal["loan-reply"] = "loan-reply"
    serial: int
    to: str
    loan: str
    count: int
    until: float


class LoanReturn(Message):
    """Gives unused units back before the loan ends."""

    kind: Literal["loan-return"] = "loan-return"
    serial: int = 0
    team: str
    loan: str
    count: int = Field(ge=1)


class SuperviseRequest(Message):
    """Names a job that seems to wait for its supervisor."""

    kind: Literal["supervise-request"] = "supervise-request"
    serial: int = 0
    job: str


class Returned(Message):
    """Confirms a message that needs no other answer."""

    kind: Literal["returned"] = "returned"
    serial: int
    to: str


class ChangesRequest(Message):
    """Asks for configuration rows changed after a revision."""

    kind: Literal["changes-request"] = "changes-request"
    serial: int = 0
    since: int


class Changes(Message):
    """Configuration rows changed after a revision."""

    kind: Literal["changes"] = "changes"
    serial: int
    to: str
    rows: list[Row]


class ExplainRequest(Message):
    """Asks for decisions on a subject."""

    kind: Literal["explain-request"] = "explain-request"
    serial: int = 0
    subject: str


class Explanations(Message):
    """Decisions on a subject as time, instance and sentence."""

    kind: Literal["explanations"] = "explanations"
    serial: int
    to: str
    lines: list[tuple[float, str, str]]


class StatusRequest(Message):
    """Asks for a whole status, not only what changed."""

    kind: Literal["status-request"] = "status-request"
    serial: int = 0


class StatusReply(Message):
    """Whole status."""

    kind: Literal["status-reply"] = "status-reply"
    serial: int
    to: str
    status: PeerStatus


Request = (
    Ping
    | Forward
    | LoanRequest
    | LoanExtension
    | LoanReturn
    | SuperviseRequest
    | ChangesRequest
    | ExplainRequest
    | StatusRequest
)
Reply = (
    Pong
    | Answered
    | Refused
    | LoanReply
    | Returned
    | Changes
    | Explanations
    | StatusReply
)
AnyMessage = Annotated[
    Challenge | Hello | Welcome | Request | Reply, Field(discriminator="kind")
]

MESSAGES: TypeAdapter[AnyMessage] = TypeAdapter(AnyMessage)
