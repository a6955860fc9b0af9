"""Messages on accepted jobs."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message


class SuperviseRequest(Message):
    """Names a job that seems to wait for its supervisor."""

    kind: Literal["supervise-request"] = "supervise-request"
    serial: int = 0
    job: str
