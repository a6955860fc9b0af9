"""HTTP client with persistent connections."""

from asyncio import CancelledError, Future, shield
from dataclasses import dataclass
from io import BytesIO
from logging import getLogger
from typing import Any

from pycurl import (
    E_COULDNT_CONNECT,
    E_OPERATION_TIMEDOUT,
    M_MAXCONNECTS,
    WRITEFUNCTION,
    Curl,
)
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from jujubebarrow.errors.exceptions import JujubebarrowError
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.links.traffic_kinds import TrafficKind
from jujubebarrow.transports.request_bodies import RequestBody

CONNECT_TIMEOUT_TEXT = "Connection timed out"
"""Part of curl's error message for a timeout before the connection was established."""

BODY_LIMIT_BYTES = 100 * 1024 * 1024
"""Largest response body; a larger one fails the call."""

CONNECT_THRESHOLD_SECONDS = 0.0001
"""Time to connect from which on a call counts as having opened a connection; it is
next to nothing on a kept connection."""

_logger = getLogger(__name__)


class HttpCallError(JujubebarrowError):
    """An HTTP call got no response.

    Args:
        detail: Error message of the HTTP client.
        may_have_arrived: Whether the server may have received the request.
        received_bytes: Size of the part of the response body that arrived.
        has_timed_out: Whether the timeout ended the call.
        was_resent: Whether the request was sent again after a reset.
        is_refused: Whether nothing listens at the address.
    """

    def __init__(
        self,
        detail: str,
        may_have_arrived: bool,
        received_bytes: int = 0,
        has_timed_out: bool = False,
        was_resent: bool = False,
        is_refused: bool = False,
    ):
        super().__init__(detail)
        self.may_have_arrived = may_have_arrived
        self.received_bytes = received_bytes
        self.has_timed_out = has_timed_out
        self.was_resent = was_resent
        self.is_refused = is_refused

    @property
    def is_response_incomplete(self) -> bool:
        """Whether the call timed out after a part of the response had arrived."""
        return self.has_timed_out and self.received_bytes > 0


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """Response that an HTTP client received.

    Attributes:
        status: HTTP status code.
        body: Response body.
        transfer_seconds: Time from the first to the last byte of the response.
        was_resent: Whether the request was sent again after its connection was reset.
            The response is that to the second copy. Unknown, and so False, for a
            request without a body.
    """

    status: int
    body: bytes
    transfer_seconds: float = 0.0
    was_resent: bool = False


class _ResponseBody:
    """Collects a response body, so that its size is known after a failure, too."""

    def __init__(self) -> None:
        self._buffer = BytesIO()

    @property
    def size_bytes(self) -> int:
        return self._buffer.tell()

    def to_bytes(self) -> bytes:
        return self._buffer.getvalue()

    def attach(self, curl: Curl) -> None:
        curl.setopt(WRITEFUNCTION, self._write)

    def _write(self, chunk: bytes) -> int:
        if self.size_bytes + len(chunk) > BODY_LIMIT_BYTES:
            # Accepting fewer bytes than were offered makes curl fail the call.
            return 0
        return self._buffer.write(chunk)


class HttpClient:
    """HTTP client for one kind of service.

    Args:
        connection_limit: Limit on parallel calls and idle connections.
        meter: Records the traffic of the calls; None if it is not recorded.
    """

    def __init__(self, connection_limit: int, meter: LinkMeter | None = None):
        self._meter = meter
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=connection_limit
        )
        # By default curl keeps four idle connections for each call in progress, which
        # closes too many connections when few calls are in progress.
        self._client._multi.setopt(M_MAXCONNECTS, connection_limit)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
        # When calls in progress are closed, curl schedules a timeout, which would reach
        # the closed client.
        if self._client._timeout is not None:
            self._client.io_loop.remove_timeout(self._client._timeout)

    async def call(
        self,
        method: str,
        url: str,
        timeout: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        kind: TrafficKind = TrafficKind.OTHER,
        may_resend: bool = True,
    ) -> ClientResponse:
        """Send a request without retries after a timeout or a response.

        If a kept connection is reset before any byte of the response, curl sends the
        request once more on a new connection. The server may have received both copies.

        Args:
            method: HTTP method.
            url: URL of the request.
            timeout: Timeout of the whole call in seconds.
            body: Request body, or None for a request without body.
            headers: Additional request headers.
            kind: Purpose of the call.
            may_resend: Whether a request with a body may be sent once more; if not,
                the call fails.

        Raises:
            HttpCallError: The call got no response.
        """
        options: dict[str, Any] = {}
        if body is not None:
            headers = {"Content-Type": "application/json"} | (headers or {})
            options["expect_100_continue"] = False
        sent = RequestBody(body, may_resend)
        received = _ResponseBody()

        def attach(curl: Curl) -> None:
            sent.attach(curl)
            received.attach(curl)

        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers,
            connect_timeout=timeout,
            request_timeout=timeout,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=attach,
            **options,
        )
        is_new_connection = False
        if self._meter is not None:
            self._meter.record_sent(kind, len(body) if body is not None else 0)
        try:
            response = await self._fetch(request)
            times = response.time_info
            connect_seconds = times.get("connect", 0.0) - times.get("namelookup", 0.0)
            is_new_connection = connect_seconds > CONNECT_THRESHOLD_SECONDS
        except (HTTPClientError, OSError) as error:
            raise _make_call_error(error, sent, received) from error
        finally:
            if self._meter is not None:
                self._meter.record_received(kind, received.size_bytes)
                self._meter.record_call(kind, is_new_connection)
        if response.code == 599:
            raise _make_call_error(response.error, sent, received)
        return ClientResponse(
            response.code,
            received.to_bytes(),
            max(0.0, times.get("total", 0.0) - times.get("starttransfer", 0.0)),
            sent.was_reread,
        )

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        future: Future[HTTPResponse] = self._client.fetch(request, raise_error=False)
        try:
            # Tornado logs a traceback for a call that fails after its future was
            # cancelled.
            return await shield(future)
        except CancelledError:
            future.add_done_callback(_log_abandoned_call)
            raise


def _log_abandoned_call(future: Future[HTTPResponse]) -> None:
    error = None if future.cancelled() else future.exception()
    if error is not None:
        _logger.info("abandoned call failed: %s", error)


def _make_call_error(
    error: BaseException | None, sent: RequestBody, received: _ResponseBody
) -> HttpCallError:
    errno = error.errno if isinstance(error, CurlError) else None
    has_timed_out = errno == E_OPERATION_TIMEDOUT
    # If a kept connection is reset, curl repeats the request on a new connection and
    # reports only the failure of the latter.
    may_have_arrived = sent.was_read or _may_have_arrived(error)
    return HttpCallError(
        str(error),
        may_have_arrived,
        received.size_bytes,
        has_timed_out,
        sent.was_reread,
        errno == E_COULDNT_CONNECT,
    )


def _may_have_arrived(error: BaseException | None) -> bool:
    if not isinstance(error, CurlError):
        return True
    if error.errno == E_COULDNT_CONNECT:
        return False
    return not (
        error.errno == E_OPERATION_TIMEDOUT and CONNECT_TIMEOUT_TEXT in str(error)
    )
