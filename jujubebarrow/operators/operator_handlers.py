"""Base of the operators' handlers."""

from hmac import compare_digest
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from jujubebarrow.callers.authenticators import read_bearer
from jujubebarrow.callers.body_handlers import BodyHandler
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.key_digests import digest_key
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.operators.operator_contexts import OperatorContext
from jujubebarrow.operators.record_documents import Committed

_D = TypeVar("_D", bound=BaseModel)


class OperatorHandler(BodyHandler):
    """Lets only the operators' key through."""

    context: OperatorContext

    def initialize(self, context: OperatorContext) -> None:  # type: ignore[override]
        """Take over the services."""
        super().initialize(context.metrics)
        self.context = context
        self.body_limit = context.settings.body_limit

    def prepare(self) -> None:
        """Check the key and, for changes, whether they can be accepted here."""
        key = read_bearer(self.request.headers.get("Authorization"))
        expected = self.context.settings.operator_key_digest
        if not compare_digest(digest_key(key), expected):
            raise RefusalError(ErrorKind.FORBIDDEN, "not an operator's key")
        super().prepare()
        if self.request.method != "GET" and not self.context.may_write():
            raise RefusalError(
                ErrorKind.NOT_READY,
                "no seat yet, or another holder of a seat has not answered",
                retry_after=2.0,
            )

    def read(self, document: type[_D]) -> _D:
        """Return the document in the body."""
        try:
            return document.model_validate_json(self.body)
        except ValidationError as error:
            faults = [
                f"{'.'.join(str(part) for part in detail['loc'])}: {detail['msg']}"
                for detail in error.errors()
            ]
            raise RefusalError(ErrorKind.BAD_REQUEST, "; ".join(faults)) from error

    async def commit(self, change: Change) -> None:
        """Commit a change under the operator's change id and answer."""
        change_id = self.request.headers.get("Idempotency-Key", "")
        revision = await self.context.configurations.commit(change, nonce=change_id)
        self.answer(Committed(revision=revision, reason=change.reason))
