"""Tests of failures with real processes, sockets and signals."""

import asyncio
import json
from pathlib import Path

from jujubebarrow.standins.fleets import FleetShape
from jujubebarrow.tests.fleet_cases import QUEUES, TEAMS, FleetCase

KEY_FRESHNESS_SECONDS = 3.0
UPSTREAM_SLOT_COUNT = 8
ESTABLISHED_STATE = "01"


def count_connections(port: int) -> int:
    """Return the number of established TCP connections accepted on a local port."""
    rows = Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = [row.split() for row in rows]
    return sum(
        int(field[1].split(":")[1], 16) == port and field[3] == ESTABLISHED_STATE
        for field in fields
    )


class EntryFailureTest(FleetCase):
    shape = FleetShape(
        zones=("zone-a", "zone-b"),
        entries_per_zone=1,
        run_time=0.05,
        overrides={
            "key_freshness": KEY_FRESHNESS_SECONDS,
            "task_lease": 6,
            "loan_period": 6,
        }
        | {"deadline_limit": 5, "default_deadline": 5, "gone_after": 2}
        | {"list_period": 0.5},
    )

    async def request_certificate(self, entry, key: str, **headers: str):
        return await self.fleet.send_caller_request(
            entry, "certificates", "tuna", {"key": key}, Idempotency_Key=key, **headers
        )

    async def count_starts(self, key: str) -> int:
        tasks = await self.fleet.fetch_started_tasks()
        return sum(task["key"] == key for task in tasks)

    async def set_slowdown(self, factor: float) -> None:
        for worker in self.fleet.workers:
            await self.fleet.set_worker_faults(worker, slow=factor)

    async def test_instance_killed_during_certificate_request(self) -> None:
        # Guards against a second start of a request that is not idempotent. The entry
        # instance is killed while an upstream runs the request, and the caller repeats
        # the request through another instance.
        await self.set_slowdown(40)
        first, second = self.entries
        request = asyncio.create_task(self.request_certificate(first, "kill"))
        await asyncio.sleep(1.0)
        self.find_process(first).kill()
        await request
        self.fleet.start_entry(first)

        async def is_run_resolved() -> bool:
            response = await self.request_certificate(second, "kill")
            return response.code != 409 or b"run-unknown" in response.body

        await self.fleet.wait_until(
            is_run_resolved, "the repeat gets a final response", 30
        )
        self.assertEqual(await self.count_starts("kill"), 1)

    async def test_instance_paused_past_every_lease(self) -> None:
        # Guards against an instance that refuses requests for good after a pause in
        # which all of its leases expired.
        first, second = self.entries
        self.find_process(first).pause()
        await asyncio.sleep(8.0)
        response = await self.fleet.send_caller_request(second, "labels", "tuna")
        self.assertEqual(response.code, 200)
        self.find_process(first).resume()

        async def is_serving() -> bool:
            return (
                await self.fleet.send_caller_request(first, "labels", "tuna")
            ).code == 200

        seconds = await self.fleet.wait_until(
            is_serving, "the resumed instance serves requests", 15
        )
        self.assertLess(seconds, 15)

    async def test_stop_is_graceful(self) -> None:
        # Guards against requests that a stop cuts off, and against units of upper
        # limits that are lost with the stopped instance.
        await self.set_slowdown(30)
        first, second = self.entries
        requests = [
            asyncio.create_task(self.fleet.send_caller_request(first, "labels", "tuna"))
            for _ in range(4)
        ]
        await asyncio.sleep(0.5)
        process = self.find_process(first)
        code = await asyncio.to_thread(process.stop, 30)
        responses = [(await request).code for request in requests]
        self.assertEqual((code, responses), (0, [200] * 4))
        await self.set_slowdown(1)

        async def can_use_full_limits() -> bool:
            teams = (await self.fleet.fetch_status(second))["teams"]
            return all(team["usable"] == team["limit"] for team in teams)

        await self.fleet.wait_until(
            can_use_full_limits, "the upper limits are fully usable", 25
        )

    async def test_platform_outage(self) -> None:
        # Guards against requests that are refused without need, started twice or
        # accepted with a stale configuration while the platform is down.
        await self.fleet.configure_platform(faults={"down": True})
        await asyncio.sleep(KEY_FRESHNESS_SECONDS + 2)
        for entry in self.entries:
            # Every seat holder confirms that it accepted no configuration change, so
            # that keyed requests are still accepted.
            response = await self.fleet.send_caller_request(entry, "labels", "tuna")
            self.assertEqual(response.code, 200)
            response = await self.request_certificate(entry, "outage")
            problem = json.loads(response.body)
            self.assertEqual(problem["kind"], "store-unavailable")
            # The second entry instance can't know that the first attempt did not run.
            self.assertEqual(problem["run"], "unknown")
            self.assertIn("Retry-After", response.headers)
            self.assertEqual(await self.count_starts("outage"), 0)
        self.find_process(self.entries[1]).kill()
        await asyncio.sleep(KEY_FRESHNESS_SECONDS + 1)
        # The killed seat holder does not respond and might have accepted a
        # configuration change, so that keyed requests are refused.
        response = await self.fleet.send_caller_request(
            self.entries[0], "labels", "tuna"
        )
        self.assertEqual(json.loads(response.body)["kind"], "configuration-stale")
        response = await self.fleet.send_caller_request(self.entries[0], "verify", "")
        self.assertEqual(response.code, 200)
        await self.fleet.configure_platform(faults={})

        async def is_serving() -> bool:
            return (
                await self.request_certificate(self.entries[0], "outage")
            ).code == 200

        await self.fleet.wait_until(
            is_serving, "certificate requests succeed again", 20
        )
        self.assertEqual(await self.count_starts("outage"), 1)

    async def test_withdrawn_key_is_refused_by_every_instance(self) -> None:
        # Guards against a withdrawn key that is still accepted in a zone that cannot
        # reach the platform and therefore cannot read the withdrawal.
        first, second = self.entries
        await self.fleet.configure_platform(faults={"cut_zones": ["zone-b"]})
        digest = self.fleet.digests["tuna"]
        response = await self.fleet.send_operator_request(
            first, "DELETE", f"/v1/keys/{digest}"
        )
        self.assertEqual(response.code, 200)
        await asyncio.sleep(KEY_FRESHNESS_SECONDS + 0.5)
        for entry in (first, second):
            response = await self.fleet.send_caller_request(entry, "labels", "tuna")
            self.assertIn(response.code, (401, 503))

    async def test_start_without_platform(self) -> None:
        # Guards against an instance that cannot start while its zone cannot reach the
        # platform, although a peer can send the configuration.
        first, second = self.entries
        await asyncio.to_thread(self.find_process(second).stop, 30)
        await self.fleet.configure_platform(faults={"cut_zones": ["zone-b"]})
        self.fleet.start_entry(second)

        async def is_serving() -> bool:
            return (
                await self.fleet.send_caller_request(second, "labels", "tuna")
            ).code == 200

        await self.fleet.wait_until(is_serving, "a peer has sent the configuration", 15)


