"""HTTP client of the upstreams' task interface."""

from typing import Any

import pycurl
from pycurl import Curl
from pydantic import BaseModel, ValidationError
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPResponse

from jujubebarrow.errors.exceptions import DispatchError
from jujubebarrow.transports.request_bodies import RequestBody
from jujubebarrow.upstreams.upstream_clients import (
    TaskRequest,
    TaskResponse,
    UpstreamClient,
    UpstreamReport,
)

CONNECTION_LIMIT = 512
NOT_SENT_CURL_CODES = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)
DEFAULT_MEDIA_TYPE = "application/octet-stream"


class _StateResponse(BaseModel):
    running: int
    draining: bool


def _allow_reuse(curl: Any) -> None:
    # Each request sets both options, because the library reuses curl handles and a
    # handle keeps its options between requests.
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.FORBID_REUSE, 0)


def _forbid_reuse(curl: Any) -> None:
    # A fresh connection is used, because the library sends the request a second time
    # if the upstream closes a reused connection without a response.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    # The connection is closed after the response, because unused open connections would
    # accumulate at the upstream.
    curl.setopt(pycurl.FORBID_REUSE, 1)


class HttpUpstreamClient(UpstreamClient):
    """HTTP client that sends tasks, probes and commands to upstreams.

    Args:
        command_timeout: Timeout of probes and commands in seconds.
    """

    def __init__(self, command_timeout: float):
        self._command_timeout = command_timeout
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=CONNECTION_LIMIT
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def run(self, address: str, task: TaskRequest) -> TaskResponse:
        """Run a task on an upstream and return its response."""
        body = RequestBody(task.body, may_resend=True)
        # Nothing shows whether a request without a body was sent again.
        is_reused = bool(task.body) and not task.is_resend_forbidden

        def prepare(curl: Curl) -> None:
            body.attach(curl)
            (_allow_reuse if is_reused else _forbid_reuse)(curl)

        try:
            response = await self._fetch(
                f"http://{address}/run/{task.queue}",
                method="POST",
                body=task.body,
                headers=_make_task_headers(task),
                request_timeout=max(0.001, task.timeout),
                connect_timeout=max(0.001, min(self._command_timeout, task.timeout)),
                prepare_curl_callback=prepare,
            )
        except DispatchError as error:
            # The failure may be that of the second copy only.
            error.may_have_started = error.may_have_started or body.was_reread
            raise
        if response.headers.get("Task-Started") == "no":
            reason = response.headers.get("Task-Refusal", "refused")
            if body.was_reread:
                raise DispatchError(f"{reason}, request resent", may_have_started=True)
            raise DispatchError(reason, may_have_started=False, refusal=reason)
        return TaskResponse(
            response.code,
            response.headers.get("Content-Type", DEFAULT_MEDIA_TYPE),
            response.body,
        )

    async def probe(self, address: str) -> UpstreamReport:
        """Return the state that an upstream reports."""
        response = await self._send_command(f"http://{address}/state", method="GET")
        try:
            state = _StateResponse.model_validate_json(response.body)
        except ValidationError as error:
            raise DispatchError("unreadable state", may_have_started=False) from error
        return UpstreamReport(state.running, state.draining)

    async def drain(self, address: str) -> None:
        """Order an upstream to refuse new tasks."""
        await self._send_command(f"http://{address}/drain", method="POST", body=b"")

    async def resume(self, address: str) -> None:
        """Order an upstream to accept tasks again."""
        await self._send_command(f"http://{address}/drain", method="DELETE")

    async def reboot(self, address: str) -> None:
        """Reboot an upstream that runs no task."""
        await self._send_command(f"http://{address}/reboot", method="POST", body=b"")

    async def _send_command(self, url: str, **options: Any) -> HTTPResponse:
        return await self._fetch(
            url,
            request_timeout=self._command_timeout,
            connect_timeout=self._command_timeout,
            **options,
        )

    async def _fetch(self, url: str, **options: Any) -> HTTPResponse:
        try:
            return await self._client.fetch(
                url, raise_error=False, follow_redirects=False, **options
            )
        except HTTPClientError as error:
            raise _make_dispatch_error(error) from error


def _make_task_headers(task: TaskRequest) -> dict[str, str]:
    return {
        "Content-Type": task.content_type,
        "Task-Id": task.task,
        "Task-Team": task.team,
        "Task-Key": task.key,
        "Task-Lease": f"{task.lease_end:.3f}",
        "Expect": "",
    }


def _make_dispatch_error(error: HTTPClientError) -> DispatchError:
    if not isinstance(error, CurlError) or not isinstance(error.errno, int):
        return DispatchError(type(error).__name__, may_have_started=True)
    return DispatchError(
        f"curl {error.errno}",
        may_have_started=error.errno not in NOT_SENT_CURL_CODES,
        timed_out=error.errno == pycurl.E_OPERATION_TIMEDOUT,
    )
