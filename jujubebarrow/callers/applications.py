"""Web application that serves the callers' HTTP interface."""

from pydantic import BaseModel
from tornado.web import Application

from jujubebarrow.callers.base_handlers import BaseHandler, UnknownPathHandler
from jujubebarrow.callers.caller_contexts import CallerContext
from jujubebarrow.callers.job_handlers import QueueJobHandler, QueueJobsHandler
from jujubebarrow.callers.request_handlers import QueueRequestHandler


class Health(BaseModel):
    """Response to a health check.

    Attributes:
        ready: Whether the load balancer may send requests to this instance.
    """

    ready: bool


class HealthHandler(BaseHandler):
    """Handles health checks of the load balancer."""

    context: CallerContext

    def initialize(self, context: CallerContext) -> None:  # type: ignore[override]
        """Set the services that the handler uses."""
        super().initialize(context.metrics)
        self.context = context

    def get(self) -> None:
        """Report whether this instance accepts requests."""
        ready = self.context.is_ready() and not self.context.is_stopping()
        self.send_document(Health(ready=ready), status=200 if ready else 503)


def make_caller_application(context: CallerContext) -> Application:
    """Create the web application of the callers' interface."""
    arguments = {"context": context}
    return Application(
        [
            (r"/v1/queues/([^/]+)/requests", QueueRequestHandler, arguments),
            (r"/v1/queues/([^/]+)/jobs", QueueJobsHandler, arguments),
            (r"/v1/queues/([^/]+)/jobs/([0-9a-f]+)", QueueJobHandler, arguments),
            (r"/v1/health", HealthHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args={"metrics": context.metrics},
        log_function=lambda handler: None,
    )