class UpstreamFailureTest(FleetCase):
    shape = FleetShape(
        zones=("zone-a",),
        entries_per_zone=1,
        workers_per_zone={"labels": 1},
        run_time=0.2,
    )

    async def set_faults(self, **faults) -> None:
        await self.fleet.set_worker_faults("labels-zone-a-0", **faults)

    async def request_certificate(self, key: str):
        return await self.fleet.send_caller_request(
            self.entries[0], "certificates", "tuna", {"key": key}, Idempotency_Key=key
        )

    async def test_connection_closed_without_response(self) -> None:
        # Open connections first: an HTTP client may silently send a request again when
        # a reused connection is closed.
        warm_up_requests = [
            self.fleet.send_caller_request(self.entries[0], "labels", "reef")
            for _ in range(4)
        ]
        for response in await asyncio.gather(*warm_up_requests):
            self.assertEqual(response.code, 200)
        await self.set_faults(close=True)
        response = await self.request_certificate("closed")
        problem = json.loads(response.body)
        self.assertEqual(problem["kind"], "upstream-incomplete")
        self.assertEqual(problem["run"], "unknown")
        await self.set_faults()
        repeat_problem = json.loads((await self.request_certificate("closed")).body)
        self.assertEqual(repeat_problem["kind"], "run-unknown")
        tasks = await self.fleet.fetch_started_tasks()
        self.assertEqual(sum(task["key"] == "closed" for task in tasks), 1)

    async def test_connections_do_not_exceed_upstream_slots(self) -> None:
        # Guards against more open connections to an upstream than the upstream has
        # slots.
        port = int(self.fleet.workers["labels-zone-a-0"].rsplit(":", 1)[1])
        for batch in range(20):
            keys = [f"many-{batch}-{number}" for number in range(6)]
            responses = await asyncio.gather(
                *(self.request_certificate(key) for key in keys)
            )
            self.assertEqual({response.code for response in responses}, {200})
        self.assertLessEqual(count_connections(port), UPSTREAM_SLOT_COUNT)

    async def test_truncated_response_is_an_error(self) -> None:
        await self.set_faults(truncate=True)
        response = await self.fleet.send_caller_request(
            self.entries[0], "labels", "tuna"
        )
        self.assertEqual(response.code, 502)
        self.assertEqual(response.headers["Run-State"], "unknown")

    async def test_dead_worker_reports_not_run(self) -> None:
        self.fleet.kill_workers()
        response = await self.request_certificate("dead")
        problem = json.loads(response.body)
        self.assertEqual(problem["run"], "not-run")


