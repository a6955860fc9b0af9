"""Tests of the command line against a fleet of real processes."""

import asyncio
import json
import os
import sys
import tempfile
import unittest
from pathlib import Path

from jujubebarrow.commands.failures import ExitCode
from jujubebarrow.settings.loaders import check_settings
from jujubebarrow.standins.fleets import OPERATOR_KEY, FleetShape
from jujubebarrow.standins.ports import LOOPBACK
from jujubebarrow.tests.fleet_cases import FleetCase

VALID_SETTINGS = {
    "instance": "entry-0",
    "zone": "zone-a",
    "address": "127.0.0.1",
    "caller_port": 8080,
    "operator_port": 8081,
    "peer_port": 8082,
    "platform_url": "http://127.0.0.1:9000",
    "peer_secret": "a secret of sixteen",
    "operator_key_digest": "0" * 64,
}


async def run_command(*arguments: str, **environment: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "jujubebarrow.commands.main",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | environment,
    )
    output, errors = await process.communicate()
    return process.returncode or 0, output.decode(), errors.decode()


class CommandsTest(FleetCase):
    shape = FleetShape(zones=("zone-a",), entries_per_zone=2)

    async def run_operator_command(self, *arguments: str) -> tuple[int, str, str]:
        return await run_command(
            *arguments,
            JUJUBEBARROW_OPERATOR=f"http://{LOOPBACK}:{self.entries[0].operator_port}",
            JUJUBEBARROW_OPERATOR_KEY=OPERATOR_KEY,
        )

    async def run_ok(self, *arguments: str) -> str:
        code, output, errors = await self.run_operator_command(*arguments)
        self.assertEqual((code, errors), (0, ""))
        return output

    async def test_operator_session(self) -> None:
        # Guards against commands that no longer match the operators' interface, and
        # against errors that exit with the code for success.
        output = await self.run_ok("status")
        self.assertIn("entry-zone-a-1", output)
        self.assertIn("preset ordinary", output)
        status = json.loads(await self.run_ok("status", "--json"))
        self.assertEqual(len(status["instances"]), 2)
        await self.run_ok("set", "teams", "prawn", "share=2", "limit=4")
        shown = json.loads(await self.run_ok("show", "teams", "prawn", "--json"))
        expected = {"share": 2.0, "limit": 4, "job_cores": 0}
        self.assertEqual(shown["value"], expected)
        await self.run_ok("set", "teams", "prawn", "limit=5")
        self.assertIn("prawn", await self.run_ok("list", "teams"))
        key, digest = (await self.run_ok("key", "grant", "prawn")).split("\n")[:2]
        self.fleet.keys["prawn"] = key.strip()
        response = await self.fleet.send_caller_request(
            self.entries[0], "labels", "prawn"
        )
        self.assertEqual(response.code, 200)
        await self.run_ok("key", "withdraw", digest.split()[1])
        response = await self.fleet.send_caller_request(
            self.entries[0], "labels", "prawn"
        )
        self.assertEqual(response.code, 401)
        self.assertIn("withdrawn", await self.run_ok("explain", "prawn"))
        await self.run_ok("set", "presets", "peak", 'sizes={"labels": 2}')
        self.assertIn("labels", await self.run_ok("preset", "plan", "peak"))
        await self.run_ok("preset", "use", "peak")
        await self._check_job_commands()
        await self._check_refusals()

    async def _check_job_commands(self) -> None:
        entry = self.entries[0]
        url = f"http://{LOOPBACK}:{entry.caller_port}/v1/queues/labels/jobs"
        body = {"payload": "long", "steps": [{"long_running": True}]}
        key = f"Bearer {self.fleet.keys['tuna']}"
        response = await self.fleet.fetch("POST", url, body, Authorization=key)
        self.assertEqual(response.code, 202)
        job = json.loads(response.body)["id"]
        self.assertIn(job, await self.run_ok("job", "list"))
        shown = json.loads(await self.run_ok("job", "show", "labels", job, "--json"))
        self.assertEqual((shown["team"], shown["tasks"]), ("tuna", 1))
        await self.run_ok("job", "cancel", "labels", job)
        code, _, errors = await self.run_operator_command(
            "job", "show", "labels", "0" * 16
        )
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertIn("no such resource", errors)

    async def _check_refusals(self) -> None:
        code, _, errors = await self.run_operator_command("delete", "teams", "prawn")
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertIn("used by", errors)
        code, _, errors = await self.run_operator_command(
            "set", "teams", "prawn", "share=-1"
        )
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertIn("share: Input should be greater than 0", errors)
        code, _, errors = await self.run_operator_command("preset", "use", "none")
        self.assertEqual(code, ExitCode.REFUSED)
        code, _, errors = await run_command(
            "status",
            JUJUBEBARROW_OPERATOR=f"http://{LOOPBACK}:1",
            JUJUBEBARROW_OPERATOR_KEY="x",
        )
        self.assertEqual(code, ExitCode.UNREACHABLE)
        code, _, errors = await run_command("status", JUJUBEBARROW_OPERATOR="")
        self.assertEqual(code, ExitCode.USAGE)


class CheckTest(unittest.IsolatedAsyncioTestCase):
    async def run_check(self, text: str) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(text)
            code, output, errors = await run_command("check", str(path))
        return code, output + errors

    async def test_valid_file_with_comments_is_accepted(self) -> None:
        text = json.dumps(VALID_SETTINGS).replace("{", "{ // this instance\n", 1)
        code, output = await self.run_check(text)
        self.assertEqual((code, output), (0, "entry-0 in zone-a: no faults\n"))

    async def test_every_fault_is_reported(self) -> None:
        invalid = VALID_SETTINGS | {
            "zone": "",
            "caller_port": 0,
            "speed": 1,
            "key_freshness": 99,
        }
        code, output = await self.run_check(json.dumps(invalid))
        self.assertEqual(code, ExitCode.USAGE)
        for expected in ("zone:", "caller_port: 0:", "speed: unknown", "(unit: s)"):
            self.assertIn(expected, output)

    async def test_file_that_is_not_json_is_refused(self) -> None:
        code, output = await self.run_check("{")
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("is not JSON with comments", output)

    def test_faults_do_not_contain_secrets(self) -> None:
        with self.assertRaises(Exception) as caught:
            check_settings(VALID_SETTINGS | {"peer_secret": "short-secret"})
        self.assertNotIn("short-secret", str(caught.exception))
