"""Base of all web handlers."""

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

STATUS_KINDS = {
    400: ErrorKind.BAD_REQUEST,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.BAD_REQUEST,
    413: ErrorKind.BODY_TOO_LARGE,
}


class BaseHandler(RequestHandler):
    """Answers every error as problem details and counts it."""

    metrics: MetricsRegistry
    request_id: str

    def initialize(self, metrics: MetricsRegistry) -> None:
        """Take over where refusals are counted."""
        self.metrics = metrics
        self.request_id = uuid4().hex[:16]

    def set_default_headers(self) -> None:
        """Leave out the library's own headers."""
        self.clear_header("Server")

    def refuse(self, error: RefusalError) -> None:
        """Answer with a refusal."""
        self.metrics.count("refused", error.kind.value)
        self.metrics.count("refused_run", error.run.value)
        self.set_status(error.answer.status)
        self.set_header("Content-Type", MEDIA_TYPE)
        self.set_header("Request-Id", self.request_id)
        self.set_header("Run-State", error.run.value)
        if error.answer.repeatable:
            self.set_header("Retry-After", str(ceil(error.retry_after or 1.0)))
        if error.answer.status == 401:
            self.set_header("WWW-Authenticate", "Bearer")
        self.finish(make_problem(error, self.request_id).model_dump_json())

    def answer(self, document: BaseModel, status: int = 200) -> None:
        """Answer with a document."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(document.model_dump_json())

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an exception as problem details."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, RefusalError):
            self.refuse(error)
            return
        kind = STATUS_KINDS.get(status_code, ErrorKind.INTERNAL)
        detail = error.reason or "" if isinstance(error, HTTPError) else ""
        self.refuse(RefusalError(kind, detail))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log only errors that nobody expected."""
        if isinstance(value, (RefusalError, HTTPError)):
            return
        logger.opt(exception=(typ, value, tb)).error("request failed")


class UnknownPathHandler(BaseHandler):
    """Answers requests for paths that do not exist."""

    def prepare(self) -> None:
        """Refuse the request."""
        self.refuse(RefusalError(ErrorKind.NOT_FOUND, "no such path"))
