"""Failures of real processes, sockets and signals."""

import asyncio
import json
from pathlib import Path

from jujubebarrow.standins.fleets import FleetShape
from jujubebarrow.tests.fleet_cases import QUEUES, TEAMS, FleetCase

FRESHNESS = 3.0
UPSTREAM_SLOTS = 8
ESTABLISHED = "01"


def count_connections(port: int) -> int:
    """Return the established connections that a local port has accepted."""
    rows = Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = [row.split() for row in rows]
    return sum(
        int(field[1].split(":")[1], 16) == port and field[3] == ESTABLISHED
        for field in fields
    )


class EntryFailureTest(FleetCase):
    shape = FleetShape(
        zones=("zone-a", "zone-b"),
        entries=1,
        run_time=0.05,
        overrides={"key_freshness": FRESHNESS, "task_lease": 6, "loan_period": 6}
        | {"deadline_limit": 5, "default_deadline": 5, "gone_after": 2}
        | {"list_period": 0.5},
    )

    async def certificate(self, entry, key: str, **headers: str):
        return await self.fleet.call(
            entry, "certificates", "tuna", {"key": key}, Idempotency_Key=key, **headers
        )

    async def starts(self, key: str) -> int:
        tasks = await self.fleet.all_tasks()
        return sum(task["key"] == key for task in tasks)

    async def slow_workers(self, factor: float) -> None:
        for worker in self.fleet.workers:
            await self.fleet.set_worker_faults(worker, slow=factor)

    async def test_killed_while_it_runs_a_certificate(self) -> None:
        await self.slow_workers(40)
        first, second = self.entries
        request = asyncio.create_task(self.certificate(first, "kill"))
        await asyncio.sleep(1.0)
        self.process(first).kill()
        await request
        self.fleet.start_entry(first)

        async def is_told() -> bool:
            answer = await self.certificate(second, "kill")
            return answer.code != 409 or b"run-unknown" in answer.body

        await self.fleet.wait_until(is_told, "the repeat's answer", 30)
        self.assertEqual(await self.starts("kill"), 1)

    async def test_frozen_past_every_lease(self) -> None:
        first, second = self.entries
        self.process(first).pause()
        await asyncio.sleep(8.0)
        answer = await self.fleet.call(second, "labels", "tuna")
        self.assertEqual(answer.code, 200)
        self.process(first).resume()

        async def serves() -> bool:
            return (await self.fleet.call(first, "labels", "tuna")).code == 200

        seconds = await self.fleet.wait_until(serves, "it serves again", 15)
        self.assertLess(seconds, 15)

    async def test_stop_is_graceful(self) -> None:
        await self.slow_workers(30)
        first, second = self.entries
        requests = [
            asyncio.create_task(self.fleet.call(first, "labels", "tuna"))
            for _ in range(4)
        ]
        await asyncio.sleep(0.5)
        process = self.process(first)
        code = await asyncio.to_thread(process.stop, 30)
        answers = [(await request).code for request in requests]
        self.assertEqual((code, answers), (0, [200] * 4))
        await self.slow_workers(1)

        async def holds_all_seats() -> bool:
            teams = (await self.fleet.status(second))["teams"]
            return all(team["usable"] == team["limit"] for team in teams)

        await self.fleet.wait_until(holds_all_seats, "all seats", 25)

    async def test_platform_outage(self) -> None:
        await self.fleet.administer(faults={"down": True})
        await asyncio.sleep(FRESHNESS + 2)
        for entry in self.entries:
            # Every holder of a seat vouches that it accepted no change.
            answer = await self.fleet.call(entry, "labels", "tuna")
            self.assertEqual(answer.code, 200)
            answer = await self.certificate(entry, "outage")
            problem = json.loads(answer.body)
            self.assertEqual(problem["kind"], "store-unavailable")
            self.assertEqual(problem["run"], "not-run")
        self.process(self.entries[1]).kill()
        await asyncio.sleep(FRESHNESS + 1)
        # A holder that does not answer might have accepted a change.
        answer = await self.fleet.call(self.entries[0], "labels", "tuna")
        self.assertEqual(json.loads(answer.body)["kind"], "configuration-stale")
        answer = await self.fleet.call(self.entries[0], "verify", "")
        self.assertEqual(answer.code, 200)
        await self.fleet.administer(faults={})

        async def serves() -> bool:
            return (await self.certificate(self.entries[0], "outage")).code == 200

        await self.fleet.wait_until(serves, "certificates again", 20)
        self.assertEqual(await self.starts("outage"), 1)

    async def test_withdrawn_key_stops_everywhere(self) -> None:
        first, second = self.entries
        await self.fleet.administer(faults={"cut_zones": ["zone-b"]})
        digest = self.fleet.digests["tuna"]
        answer = await self.fleet.operate(first, "DELETE", f"/v1/keys/{digest}")
        self.assertEqual(answer.code, 200)
        await asyncio.sleep(FRESHNESS + 0.5)
        for entry in (first, second):
            answer = await self.fleet.call(entry, "labels", "tuna")
            self.assertIn(answer.code, (401, 503))

    async def test_start_without_platform(self) -> None:
        first, second = self.entries
        await asyncio.to_thread(self.process(second).stop, 30)
        await self.fleet.administer(faults={"cut_zones": ["zone-b"]})
        self.fleet.start_entry(second)

        async def serves() -> bool:
            return (await self.fleet.call(second, "labels", "tuna")).code == 200

        await self.fleet.wait_until(serves, "configuration from a peer", 15)


