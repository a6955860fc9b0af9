"""CBOR messages of start orders that one instance relays for another."""

from typing import Any

import cbor2
from msgspec import Struct, ValidationError, convert, to_builtins

from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import StartOrder
from jujubebarrow.identifiers import JobId
from jujubebarrow.workloads.identifiers import FenceToken, RunNumber, WorkerId
from jujubebarrow.workloads.task_keys import TaskKey


class UnreadableBatchError(ValueError):
    """A message is not a batch of start orders or of their results."""


class _WireOrder(Struct, array_like=True):
    worker: str
    address: str
    occurrence: int
    step: int
    index: int
    run: int
    deadline: float
    checkpoint: str
    ticket: str
    token: int


class _WireBatch(Struct):
    job: str
    payload: str
    orders: list[_WireOrder]


class _WireResult(Struct, array_like=True):
    outcome: OrderOutcome
    clock: float | None
    detail: str


def encode_orders(orders: list[StartOrder]) -> bytes:
    """Return the message with start orders of one job."""
    first = orders[0]
    batch = _WireBatch(
        job=first.task.job,
        payload=first.payload,
        orders=[
            _WireOrder(
                worker=order.worker,
                address=order.address,
                occurrence=order.task.occurrence,
                step=order.task.step,
                index=order.task.index,
                run=order.run,
                deadline=order.deadline,
                checkpoint=order.checkpoint,
                ticket=order.ticket,
                token=order.token,
            )
            for order in orders
        ],
    )
    return cbor2.dumps(to_builtins(batch))


def decode_orders(body: bytes) -> list[StartOrder]:
    """Return the start orders of a message.

    Raises:
        UnreadableBatchError: The message cannot be decoded.
    """
    batch = _decode(body, _WireBatch)
    return [
        StartOrder(
            worker=WorkerId(wire.worker),
            address=wire.address,
            task=TaskKey(JobId(batch.job), wire.occurrence, wire.step, wire.index),
            run=RunNumber(wire.run),
            payload=batch.payload,
            deadline=wire.deadline,
            token=FenceToken(wire.token),
            checkpoint=wire.checkpoint,
            ticket=wire.ticket,
        )
        for wire in batch.orders
    ]


def encode_results(results: list[OrderResult]) -> bytes:
    """Return the message with the results of start orders."""
    rows = [
        _WireResult(result.outcome, result.clock, result.detail) for result in results
    ]
    return cbor2.dumps(to_builtins(rows))


def decode_results(body: bytes) -> list[OrderResult]:
    """Return the results of a message.

    Raises:
        UnreadableBatchError: The message cannot be decoded.
    """
    rows = _decode(body, list[_WireResult])
    return [OrderResult(row.outcome, row.clock, row.detail) for row in rows]


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return convert(cbor2.loads(body), kind)
    except (cbor2.CBORDecodeError, ValidationError, TypeError) as error:
        raise UnreadableBatchError(f"unreadable batch: {error!r}") from error
