"""Stand-in for the platform: store, object store and instance list, with faults."""

import argparse
import json
import random
from asyncio import Event, run, sleep
from typing import Any

from msgspec.json import decode, encode
from tornado.web import Application, RequestHandler

from jujubebarrow.standins.tables import Table
from jujubebarrow.stores.transactions import Transaction


class PlatformState:
    """State and active faults of the platform stand-in.

    Args:
        seed: Seed of the random faults.
        instance_list_delay_seconds: Time until a change of the instance list is
            visible.

    Attributes:
        table: Rows of the store.
        objects: Contents of the object store by name.
        instances: State of each listed instance.
        instance_list_delay_seconds: Time until a change of the instance list is
            visible.
        random: Random generator that selects the responses that are lost.
        faults: Active faults: "slow" (delay in seconds), "down" (all calls fail),
            "cut_zones" (zones whose calls fail) and "lose_answers" (probability that
            the response to a transaction is lost).
        reads: Number of reads of rows and of changes.
        writes: Number of transactions, including rejected ones.
    """

    def __init__(self, seed: int, instance_list_delay_seconds: float):
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.instances: dict[str, str] = {}
        self.instance_list_delay_seconds = instance_list_delay_seconds
        self.random = random.Random(seed)
        self.faults: dict[str, Any] = {}
        self.reads = 0
        self.writes = 0


class _PlatformHandler(RequestHandler):
    def initialize(self, state: PlatformState) -> None:
        self.state = state

    async def prepare(self) -> None:
        faults = self.state.faults
        zone = self.request.headers.get("Availability-Zone", "")
        if faults.get("slow"):
            await sleep(faults["slow"])
        if faults.get("down") or zone in faults.get("cut_zones", []):
            self.send_error(503)

    def draw_response_loss(self) -> bool:
        return self.state.random.random() < self.state.faults.get("lose_answers", 0)


class _TransactionHandler(_PlatformHandler):
    async def post(self) -> None:
        transaction = decode(self.request.body, type=Transaction)
        self.state.writes += 1
        result = self.state.table.commit(transaction)
        if not result.nonces:
            await self.state.table.notify()
        if self.draw_response_loss():
            self.send_error(504)
            return
        self.set_status(409 if result.nonces else 200)
        self.finish(encode(result))


class _RowHandler(_PlatformHandler):
    def get(self) -> None:
        self.state.reads += 1
        limit = int(self.get_argument("limit", "0"))
        rows = self.state.table.read(self.get_argument("prefix"), limit)
        self.finish(encode(rows))


class _ChangeHandler(_PlatformHandler):
    async def get(self) -> None:
        self.state.reads += 1
        rows = await self.state.table.wait_for_changes(
            self.get_argument("prefix"),
            int(self.get_argument("since")),
            float(self.get_argument("wait")),
        )
        self.finish(encode(rows))


class _ObjectHandler(_PlatformHandler):
    def get(self, name: str) -> None:
        if name not in self.state.objects:
            self.send_error(404)
            return
        self.finish(self.state.objects[name])

    def put(self, name: str) -> None:
        self.state.objects[name] = self.request.body


class _InstanceListHandler(_PlatformHandler):
    def get(self) -> None:
        self.finish({"instances": self.state.instances})


class _AdministrationHandler(RequestHandler):
    """Sets faults and the instance list, and returns the counts of store calls.

    Only tests, demos and benches call this handler.
    """

    def initialize(self, state: PlatformState) -> None:
        self.state = state

    def get(self) -> None:
        self.finish({"reads": self.state.reads, "writes": self.state.writes})

    async def post(self) -> None:
        document = json.loads(self.request.body)
        self.state.faults = document.get("faults", self.state.faults)
        listed_states = document.get("instances")
        if listed_states is not None:
            await sleep(self.state.instance_list_delay_seconds)
            self.state.instances = listed_states


def make_application(state: PlatformState) -> Application:
    """Return the web application of the platform stand-in."""
    arguments = {"state": state}
    return Application(
        [
            (r"/transactions", _TransactionHandler, arguments),
            (r"/rows", _RowHandler, arguments),
            (r"/changes", _ChangeHandler, arguments),
            (r"/objects/(.+)", _ObjectHandler, arguments),
            (r"/instances", _InstanceListHandler, arguments),
            (r"/administration", _AdministrationHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


async def serve(
    address: str, port: int, seed: int, instance_list_delay_seconds: float
) -> None:
    """Serve requests until the process ends."""
    state = PlatformState(seed, instance_list_delay_seconds)
    make_application(state).listen(port, address, max_body_size=256 * 1024 * 1024)
    await Event().wait()


def main() -> None:
    """Run the platform stand-in with the options of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--lag", type=float, default=1.0)
    options = parser.parse_args()
    run(serve(options.address, options.port, options.seed, options.lag))


if __name__ == "__main__":
    main()
