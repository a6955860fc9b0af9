"""Base class of handlers that receive a request body of limited size."""

from tornado.web import stream_request_body

from jujubebarrow.callers.base_handlers import BaseHandler
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind


@stream_request_body
class BodyHandler(BaseHandler):
    """Collects the request body and refuses requests over the size limit.

    A request whose Content-Length exceeds the limit is refused before the body is read.
    """

    body_limit: int
    _chunks: list[bytes]
    _received_byte_count: int

    def prepare(self) -> None:
        """Check the Content-Length header before the body is received."""
        self._chunks = []
        self._received_byte_count = 0
        length = self.request.headers.get("Content-Length", "0")
        if not length.isdigit():
            raise RefusalError(ErrorKind.BAD_REQUEST, "Content-Length")
        self._require_length_within_limit(int(length))

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk to the body unless the body exceeds the limit."""
        self._received_byte_count += len(chunk)
        if self._received_byte_count <= self.body_limit:
            self._chunks.append(chunk)

    @property
    def body(self) -> bytes:
        """Complete request body.

        Raises:
            RefusalError: The body exceeds the size limit.
        """
        self._require_length_within_limit(self._received_byte_count)
        return b"".join(self._chunks)

    def _require_length_within_limit(self, length: int) -> None:
        if length > self.body_limit:
            raise RefusalError(ErrorKind.BODY_TOO_LARGE, f"limit {self.body_limit}")

    def on_connection_close(self) -> None:
        """Count connections that close before the response is sent."""
        self.metrics.count("connection_closed_early")
