"""Random documents for all decoders of what other programs write.

Guards against a document that makes a decoder raise an error that its callers do not
expect.
"""

import unittest
from asyncio import run
from typing import Any

import cbor2
from hypothesis import given
from hypothesis import strategies as st
from msgspec import ValidationError, json

from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.gateways.machine_controls import MachineControlError
from jujubebarrow.gateways.start_batches import (
    UnreadableBatchError,
    decode_orders,
    decode_results,
)
from jujubebarrow.gateways.worker_gateways import WorkerSilentError
from jujubebarrow.identifiers import PoolId
from jujubebarrow.limits.grant_rows import GrantRow
from jujubebarrow.maintenance.wave_records import WaveRecord
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.decode_errors import DECODE_ERRORS
from jujubebarrow.platform.documents import PlatformDocuments
from jujubebarrow.platform.machines import _decode_machine, _decode_refusal
from jujubebarrow.platform.stores import _decode_rows
from jujubebarrow.platform.workers import PlatformWorkers, _decode_order_result
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.runtimes.heartbeat_watchers import read_heartbeat
from jujubebarrow.runtimes.job_watchers import read_job
from jujubebarrow.standins.emulated_stores import EmulatedStore, SharedStore
from jujubebarrow.stores.relay_messages import (
    decode_commit,
    decode_page,
    decode_partitions,
    decode_response,
    decode_rows,
    execute_call,
)
from jujubebarrow.stores.row_errors import ROW_ERRORS
from jujubebarrow.stores.rows import Row
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.transports.http_clients import ClientResponse

NAMES = (
    "Backend Address Zone State Capacity Labels RemainingMs ColdLeftMs Machine "
    "born Cpu MemMb Gpus Version Routes Services Tenants Limits Name Host Prefix "
    "ApiKeys Maximum Wave Machines DurationS ClockMs Running Finished Reason rows "
    "Ver NowMs HasMore Table part Key Value Deleted Pool Id incarnation stopping "
    "address zone pools sent demand capacity machines movable backlog standby "
    "waiting began operation answer error transaction prefix start limit since "
    "wait job token payload orders "
).split()
NUMBERS = st.one_of(
    st.integers(),
    st.sampled_from([2**31, 2**53, 2**63, 2**64, -(2**63), 10**300, 10**400]),
    st.floats(),
)
TEXTS = st.one_of(
    st.text(max_size=20),
    st.sampled_from(["ready", "10.0.0.1:80", "a.0.0.1", "a.x.y.z", "done", "commit"]),
    st.sampled_from(["page", "changes", "partitions", "read", "?", "e30="]),
)
VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, TEXTS, st.binary(max_size=8)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=5),
        st.dictionaries(st.one_of(st.sampled_from(NAMES), TEXTS), inner, max_size=6),
    ),
    max_leaves=20,
)
DOCUMENTS = st.dictionaries(st.sampled_from(NAMES), VALUES, max_size=12)
BODIES = st.one_of(
    st.binary(max_size=40),
    VALUES.map(cbor2.dumps),
    DOCUMENTS.map(cbor2.dumps),
    VALUES.map(lambda value: json.encode(_drop_unencodable(value))),
    DOCUMENTS.map(lambda value: json.encode(_drop_unencodable(value))),
    st.integers(1, 3000).map(lambda depth: b"[" * depth + b"]" * depth),
    st.integers(1, 3000).map(lambda depth: b'{"Running":' * depth + b"}" * depth),
)


def _drop_unencodable(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: _drop_unencodable(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_drop_unencodable(item) for item in value]
    return value


class DecoderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = MetricsRegistry()

    @given(VALUES, st.sampled_from(["config", "wave/1", "w1", "wave/"]))
    def test_documents_of_operator_and_workers(self, value: Any, name: str) -> None:
        async def read() -> None:
            reader = PlatformDocuments(ListLog(), self.metrics)
            row = Row(key=f"servers//{name}", revision=1, value=value)
            reader.read_worker(row)
            reader.read_fleet(row)
            reader.read_wave(row)

        run(read())

    @given(VALUES)
    def test_rows_of_instances(self, value: Any) -> None:
        row = Row(key="heartbeats/n1/heartbeat", revision=1, value=value)
        read_job(row, self.metrics)
        with_errors: list[tuple[Any, tuple[type[Exception], ...]]] = [
            (lambda: read_heartbeat(row), (ValidationError,)),
            (lambda: GrantRow.from_document(value), (ValidationError,)),
            (lambda: PoolLoad.from_document(PoolId("p"), value), ROW_ERRORS),
            (lambda: WaveRecord.from_document(value), ROW_ERRORS),
        ]
        for decode, errors in with_errors:
            try:
                decode()
            except errors:
                continue

    @given(BODIES)
    def test_answers_of_store_and_machine_service(self, body: bytes) -> None:
        for decode in (_decode_store_rows, _decode_machine_list):
            try:
                decode(body)
            except DECODE_ERRORS:
                continue
        try:
            _decode_refusal(body)
        except MachineControlError:
            return

    @given(BODIES, st.sampled_from([200, 400, 409, 421, 500]))
    def test_answers_of_workers(self, body: bytes, status: int) -> None:
        workers = PlatformWorkers.__new__(PlatformWorkers)
        workers._metrics = self.metrics
        _decode_order_result(ClientResponse(status, body))
        try:
            workers._decode_renewal_report(body)
        except WorkerSilentError:
            return

    @given(BODIES)
    def test_messages_of_instances(self, body: bytes) -> None:
        store = EmulatedStore(SharedStore(None), self.metrics)  # type: ignore[arg-type]
        store.is_rejecting_calls = True
        for decode, errors in (
            (decode_orders, (UnreadableBatchError,)),
            (decode_results, (UnreadableBatchError,)),
            (decode_response, (StoreError,)),
            (lambda data: run(execute_call(data, store)), (ValueError,)),
        ):
            try:
                decode(body)
            except errors:
                continue

    @given(VALUES)
    def test_results_of_relayed_calls(self, value: Any) -> None:
        for decode in (decode_commit, decode_rows, decode_page, decode_partitions):
            try:
                decode(value)
            except StoreError:
                continue


def _decode_store_rows(body: bytes) -> None:
    _decode_rows(json.decode(body).get("rows", []))


def _decode_machine_list(body: bytes) -> None:
    for row in json.decode(body)["Machines"]:
        _decode_machine(row)
