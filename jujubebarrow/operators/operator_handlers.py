"""Base class of the operators' web handlers."""

from hmac import compare_digest
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from jujubebarrow.callers.authenticators import read_bearer_key
from jujubebarrow.callers.body_handlers import BodyHandler
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.key_digests import digest_key
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.operators.operator_contexts import OperatorContext
from jujubebarrow.operators.record_documents import CommittedChange

_DocumentT = TypeVar("_DocumentT", bound=BaseModel)


class OperatorHandler(BodyHandler):
    """Handler that refuses requests without the operators' key."""

    context: OperatorContext

    def initialize(self, context: OperatorContext) -> None:  # type: ignore[override]
        """Store the services that the handler uses."""
        super().initialize(context.metrics)
        self.context = context
        self.body_limit = context.settings.body_limit

    def prepare(self) -> None:
        """Check the operators' key and whether this instance may accept a change."""
        key = read_bearer_key(self.request.headers.get("Authorization"))
        expected = self.context.settings.operator_key_digest
        if not compare_digest(digest_key(key), expected):
            raise RefusalError(ErrorKind.FORBIDDEN, "not an operator's key")
        super().prepare()
        if self.request.method != "GET" and not self.context.can_write():
            raise RefusalError(
                ErrorKind.NOT_READY,
                "no seat yet, or another holder of a seat has not answered",
                retry_after=2.0,
            )

    def parse_body(self, document_type: type[_DocumentT]) -> _DocumentT:
        """Return the document in the request body.

        Raises:
            RefusalError: The body is not a valid document.
        """
        try:
            return document_type.model_validate_json(self.body)
        except ValidationError as error:
            faults = [
                f"{'.'.join(str(part) for part in detail['loc'])}: {detail['msg']}"
                for detail in error.errors()
            ]
            raise RefusalError(ErrorKind.BAD_REQUEST, "; ".join(faults)) from error

    async def commit(self, change: Change) -> None:
        """Commit a change once for each idempotency key and send the new revision."""
        idempotency_key = self.request.headers.get("Idempotency-Key", "")
        revision = await self.context.configuration_service.commit(
            change, nonce=idempotency_key
        )
        self.send_document(CommittedChange(revision=revision, reason=change.reason))
