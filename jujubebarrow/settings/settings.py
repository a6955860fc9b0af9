"""All settings of the daemon with defaults, limits and units."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field
from pydantic.networks import IPvAnyAddress


def _setting(default: Any, unit: str, text: str, **limits: Any) -> Any:
    return Field(default, description=text, json_schema_extra={"unit": unit}, **limits)


Port = Annotated[int, Field(ge=1, le=65535)]
HexDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
PeerAddress = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]


class Settings(BaseModel):
    """Settings of one daemon, read from a settings file."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    # Identity and addresses
    instance: Name = _setting(..., "name", "Instance id, as in the platform's list.")
    zone: Name = _setting(..., "name", "Availability zone of this instance.")
    address: IPvAnyAddress = _setting(..., "IP", "Address to listen on.")
    caller_port: Port = _setting(..., "port", "Port for callers.")
    operator_port: Port = _setting(..., "port", "Port for operators.")
    peer_port: Port = _setting(..., "port", "Port for peer links.")
    advertised_peer_port: Port | None = _setting(
        None, "port", "Port that peers dial, if not peer_port."
    )
    peers: list[PeerAddress] = _setting([], "IP:port", "First peers to dial.")
    platform_url: str = _setting(
        ..., "URL", "Address of the platform.", pattern=r"^https?://"
    )

    # Secrets and keys
    peer_secret: str = _setting(
        ..., "text", "Secret shared by all peers.", min_length=16
    )
    operator_key_digest: HexDigest = _setting(
        ..., "SHA-256", "Digest of the operators' key."
    )

    # Callers
    body_limit: int = _setting(1_048_576, "bytes", "Largest body.", ge=1024)
    header_limit: int = _setting(16_384, "bytes", "Largest header block.", ge=1024)
    receive_timeout: float = _setting(
        10.0, "s", "Time for a caller to send a body.", gt=0, le=600
    )
    default_deadline: float = _setting(
        10.0, "s", "Deadline of requests that carry none.", gt=0, le=600
    )
    deadline_limit: float = _setting(
        25.0, "s", "Longest deadline a caller may ask for.", gt=0, le=600
    )

    # Configuration
    key_freshness: float = _setting(
        6.0, "s", "Age of the configuration at which keyed work stops.", gt=0, le=18
    )
    feed_wait: float = _setting(
        2.0, "s", "How long the platform may hold a change query.", gt=0, le=10
    )

    # Platform
    store_timeout: float = _setting(
        1.0, "s", "Timeout of one call to the platform.", gt=0, le=30
    )
    commit_batch: int = _setting(
        64, "rows", "Most claims in one transaction.", ge=1, le=1000
    )
    gone_after: float = _setting(
        8.0, "s", "Absence from the platform's list that proves an end.", gt=0
    )
    list_period: float = _setting(
        2.0, "s", "Time between two reads of the platform's list.", gt=0, le=60
    )

    # Peers
    heartbeat_period: float = _setting(
        1.0, "s", "Time between two heartbeats on a peer link.", gt=0, le=10
    )
    peer_timeout: float = _setting(
        3.0, "s", "Silence after which a peer counts as unreachable.", gt=0, le=60
    )
    peer_message_limit: int = _setting(
        4_194_304, "bytes", "Largest message on a peer link.", ge=65_536
    )

    # Limits
    seats: int = _setting(
        8, "seats", "Number of parts each upper limit is divided in.", ge=1, le=512
    )
    task_lease: float = _setting(
        30.0, "s", "Longest lease of a request at an upstream.", gt=0, le=600
    )
    loan_period: float = _setting(
        30.0, "s", "Time for which a part of a limit is lent.", gt=0, le=600
    )
    clock_error: float = _setting(
        0.25, "s", "Greatest difference between two hosts' clocks.", ge=0, le=5
    )

    # Queues, routes and retries
    queue_wait_limit: float = _setting(
        8.0, "s", "Expected wait above which a queue is full.", gt=0, le=600
    )
    retry_ratio: float = _setting(
        0.1, "retries per request", "Retries that requests earn.", ge=0, le=1
    )
    retry_reserve: float = _setting(
        10.0, "retries", "Most retries saved up.", ge=1, le=10_000
    )
    ejection_failures: int = _setting(
        5, "failures", "Failures in a row that eject an upstream.", ge=1, le=1000
    )
    ejection_period: float = _setting(
        5.0, "s", "First ejection, doubled at each further one.", gt=0, le=600
    )
    probe_period: float = _setting(
        2.0, "s", "Time between two probes of an idle upstream.", gt=0, le=60
    )
    probe_timeout: float = _setting(
        1.0, "s", "Timeout of a probe of an upstream.", gt=0, le=60
    )

    # Control loop
    control_period: float = _setting(
        1.0, "s", "Time between two rounds of control.", gt=0, le=60
    )
    control_lease: float = _setting(
        6.0, "s", "Silence after which control may be taken over.", gt=0, le=60
    )
    control_rows: int = _setting(
        8, "transactions", "Most changes in one round of control.", ge=1, le=100
    )
    move_hold: float = _setting(
        20.0, "s", "Time an instance stays in a pool after a move.", ge=0
    )
    move_wait: float = _setting(
        1.0, "s", "Expected wait at which a pool asks for instances.", ge=0
    )
    job_attempts: int = _setting(
        5, "attempts", "Starts after which a job is given up.", ge=1, le=100
    )
    stop_timeout: float = _setting(
        40.0, "s", "Time for running work after SIGTERM.", gt=0, le=3600
    )

    @property
    def dialled_port(self) -> int:
        """Port that peers dial to reach this instance."""
        return self.advertised_peer_port or self.peer_port
