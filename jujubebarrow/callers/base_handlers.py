"""Base class of all HTTP handlers."""

from math import ceil
from typing import Any
from uuid import uuid4

from loguru import logger
from pydantic import BaseModel
from tornado.web import HTTPError, RequestHandler

from jujubebarrow.callers.problems import MEDIA_TYPE, make_problem
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.metrics.registries import MetricsRegistry

ERROR_KINDS_BY_STATUS = {
    400: ErrorKind.BAD_REQUEST,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.BAD_REQUEST,
    413: ErrorKind.BODY_TOO_LARGE,
}


class BaseHandler(RequestHandler):
    """Sends each error as problem details (RFC 9457) and counts the error."""

    metrics: MetricsRegistry
    request_id: str

    def initialize(self, metrics: MetricsRegistry) -> None:
        """Set the metrics registry that counts refusals."""
        self.metrics = metrics
        self.request_id = uuid4().hex[:16]

    def set_default_headers(self) -> None:
        """Omit the Server header that the library adds."""
        self.clear_header("Server")

    def send_refusal(self, error: RefusalError) -> None:
        """Send a refusal as problem details and count the refusal."""
        self.metrics.count("refused", error.kind.value)
        self.metrics.count("refused_run", error.run.value)
        self.set_status(error.response.status)
        self.set_header("Content-Type", MEDIA_TYPE)
        self.set_header("Request-Id", self.request_id)
        self.set_header("Run-State", error.run.value)
        if error.response.is_retryable:
            self.set_header("Retry-After", str(ceil(error.retry_after or 1.0)))
        if error.response.status == 401:
            self.set_header("WWW-Authenticate", "Bearer")
        self.finish(make_problem(error, self.request_id).model_dump_json())

    def send_document(self, document: BaseModel, status: int = 200) -> None:
        """Send a document as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(document.model_dump_json())

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an exception as problem details."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, RefusalError):
            self.send_refusal(error)
            return
        kind = ERROR_KINDS_BY_STATUS.get(status_code, ErrorKind.INTERNAL)
        detail = error.reason or "" if isinstance(error, HTTPError) else ""
        self.send_refusal(RefusalError(kind, detail))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log exceptions other than refusals and HTTP errors."""
        if isinstance(value, (RefusalError, HTTPError)):
            return
        logger.opt(exception=(typ, value, tb)).error(
            "unexpected error while handling a request"
        )


class UnknownPathHandler(BaseHandler):
    """Refuses requests for unknown paths."""

    def prepare(self) -> None:
        """Send a not-found refusal."""
        self.send_refusal(RefusalError(ErrorKind.NOT_FOUND, "no such path"))
