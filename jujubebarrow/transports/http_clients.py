"""HTTP client over kept connections."""

from dataclasses import dataclass
from typing import Any

from pycurl import E_COULDNT_CONNECT, E_OPERATION_TIMEDOUT, M_MAXCONNECTS
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest

from jujubebarrow.errors.exceptions import JujubebarrowError

NOT_CONNECTED = "Connection timed out"
"""How curl says that the time ran out before there was a connection."""


class HttpCallError(JujubebarrowError):
    """A call got no answer.

    Args:
        detail: What was seen.
        may_have_arrived: Whether the other side may have the request.
    """

    def __init__(self, detail: str, may_have_arrived: bool):
        super().__init__(detail)
        self.may_have_arrived = may_have_arrived


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Answer to a call.

    Attributes:
        status: HTTP status code.
        body: Body.
    """

    status: int
    body: bytes


class HttpClient:
    """Makes calls to one kind of service.

    Args:
        connections: Most calls at a time.
    """

    def __init__(self, connections: int):
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=connections)
        # The default keeps four connections a call under way, too few at rest.
        self._client._multi.setopt(M_MAXCONNECTS, connections)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def call(
        self,
        method: str,
        url: str,
        timeout: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer:
        """Make a call once.

        Args:
            method: HTTP method.
            url: Address.
            timeout: Longest time in seconds.
            body: Body, or None.
            headers: Headers beside those of every call.

        Raises:
            HttpCallError: No answer.
        """
        options: dict[str, Any] = {}
        if body is not None:
            headers = {"Content-Type": "application/json"} | (headers or {})
            options["expect_100_continue"] = False
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
            **options,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            raise HttpCallError(str(error), _may_have_arrived(error)) from error
        if response.code == 599:
            error = response.error
            raise HttpCallError(str(error), _may_have_arrived(error))
        return HttpAnswer(response.code, response.body)


def _may_have_arrived(error: BaseException | None) -> bool:
    if not isinstance(error, CurlError):
        return True
    if error.errno == E_COULDNT_CONNECT:
        return False
    return not (error.errno == E_OPERATION_TIMEDOUT and NOT_CONNECTED in str(error))