class UpstreamFailureTest(FleetCase):
    shape = FleetShape(zones=("zone-a",), entries=1, pools={"labels": 1}, run_time=0.2)

    async def fault(self, **faults) -> None:
        await self.fleet.set_worker_faults("labels-zone-a-0", **faults)

    async def certificate(self, key: str):
        return await self.fleet.call(
            self.entries[0], "certificates", "tuna", {"key": key}, Idempotency_Key=key
        )

    async def test_connection_closed_without_an_answer(self) -> None:
        # Warm connections first: a client may send again on a reused one.
        warm = [self.fleet.call(self.entries[0], "labels", "reef") for _ in range(4)]
        for answer in await asyncio.gather(*warm):
            self.assertEqual(answer.code, 200)
        await self.fault(close=True)
        answer = await self.certificate("closed")
        problem = json.loads(answer.body)
        self.assertEqual(problem["kind"], "upstream-incomplete")
        self.assertEqual(problem["run"], "unknown")
        await self.fault()
        again = json.loads((await self.certificate("closed")).body)
        self.assertEqual(again["kind"], "run-unknown")
        tasks = await self.fleet.all_tasks()
        self.assertEqual(sum(task["key"] == "closed" for task in tasks), 1)

    async def test_connections_stay_within_the_upstreams_limit(self) -> None:
        port = int(self.fleet.workers["labels-zone-a-0"].rsplit(":", 1)[1])
        for batch in range(20):
            keys = [f"many-{batch}-{number}" for number in range(6)]
            answers = await asyncio.gather(*(self.certificate(key) for key in keys))
            self.assertEqual({answer.code for answer in answers}, {200})
        self.assertLessEqual(count_connections(port), UPSTREAM_SLOTS)

    async def test_truncated_answer_is_never_a_short_success(self) -> None:
        await self.fault(truncate=True)
        answer = await self.fleet.call(self.entries[0], "labels", "tuna")
        self.assertEqual(answer.code, 502)
        self.assertEqual(answer.headers["Run-State"], "unknown")

    async def test_worker_that_dies_is_not_run(self) -> None:
        self.fleet.kill_workers()
        answer = await self.certificate("dead")
        problem = json.loads(answer.body)
        self.assertEqual(problem["run"], "not-run")


