"""Union types of all messages on peer links."""

from typing import Annotated

from pydantic import Field, TypeAdapter

from jujubebarrow.peers.configuration_messages import ChangesReply, ChangesRequest
from jujubebarrow.peers.explanation_messages import ExplainReply, ExplainRequest
from jujubebarrow.peers.forward_messages import Forward, ForwardRefusal, ForwardResult
from jujubebarrow.peers.handshake_messages import Challenge, Hello, Welcome
from jujubebarrow.peers.heartbeat_messages import Ping, Pong
from jujubebarrow.peers.loan_messages import (
    LoanReply,
    LoanRequest,
    LoanReturn,
    LoanReturnReply,
)
from jujubebarrow.peers.status_messages import StatusReply, StatusRequest

PROTOCOL_VERSION = 1


Request = (
    Ping
    | Forward
    | LoanRequest
    | LoanReturn
    | ChangesRequest
    | ExplainRequest
    | StatusRequest
)
Reply = (
    Pong
    | ForwardResult
    | ForwardRefusal
    | LoanReply
    | LoanReturnReply
    | ChangesReply
    | ExplainReply
    | StatusReply
)
AnyMessage = Annotated[
    Challenge | Hello | Welcome | Request | Reply, Field(discriminator="kind")
]

MESSAGE_ADAPTER: TypeAdapter[AnyMessage] = TypeAdapter(AnyMessage)
