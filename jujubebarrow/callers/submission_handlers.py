"""Base class of handlers of requests and jobs, which callers may send again."""

from jujubebarrow.callers.body_handlers import BodyHandler
from jujubebarrow.callers.caller_contexts import CallerContext
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.run_states import RunState


class SubmissionHandler(BodyHandler):
    """Tells by its refusals what is known of all attempts at the same submission.

    A submission with an idempotency key may be a repeat, whose earlier attempt may have
    reached any instance.
    """

    context: CallerContext

    def initialize(self, context: CallerContext) -> None:  # type: ignore[override]
        """Set the services that the handler uses."""
        super().initialize(context.metrics)
        self.context = context
        self.body_limit = context.settings.body_limit

    @property
    def idempotency_key(self) -> str:
        """Key that the caller chose for the submission; empty without one."""
        return self.request.headers.get("Idempotency-Key", "")

    def send_refusal(self, error: RefusalError) -> None:
        """Send a refusal, whose run is unknown if an earlier attempt may have run."""
        may_be_repeat = self.request.method == "POST" and self.idempotency_key
        if may_be_repeat and not error.holds_for_all_attempts:
            error.run = RunState.UNKNOWN
        super().send_refusal(error)
