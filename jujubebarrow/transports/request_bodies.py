"""Request bodies that show whether curl has sent a request, and how often."""

from io import BytesIO

from pycurl import READFUNCTION, SEEKFUNC_FAIL, SEEKFUNC_OK, SEEKFUNCTION, Curl


class RequestBody:
    """Supplies a request body, and tells whether any of it may have been sent.

    Args:
        data: Body; None for a request without body.
        may_resend: Whether the body may be read again.

    Attributes:
        was_read: Whether curl has read a part of the body.
        was_reread: Whether curl has gone back to the start after that, to send the
            request on another connection.
    """

    def __init__(self, data: bytes | None, may_resend: bool):
        self._buffer = BytesIO(data) if data is not None else None
        self._may_resend = may_resend
        self.was_read = False
        self.was_reread = False

    def attach(self, curl: Curl) -> None:
        """Let a transfer read the body from here."""
        if self._buffer is not None:
            curl.setopt(READFUNCTION, self._read)
            curl.setopt(SEEKFUNCTION, self._seek)

    def _read(self, size: int) -> bytes:
        assert self._buffer is not None
        self.was_read = True
        return self._buffer.read(size)

    def _seek(self, offset: int, origin: int) -> int:
        assert self._buffer is not None
        if self.was_read and not self._may_resend:
            return SEEKFUNC_FAIL
        self.was_reread = self.was_reread or self.was_read
        self._buffer.seek(offset, origin)
        return SEEKFUNC_OK
