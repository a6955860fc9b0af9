"""Client of the operators' interface."""

import json
from typing import Any, TypeVar
from uuid import uuid4

from pydantic import BaseModel
from tornado.httpclient import HTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from jujubebarrow.commands.failures import CommandError, ExitCode

TIMEOUT_SECONDS = 30.0
REPEATS = 3

_D = TypeVar("_D", bound=BaseModel)


class OperatorClient:
    """Calls the operators' interface of one entry instance.

    Args:
        url: Base address.
        key: Operators' key.
    """

    def __init__(self, url: str, key: str):
        self._url = url.rstrip("/")
        self._key = key
        self._client = HTTPClient()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def get(self, path: str, document: type[_D]) -> _D:
        """Return a document.

        Raises:
            CommandError: There is no such document, or no answer.
        """
        response = self._fetch("GET", path, None, {})
        return document.model_validate_json(response.body)

    def change(
        self,
        method: str,
        path: str,
        document: type[_D],
        body: BaseModel | dict[str, Any] | None = None,
        revision: int | None = None,
    ) -> _D:
        """Make a change once, also if its answer is lost.

        Args:
            method: HTTP method.
            path: Path.
            document: Type of the answer.
            body: Document to send.
            revision: Revision that was read; 0 for a new record.

        Raises:
            CommandError: The change was refused, or it is unknown whether it
                was made.
        """
        headers = {"Idempotency-Key": uuid4().hex}
        if revision == 0:
            headers["If-None-Match"] = "*"
        elif revision is not None:
            headers["If-Match"] = f'"{revision}"'
        data = _encode(body) if method != "DELETE" else None
        response = self._fetch(method, path, data, headers)
        return document.model_validate_json(response.body)

    def _fetch(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> HTTPResponse:
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            headers=headers | {"Authorization": f"Bearer {self._key}"},
            request_timeout=TIMEOUT_SECONDS,
        )
        for repeat in range(REPEATS):
            try:
                response = self._client.fetch(request, raise_error=False)
            except (OSError, HTTPClientError) as error:
                if repeat == REPEATS - 1:
                    raise CommandError(
                        ExitCode.UNREACHABLE, f"{self._url} does not answer: {error}"
                    ) from error
                continue
            # The same change id makes a repeat safe.
            if not _is_unknown(response) or repeat == REPEATS - 1:
                break
        _check(response)
        return response


def _encode(body: BaseModel | dict[str, Any] | None) -> bytes:
    if isinstance(body, BaseModel):
        return body.model_dump_json().encode()
    return json.dumps(body or {}).encode()


def _is_unknown(response: HTTPResponse) -> bool:
    return response.code >= 400 and response.headers.get("Run-State") == "unknown"


def _check(response: HTTPResponse) -> None:
    if response.code < 400:
        return
    try:
        problem = json.loads(response.body)
        text = f"{problem['title']} {problem['detail']}".strip()
    except (ValueError, KeyError):
        text = f"status {response.code}"
    code = ExitCode.UNKNOWN if _is_unknown(response) else ExitCode.REFUSED
    raise CommandError(code, text)
