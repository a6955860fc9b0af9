"""Upstreams over HTTP."""

from typing import Any

import pycurl
from pydantic import BaseModel, ValidationError
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPResponse

from jujubebarrow.errors.exceptions import DispatchError
from jujubebarrow.upstreams.upstreams import (
    TaskAnswer,
    TaskRequest,
    UpstreamReport,
    Upstreams,
)

CONNECTION_LIMIT = 512
NOT_SENT_CODES = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)
DEFAULT_TYPE = "application/octet-stream"


class _Report(BaseModel):
    running: int
    draining: bool


def _allow_reuse(curl: Any) -> None:
    # Handles keep their options from one request to the next.
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.FORBID_REUSE, 0)


def _forbid_reuse(curl: Any) -> None:
    # On a reused connection that the upstream closes without an answer, the
    # library sends the request again by itself.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    # Kept open, such connections would only add up at the upstream.
    curl.setopt(pycurl.FORBID_REUSE, 1)


class HttpUpstreams(Upstreams):
    """Client of the upstreams' HTTP interface.

    Args:
        command_timeout: Timeout of probes and commands in seconds.
    """

    def __init__(self, command_timeout: float):
        self._timeout = command_timeout
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=CONNECTION_LIMIT
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def run(self, address: str, task: TaskRequest) -> TaskAnswer:
        """Run a task."""
        response = await self._fetch(
            f"http://{address}/run/{task.queue}",
            method="POST",
            body=task.body,
            headers=_task_headers(task),
            request_timeout=max(0.001, task.timeout),
            connect_timeout=max(0.001, min(self._timeout, task.timeout)),
            prepare_curl_callback=_forbid_reuse if task.once else _allow_reuse,
        )
        if response.headers.get("Task-Started") == "no":
            reason = response.headers.get("Task-Refusal", "refused")
            raise DispatchError(reason, started=False, refusal=reason)
        return TaskAnswer(
            response.code,
            response.headers.get("Content-Type", DEFAULT_TYPE),
            response.body,
        )

    async def probe(self, address: str) -> UpstreamReport:
        """Return what an upstream says of itself."""
        response = await self._command(f"http://{address}/state", method="GET")
        try:
            report = _Report.model_validate_json(response.body)
        except ValidationError as error:
            raise DispatchError("unreadable state", started=False) from error
        return UpstreamReport(report.running, report.draining)

    async def drain(self, address: str) -> None:
        """Tell an upstream to refuse new tasks."""
        await self._command(f"http://{address}/drain", method="POST", body=b"")

    async def resume(self, address: str) -> None:
        """Tell an upstream to take tasks again."""
        await self._command(f"http://{address}/drain", method="DELETE")

    async def reboot(self, address: str) -> None:
        """Reboot an upstream that runs nothing."""
        await self._command(f"http://{address}/reboot", method="POST", body=b"")

    async def _command(self, url: str, **options: Any) -> HTTPResponse:
        return await self._fetch(
            url,
            request_timeout=self._timeout,
            connect_timeout=self._timeout,
            **options,
        )

    async def _fetch(self, url: str, **options: Any) -> HTTPResponse:
        try:
            return await self._client.fetch(
                url, raise_error=False, follow_redirects=False, **options
            )
        except HTTPClientError as error:
            raise _dispatch_error(error) from error


def _task_headers(task: TaskRequest) -> dict[str, str]:
    return {
        "Content-Type": task.content_type,
        "Task-Id": task.task,
        "Task-Team": task.team,
        "Task-Key": task.key,
        "Task-Lease": f"{task.lease_end:.3f}",
        "Expect": "",
    }


def _dispatch_error(error: HTTPClientError) -> DispatchError:
    if not isinstance(error, CurlError) or not isinstance(error.errno, int):
        return DispatchError(type(error).__name__, started=True)
    return DispatchError(
        f"curl {error.errno}",
        started=error.errno not in NOT_SENT_CODES,
        timed_out=error.errno == pycurl.E_OPERATION_TIMEDOUT,
    )
