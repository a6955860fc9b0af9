"""HTTP client of the operators' interface."""

import json
from typing import Any, TypeVar
from uuid import uuid4

from pydantic import BaseModel
from tornado.httpclient import HTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from jujubebarrow.commands.failures import CommandError, ExitCode

TIMEOUT_SECONDS = 30.0
REQUEST_ATTEMPTS = 3

_DocumentT = TypeVar("_DocumentT", bound=BaseModel)


class OperatorClient:
    """Sends requests to the operators' interface of one entry instance.

    Args:
        url: Base URL of the operators' interface.
        key: Operators' key.
    """

    def __init__(self, url: str, key: str):
        self._url = url.rstrip("/")
        self._key = key
        self._client = HTTPClient()

    def close(self) -> None:
        """Close the connections to the instance."""
        self._client.close()

    def get(self, path: str, document_type: type[_DocumentT]) -> _DocumentT:
        """Return the document at a path.

        Raises:
            CommandError: The instance refused the request or did not respond.
        """
        response = self._send_request("GET", path, None, {})
        return document_type.model_validate_json(response.body)

    def change(
        self,
        method: str,
        path: str,
        document_type: type[_DocumentT],
        body: BaseModel | dict[str, Any] | None = None,
        revision: int | None = None,
    ) -> _DocumentT:
        """Send a change that is applied at most once, even if the request is retried.

        Args:
            method: HTTP method.
            path: Path of the resource.
            document_type: Type of the document in the response.
            body: Document to send as request body; None sends an empty object.
            revision: Revision that the record must still have; 0 for a new record.

        Raises:
            CommandError: The change was refused, or the instance did not report
                whether the change was applied.
        """
        headers = {"Idempotency-Key": uuid4().hex}
        if revision == 0:
            headers["If-None-Match"] = "*"
        elif revision is not None:
            headers["If-Match"] = f'"{revision}"'
        data = _encode_body(body) if method != "DELETE" else None
        response = self._send_request(method, path, data, headers)
        return document_type.model_validate_json(response.body)

    def _send_request(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> HTTPResponse:
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            headers=headers | {"Authorization": f"Bearer {self._key}"},
            request_timeout=TIMEOUT_SECONDS,
        )
        is_change = method != "GET"
        may_be_made = False
        for attempt in range(REQUEST_ATTEMPTS):
            try:
                response = self._client.fetch(request, raise_error=False)
            except (OSError, HTTPClientError) as error:
                if attempt == REQUEST_ATTEMPTS - 1:
                    raise CommandError(
                        ExitCode.UNREACHABLE, f"no response from {self._url}: {error}"
                    ) from error
                is_unsent = isinstance(error, ConnectionRefusedError)
                may_be_made = may_be_made or (is_change and not is_unsent)
                continue
            # The idempotency key makes a retry safe if the outcome is unknown.
            if not _is_outcome_unknown(response) or attempt == REQUEST_ATTEMPTS - 1:
                break
            may_be_made = is_change
        _raise_for_status(response, may_be_made)
        return response


def _encode_body(body: BaseModel | dict[str, Any] | None) -> bytes:
    if isinstance(body, BaseModel):
        return body.model_dump_json().encode()
    return json.dumps(body or {}).encode()


def _is_outcome_unknown(response: HTTPResponse) -> bool:
    return response.code >= 400 and response.headers.get("Run-State") == "unknown"


def _raise_for_status(response: HTTPResponse, may_be_made: bool) -> None:
    if response.code < 400:
        return
    try:
        problem = json.loads(response.body)
        text = f"{problem['title']} {problem['detail']}".strip()
    except (ValueError, KeyError):
        text = f"status {response.code}"
    # The refusal of the last attempt tells nothing of those before.
    is_unknown = may_be_made or _is_outcome_unknown(response)
    raise CommandError(ExitCode.UNKNOWN if is_unknown else ExitCode.REFUSED, text)
