"""CBOR messages of store calls that one instance relays for another."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Any, TypeVar

import cbor2
from msgspec import ValidationError, convert

from jujubebarrow.errors.exceptions import (
    HistoryLostError,
    InvalidCallError,
    NoDirectPathError,
    RelayedStoreError,
    StoreError,
)
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.row_errors import ROW_ERRORS
from jujubebarrow.stores.row_pages import RowPage
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

RELAY_PATH = "/store"
MEDIA_TYPE = "application/cbor"
COMMIT = "commit"
READ = "read"
PAGE = "page"
CHANGES = "changes"
PARTITIONS = "partitions"
HISTORY_LOST = "history-lost"
INVALID_CALL = "is_invalid"
NO_PATH = "has_no_path"

Result = TypeVar("Result")


def encode_call(operation: str, **arguments: Any) -> bytes:
    """Return the body of a relayed call."""
    return cbor2.dumps({"operation": operation, **arguments})


def encode_commit(transaction: Transaction) -> bytes:
    """Return the body of a relayed transaction."""
    return encode_call(COMMIT, transaction=asdict(transaction))


async def execute_call(body: bytes, store: Store) -> bytes:
    """Execute a relayed call and return the body of the response.

    Args:
        body: Encoded relayed call.
        store: Client for direct calls to the store.

    Raises:
        ValueError: The relayed call cannot be decoded.
    """
    try:
        call = cbor2.loads(body)
        operation = call["operation"]
    except (cbor2.CBORDecodeError, *ROW_ERRORS) as error:
        raise ValueError(f"unreadable call: {error!r}") from error
    execute = _decode_operation(operation, call, store)
    try:
        return cbor2.dumps({"answer": await execute()})
    except HistoryLostError:
        return cbor2.dumps({"error": HISTORY_LOST, "may_have_applied": False})
    except InvalidCallError as error:
        return cbor2.dumps(
            {"error": str(error), "may_have_applied": False, INVALID_CALL: True}
        )
    except StoreError as error:
        return cbor2.dumps(
            {
                "error": str(error),
                "may_have_applied": error.may_have_applied,
                NO_PATH: isinstance(error, NoDirectPathError),
            }
        )


def _decode_operation(
    operation: str, call: dict[str, Any], store: Store
) -> Callable[[], Awaitable[Any]]:
    """Return a function that executes a relayed call.

    Errors of its execution say nothing about the call, which may have been sent.
    """
    try:
        if operation == COMMIT:
            transaction = convert(call["transaction"], Transaction)
            return lambda: _to_document(store.try_commit(transaction))
        if operation == READ:
            prefix, limit = call["prefix"], call["limit"]
            return lambda: _to_document(store.read(prefix, limit))
        if operation == PAGE:
            place = call["prefix"], call["start"], call["limit"]
            return lambda: _to_document(store.read_page(*place))
        if operation == CHANGES:
            place = call["prefix"], call["since"], call["wait"]
            return lambda: _to_document(store.read_changes(*place))
        if operation == PARTITIONS:
            table = call["table"]
            return lambda: store.list_partitions(table)
    except ROW_ERRORS as error:
        raise ValueError(f"unreadable call: {error!r}") from error
    raise ValueError(f"unknown operation {operation!r}")


async def _to_document(result: Awaitable[Any]) -> dict[str, Any]:
    return asdict(await result)


def decode_response(body: bytes) -> Any:
    """Return the store's result from the response to a relayed call.

    Raises:
        HistoryLostError: The store no longer has all requested changes.
        InvalidCallError: The store refuses the call for its content.
        StoreError: The store call failed on the relaying instance, or the response is
            not a CBOR map.
    """
    try:
        document = cbor2.loads(body)
        error = document.get("error")
        answer = document["answer"] if error is None else None
        may_have_applied = bool(document.get("may_have_applied", True))
        is_invalid = bool(document.get(INVALID_CALL, False))
    except (cbor2.CBORDecodeError, *ROW_ERRORS) as decode_error:
        raise StoreError(f"unreadable relay: {decode_error!r}") from decode_error
    if error == HISTORY_LOST:
        raise HistoryLostError("relayed")
    if is_invalid:
        raise InvalidCallError(f"relayed: {error}")
    if error is not None:
        has_path = not document.get(NO_PATH, False)
        raise RelayedStoreError(f"relayed: {error}", may_have_applied, has_path)
    return answer


def decode_commit(result: Any) -> CommitResult:
    """Return the result of a relayed transaction.

    Raises:
        StoreError: The result cannot be decoded.
    """
    return _decode(result, CommitResult)


def decode_rows(result: Any) -> RowSet:
    """Return the rows of a relayed read.

    Raises:
        StoreError: The result cannot be decoded.
    """
    return _decode(result, RowSet)


def decode_page(result: Any) -> RowPage:
    """Return the page of a relayed read.

    Raises:
        StoreError: The result cannot be decoded.
    """
    return _decode(result, RowPage)


def decode_partitions(result: Any) -> list[str]:
    """Return the partitions of a relayed list.

    Raises:
        StoreError: The result cannot be decoded.
    """
    return _decode(result, list[str])


def _decode(result: Any, kind: type[Result]) -> Result:
    try:
        return convert(result, kind)
    except ValidationError as error:
        raise StoreError(f"unreadable relay: {error!r}") from error