class FleetChangeTest(FleetCase):
    shape = FleetShape(
        zones=("zone-a", "zone-b"),
        entries=1,
        pools={"labels": 2, "spare": 1},
        run_time=0.1,
    )

    async def configure(self) -> None:
        presets = {
            "ordinary": {"maintenance": True, "moves": False},
            "peak": {"sizes": {"labels": 6, "spare": 0}, "moves": False},
        }
        pools = {"spare": {"spare": True, "unavailable_limit": 2}}
        await self.fleet.configure(QUEUES, TEAMS, pools, presets)

    async def load(self, stop: asyncio.Event) -> list[int]:
        codes = []
        while not stop.is_set():
            for entry in self.entries:
                codes.append((await self.fleet.call(entry, "labels", "tuna")).code)
        return codes

    async def test_maintenance_cuts_no_work(self) -> None:
        stop = asyncio.Event()
        load = asyncio.create_task(self.load(stop))
        entry = self.entries[0]
        answer = await self.fleet.operate(entry, "PUT", "/v1/maintenance/week", {})
        self.assertEqual(answer.code, 200)

        async def done() -> bool:
            answer = await self.fleet.operate(entry, "GET", "/v1/maintenance")
            wave = json.loads(answer.body)["waves"][0]
            return wave["done"] == wave["total"] == len(self.fleet.workers)

        await self.fleet.wait_until(done, "the wave", 90)
        stop.set()
        self.assertEqual(set(await load), {200})
        for worker in self.fleet.workers:
            record = await self.fleet.worker_record(worker)
            self.assertEqual((record["boots"], record["cut"]), (2, 0))

    async def test_preset_moves_instances(self) -> None:
        entry = self.entries[1]
        await self.fleet.wait_for_writer(entry)
        await self.fleet.operate(entry, "PUT", "/v1/preset", {"preset": "peak"})

        async def moved() -> bool:
            answer = await self.fleet.operate(entry, "GET", "/v1/presets/peak/plan")
            pools = json.loads(answer.body)["pools"]
            return all(pool["size"] == pool["wanted"] for pool in pools)

        await self.fleet.wait_until(moved, "the move", 60)
        # The moved instances answer for their new pool.
        calls = [self.fleet.call(entry, "labels", "tuna") for _ in range(9)]
        codes = {answer.code for answer in await asyncio.gather(*calls)}
        self.assertEqual(codes, {200})

    async def test_leaving_upstream_gets_no_work(self) -> None:
        worker = "labels-zone-a-0"
        await self.fleet.list_instances(**{worker.replace("-", "_"): "leaving"})
        await asyncio.sleep(3.5)
        before = len((await self.fleet.worker_record(worker))["tasks"])
        for _ in range(20):
            await self.fleet.call(self.entries[0], "labels", "tuna")
        after = len((await self.fleet.worker_record(worker))["tasks"])
        self.assertEqual(before, after)

    async def test_racing_operators(self) -> None:
        async def limit(entry, value: int) -> int:
            path = "/v1/records/teams/tuna"
            found = json.loads((await self.fleet.operate(entry, "GET", path)).body)
            answer = await self.fleet.operate(
                entry, "PUT", path, {"limit": value}, If_Match=str(found["revision"])
            )
            return answer.code

        for entry in self.entries:
            await self.fleet.wait_for_writer(entry)
        codes = await asyncio.gather(
            *(limit(entry, 10 + n) for n, entry in enumerate(self.entries * 4))
        )
        self.assertEqual(set(codes), {200, 412})


class EdgeStopTest(FleetCase):
    shape = FleetShape(zones=("zone-a",), entries=2, run_time=2.0)

    async def test_stop_waits_for_requests_that_peers_run(self) -> None:
        homes: set[str] = set()

        async def one_home() -> bool:
            homes.clear()
            for entry in self.entries:
                for item in (await self.fleet.status(entry))["instances"]:
                    if "labels" in item["status"]["pools"]:
                        homes.add(item["status"]["instance"])
            return len(homes) == 1

        await self.fleet.wait_until(one_home, "one home", 10)
        edge = next(entry for entry in self.entries if entry.name not in homes)
        requests = [
            asyncio.create_task(self.fleet.call(edge, "labels", "tuna"))
            for _ in range(3)
        ]
        await asyncio.sleep(0.3)
        code = await asyncio.to_thread(self.process(edge).stop, 30)
        answers = [(await request).code for request in requests]
        self.assertEqual((code, answers), (0, [200] * 3))
