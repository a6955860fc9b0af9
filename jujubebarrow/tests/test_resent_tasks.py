"""Tasks that the HTTP client sends twice as a connection is reset."""

import unittest
from dataclasses import replace

from jujubebarrow.errors.exceptions import DispatchError
from jujubebarrow.tests.fakes.resetting_servers import (
    ResettingServer,
    Response,
    ServerRequest,
)
from jujubebarrow.upstreams.http_upstream_clients import HttpUpstreamClient
from jujubebarrow.upstreams.upstream_clients import TaskRequest

TASK = TaskRequest(
    task="t-1",
    queue="labels",
    team="tuna",
    key="k-1",
    body=b"{}",
    content_type="application/json",
    timeout=2.0,
    lease_end=100.0,
    is_resend_forbidden=False,
)
REFUSAL = 503, b"", "Task-Started: no"


class ResentTaskTest(unittest.IsolatedAsyncioTestCase):
    async def run_twice(self, responses: list[Response], task: TaskRequest) -> None:
        """Run a task with the first response, and again with the others."""

        def respond(request: ServerRequest) -> Response:
            self.request_count += 1
            return responses.pop(0)

        self.request_count = 0
        server = ResettingServer(respond)
        self.addAsyncCleanup(server.close)
        client = HttpUpstreamClient(2.0)
        self.addCleanup(client.close)
        address = await server.open()
        await client.run(address, task)
        if not responses[1:]:
            server.stop_listening()
        await client.run(address, task)

    async def test_task_whose_second_copy_is_refused_may_have_started(self) -> None:
        with self.assertRaises(DispatchError) as caught:
            await self.run_twice([(200, b""), None, REFUSAL], TASK)
        self.assertEqual(self.request_count, 3)
        self.assertTrue(caught.exception.may_have_started)

    async def test_task_whose_second_copy_finds_no_server_may_have_started(
        self,
    ) -> None:
        with self.assertRaises(DispatchError) as caught:
            await self.run_twice([(200, b""), None], TASK)
        self.assertEqual(self.request_count, 2)
        self.assertTrue(caught.exception.may_have_started)

    async def test_task_without_a_body_is_not_sent_again(self) -> None:
        with self.assertRaises(DispatchError) as caught:
            await self.run_twice([(200, b""), None, REFUSAL], replace(TASK, body=b""))
        self.assertEqual(self.request_count, 2)
        self.assertTrue(caught.exception.may_have_started)

    async def test_task_that_was_sent_once_and_refused_has_not_started(self) -> None:
        with self.assertRaises(DispatchError) as caught:
            await self.run_twice([(200, b""), REFUSAL], TASK)
        self.assertFalse(caught.exception.may_have_started)
