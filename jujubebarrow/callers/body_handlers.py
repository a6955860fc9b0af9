"""Base of handlers that receive a body of bounded size."""

from tornado.web import stream_request_body

from jujubebarrow.callers.base_handlers import BaseHandler
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind


@stream_request_body
class BodyHandler(BaseHandler):
    """Collects the body and refuses it as soon as it is known to be too large."""

    body_limit: int
    _chunks: list[bytes]
    _received: int

    def prepare(self) -> None:
        """Check the announced length before the body is read."""
        self._chunks = []
        self._received = 0
        length = self.request.headers.get("Content-Length", "0")
        if not length.isdigit():
            raise RefusalError(ErrorKind.BAD_REQUEST, "Content-Length")
        self._check_length(int(length))

    def data_received(self, chunk: bytes) -> None:
        """Take in a part of the body."""
        self._received += len(chunk)
        if self._received <= self.body_limit:
            self._chunks.append(chunk)

    @property
    def body(self) -> bytes:
        """Whole body.

        Raises:
            RefusalError: The body was too large.
        """
        self._check_length(self._received)
        return b"".join(self._chunks)

    def _check_length(self, length: int) -> None:
        if length > self.body_limit:
            raise RefusalError(ErrorKind.BODY_TOO_LARGE, f"limit {self.body_limit}")

    def on_connection_close(self) -> None:
        """Count callers that leave before their answer."""
        self.metrics.count("connection_closed_early")