class FleetChangeTest(FleetCase):
    shape = FleetShape(
        zones=("zone-a", "zone-b"),
        entries_per_zone=1,
        workers_per_zone={"labels": 2, "spare": 1},
        run_time=0.1,
    )

    async def configure(self) -> None:
        presets = {
            "ordinary": {"maintenance": True, "moves": False},
            "peak": {"sizes": {"labels": 6, "spare": 0}, "moves": False},
        }
        pools = {"spare": {"spare": True, "unavailable_limit": 2}}
        await self.fleet.configure(QUEUES, TEAMS, pools, presets)

    async def send_requests(self, stop: asyncio.Event) -> list[int]:
        codes = []
        while not stop.is_set():
            for entry in self.entries:
                codes.append(
                    (await self.fleet.send_caller_request(entry, "labels", "tuna")).code
                )
        return codes

    async def test_maintenance_fails_no_requests(self) -> None:
        stop = asyncio.Event()
        load_task = asyncio.create_task(self.send_requests(stop))
        entry = self.entries[0]
        response = await self.fleet.send_operator_request(
            entry, "PUT", "/v1/maintenance/week", {}
        )
        self.assertEqual(response.code, 200)

        async def is_wave_done() -> bool:
            response = await self.fleet.send_operator_request(
                entry, "GET", "/v1/maintenance"
            )
            wave = json.loads(response.body)["waves"][0]
            return wave["done"] == wave["total"] == len(self.fleet.workers)

        await self.fleet.wait_until(is_wave_done, "the wave has ended", 90)
        stop.set()
        self.assertEqual(set(await load_task), {200})
        for worker in self.fleet.workers:
            record = await self.fleet.fetch_worker_record(worker)
            self.assertEqual((record["boots"], record["cut"]), (2, 0))

    async def test_preset_moves_instances_between_pools(self) -> None:
        entry = self.entries[1]
        await self.fleet.wait_for_writer(entry)
        await self.fleet.send_operator_request(
            entry, "PUT", "/v1/preset", {"preset": "peak"}
        )

        async def are_moves_done() -> bool:
            response = await self.fleet.send_operator_request(
                entry, "GET", "/v1/presets/peak/plan"
            )
            pools = json.loads(response.body)["pools"]
            return all(pool["size"] == pool["wanted"] for pool in pools)

        await self.fleet.wait_until(are_moves_done, "the moves have ended", 60)
        # The moved instances serve requests of their new pool.
        calls = [
            self.fleet.send_caller_request(entry, "labels", "tuna") for _ in range(9)
        ]
        codes = {response.code for response in await asyncio.gather(*calls)}
        self.assertEqual(codes, {200})

    async def test_leaving_upstream_gets_no_tasks(self) -> None:
        # Guards against tasks that are sent to an upstream after the platform lists
        # the upstream as leaving.
        worker = "labels-zone-a-0"
        await self.fleet.publish_instance_list(**{worker.replace("-", "_"): "leaving"})
        await asyncio.sleep(3.5)
        before = len((await self.fleet.fetch_worker_record(worker))["tasks"])
        for _ in range(20):
            await self.fleet.send_caller_request(self.entries[0], "labels", "tuna")
        after = len((await self.fleet.fetch_worker_record(worker))["tasks"])
        self.assertEqual(before, after)

    async def test_concurrent_writes_of_operators(self) -> None:
        # Guards against lost updates: a write with an outdated revision must be
        # refused.
        async def write_limit(entry, value: int) -> int:
            path = "/v1/records/teams/tuna"
            found = json.loads(
                (await self.fleet.send_operator_request(entry, "GET", path)).body
            )
            response = await self.fleet.send_operator_request(
                entry, "PUT", path, {"limit": value}, If_Match=str(found["revision"])
            )
            return response.code

        for entry in self.entries:
            await self.fleet.wait_for_writer(entry)
        codes = await asyncio.gather(
            *(
                write_limit(entry, 10 + number)
                for number, entry in enumerate(self.entries * 4)
            )
        )
        self.assertEqual(set(codes), {200, 412})


class ForwardingStopTest(FleetCase):
    shape = FleetShape(zones=("zone-a",), entries_per_zone=2, run_time=2.0)

    async def test_stop_waits_for_forwarded_requests(self) -> None:
        # Guards against requests that are cut off when the instance that forwards them
        # to the home of the pool stops.
        homes: set[str] = set()

        async def has_one_home() -> bool:
            homes.clear()
            for entry in self.entries:
                for item in (await self.fleet.fetch_status(entry))["instances"]:
                    if "labels" in item["status"]["pools"]:
                        homes.add(item["status"]["instance"])
            return len(homes) == 1

        await self.fleet.wait_until(has_one_home, "the pool has a single home", 10)
        forwarder = next(entry for entry in self.entries if entry.name not in homes)
        requests = [
            asyncio.create_task(
                self.fleet.send_caller_request(forwarder, "labels", "tuna")
            )
            for _ in range(3)
        ]
        await asyncio.sleep(0.3)
        code = await asyncio.to_thread(self.find_process(forwarder).stop, 30)
        responses = [(await request).code for request in requests]
        self.assertEqual((code, responses), (0, [200] * 3))
