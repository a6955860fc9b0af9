"""Jobs submitted through the caller interface, run by real processes.

The tests guard against jobs that are lost, run twice, run although they were refused
or cancelled, exceed their team's limit, or are visible to other teams.
"""

import asyncio
import json
from typing import Any

from tornado.httpclient import HTTPResponse

from jujubebarrow.callers.job_handlers import make_job_id
from jujubebarrow.standins.fleets import EntryInstance, FleetShape
from jujubebarrow.standins.ports import LOOPBACK
from jujubebarrow.tests.fleet_cases import FleetCase

STEP = {"count": 2, "cores": 0.5, "estimate": 0.5}
RUN_SECONDS = 1.0
TIMEOUT_SECONDS = 20.0
"""Time limit for a job of two steps on a busy machine, including a takeover of 4 s."""


class JobInterfaceTest(FleetCase):
    shape = FleetShape(
        zones=("zone-a", "zone-b"), entries_per_zone=1, run_time=RUN_SECONDS
    )

    async def submit(
        self, entry: EntryInstance, queue: str, team: str, body: Any, **headers: str
    ) -> HTTPResponse:
        url = f"http://{LOOPBACK}:{entry.caller_port}/v1/queues/{queue}/jobs"
        if team:
            headers["Authorization"] = f"Bearer {self.fleet.keys[team]}"
        return await self.fleet.fetch("POST", url, body, **headers)

    async def send_request(
        self, entry: EntryInstance, method: str, path: str, team: str
    ) -> tuple[int, dict[str, Any]]:
        url = f"http://{LOOPBACK}:{entry.caller_port}{path}"
        key = f"Bearer {self.fleet.keys[team]}"
        response = await self.fleet.fetch(method, url, Authorization=key)
        return response.code, json.loads(response.body or b"{}")

    async def submit_until_accepted(
        self, queue: str, team: str, payload: str, steps: list[Any], **headers: str
    ) -> str:
        """Submit a job until it is accepted; return the job's path."""
        body = {"payload": payload, "steps": steps}
        path = ""

        async def is_accepted() -> bool:
            nonlocal path
            response = await self.submit(self.entries[0], queue, team, body, **headers)
            if response.code != 202:
                return False
            path = response.headers["Location"]
            return True

        await self.fleet.wait_until(is_accepted, "job accepted", TIMEOUT_SECONDS)
        return path

    async def wait_for_state(self, entry: EntryInstance, path: str, state: str) -> None:
        async def is_in_state() -> bool:
            code, document = await self.send_request(entry, "GET", path, "tuna")
            return code == 200 and document["state"] == state

        await self.fleet.wait_until(is_in_state, f"job {state}", TIMEOUT_SECONDS)

    async def list_runs(self, payload: str) -> list[dict[str, Any]]:
        tasks = await self.fleet.fetch_started_tasks()
        return [task for task in tasks if task["key"] == payload]

    async def test_job_is_reported_by_every_instance_and_runs_once(self) -> None:
        steps = [STEP, STEP | {"after": [0]}]
        path = await self.submit_until_accepted(
            "labels", "tuna", "twice", steps, Idempotency_Key="k"
        )
        repeated_path = await self.submit_until_accepted(
            "labels", "tuna", "twice", steps, Idempotency_Key="k"
        )
        self.assertEqual(path, repeated_path)
        self.assertTrue(path.endswith(make_job_id("tuna", "labels", "k")))
        for entry in self.entries:
            await self.wait_for_state(entry, path, "completed")
        runs = await self.list_runs("twice")
        self.assertEqual(len(runs), 4)
        first_step_end = max(run["ended"] for run in runs if ".0.0." in run["task"])
        second = [run for run in runs if ".0.1." in run["task"]]
        self.assertTrue(all(run["started"] >= first_step_end for run in second))

    async def test_task_finished_while_owner_is_dead_does_not_run_again(self) -> None:
        # The tasks finish on their workers while no instance is running. An earlier
        # implementation ran the job a second time on another instance.
        path = await self.submit_until_accepted("certificates", "tuna", "kill", [STEP])
        await asyncio.sleep(0.3)
        for entry in self.entries:
            self.find_process(entry).kill()
        await asyncio.sleep(RUN_SECONDS)
        for entry in self.entries:
            self.fleet.start_entry(entry)
        await self.wait_for_state(self.entries[1], path, "completed")
        self.assertEqual(len(await self.list_runs("kill")), 2)

    async def test_cancelled_job_is_stopped_and_not_restarted(self) -> None:
        path = await self.submit_until_accepted(
            "labels", "tuna", "stop", [STEP | {"long_running": True}]
        )
        await self.wait_for_state(self.entries[0], path, "running")
        for method in ("GET", "DELETE"):
            code, _ = await self.send_request(self.entries[1], method, path, "reef")
            self.assertEqual(code, 404, method)
        code, document = await self.send_request(
            self.entries[1], "DELETE", path, "tuna"
        )
        self.assertEqual(code, 200)
        await self.wait_for_state(self.entries[0], path, "cancelled")

        async def are_all_runs_ended() -> bool:
            return all(run["ended"] for run in await self.list_runs("stop"))

        await self.fleet.wait_until(
            are_all_runs_ended, "tasks stopped", TIMEOUT_SECONDS
        )
        count = len(await self.list_runs("stop"))
        await asyncio.sleep(2.0)
        self.assertEqual(len(await self.list_runs("stop")), count)

    async def test_operators_list_and_cancel_jobs_of_all_teams(self) -> None:
        path = await self.submit_until_accepted(
            "labels", "tuna", "op", [STEP | {"long_running": True}]
        )
        job_id = path.rsplit("/", 1)[1]
        entry = self.entries[0]
        listed = await self.fleet.send_operator_request(entry, "GET", "/v1/jobs")
        jobs = json.loads(listed.body)["jobs"]
        found = [(job["id"], job["team"], job["tasks"]) for job in jobs]
        self.assertEqual(found, [(job_id, "tuna", 2)])
        job_path = f"/v1/jobs/labels/{job_id}"
        response = await self.fleet.send_operator_request(entry, "DELETE", job_path)
        self.assertEqual(response.code, 200)
        await self.wait_for_state(entry, path, "cancelled")
        missing = await self.fleet.send_operator_request(
            entry, "GET", f"/v1/jobs/labels/{'0' * 16}"
        )
        self.assertEqual(missing.code, 404)

    async def test_invalid_jobs_are_refused_with_their_kind_and_never_run(self) -> None:
        await self.submit_until_accepted("labels", "tuna", "first", [STEP])
        cases: list[tuple[Any, str]] = [
            (b"{", "bad-json"),
            ({"payload": "bad"}, "bad-request"),
            ({"payload": "bad", "steps": []}, "bad-request"),
            ({"payload": "bad", "steps": [{"count": 0}]}, "bad-request"),
            ({"payload": "bad", "steps": [{"cores": -1}]}, "bad-request"),
            ({"payload": "bad", "steps": [{"after": [0]}]}, "bad-request"),
            ({"payload": "bad", "steps": [STEP], "colour": "red"}, "bad-request"),
            ({"payload": "x" * 20_000, "steps": [STEP]}, "bad-request"),
        ]
        for body, kind in cases:
            response = await self.submit(self.entries[0], "labels", "tuna", body)
            problem = json.loads(response.body)
            self.assertEqual((problem["kind"], problem["run"]), (kind, "not-run"), body)
        for queue, team, kind in (
            ("labels", "", "unauthenticated"),
            ("reef-only", "tuna", "forbidden-queue"),
            ("none", "tuna", "unknown-queue"),
        ):
            body = {"payload": "bad", "steps": [STEP]}
            response = await self.submit(self.entries[0], queue, team, body)
            self.assertEqual(json.loads(response.body)["kind"], kind)
        self.assertEqual(await self.list_runs("bad"), [])

    async def test_jobs_of_a_team_stay_within_its_upper_limit(self) -> None:
        entry = self.entries[0]
        record = {"limit": 16, "job_cores": 2}
        await self.fleet.put_record(entry, "teams", "tuna", record)
        await asyncio.sleep(1.0)
        wide = {"count": 12, "cores": 1.0, "estimate": 1.0}
        path = await self.submit_until_accepted("labels", "tuna", "wide", [wide])
        await self.wait_for_state(entry, path, "completed")
        runs = await self.list_runs("wide")
        start_times = [run["started"] for run in runs]
        for time in start_times:
            active_count = sum(run["started"] <= time < run["ended"] for run in runs)
            self.assertLessEqual(active_count, 2)
