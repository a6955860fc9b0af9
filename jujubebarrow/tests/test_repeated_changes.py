"""Changes by operators that the command line sends again after a lost response."""

import asyncio
import unittest
from collections.abc import Callable

from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.commands.failures import CommandError, ExitCode
from jujubebarrow.operators.record_documents import CommittedChange
from jujubebarrow.tests.fakes.resetting_servers import ResettingServer, ServerRequest

Command = Callable[[OperatorClient], None]
Response = tuple[int, bytes, str] | None
CONFLICT = 412, b"{}", "Run-State: not-run"
NOT_READY = 503, b"{}", "Run-State: not-run"
UNCLEAR = 503, b"{}", "Run-State: unknown"


class RepeatedChangeTest(unittest.IsolatedAsyncioTestCase):
    async def send(self, command: Command, *responses: Response) -> ExitCode:
        """Return the exit code of a command that the instance answers as given."""
        remaining = list(responses)

        def respond(request: ServerRequest) -> Response:
            return remaining.pop(0)

        server = ResettingServer(respond)
        self.addAsyncCleanup(server.close)
        url = f"http://{await server.open()}"
        with self.assertRaises(CommandError) as caught:
            await asyncio.to_thread(_send, command, url)
        self.assertEqual(remaining, [])
        return caught.exception.code

    async def test_refusal_after_a_lost_response_does_not_tell_that_nothing_was_made(
        self,
    ) -> None:
        for refusal in (CONFLICT, NOT_READY):
            for first in (None, UNCLEAR):
                with self.subTest(first=first, refusal=refusal):
                    code = await self.send(_change, first, refusal)
                    self.assertIs(code, ExitCode.UNKNOWN)

    async def test_refusal_of_the_only_attempt_is_told_as_a_refusal(self) -> None:
        self.assertIs(await self.send(_change, CONFLICT), ExitCode.REFUSED)

    async def test_read_without_a_response_makes_no_change(self) -> None:
        code = await self.send(_read, None, NOT_READY)
        self.assertIs(code, ExitCode.REFUSED)


def _send(command: Command, url: str) -> None:
    client = OperatorClient(url, "key")
    try:
        command(client)
    finally:
        client.close()


def _change(client: OperatorClient) -> None:
    client.change("PUT", "/v1/records/teams/tuna", CommittedChange)


def _read(client: OperatorClient) -> None:
    client.get("/v1/status", CommittedChange)
