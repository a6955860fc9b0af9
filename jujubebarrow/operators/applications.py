"""Web application for operators."""

from tornado.web import Application

from jujubebarrow.callers.base_handlers import UnknownPathHandler
from jujubebarrow.operators.instance_handlers import InstanceActionHandler
from jujubebarrow.operators.job_handlers import JobsHandler, OperatorJobHandler
from jujubebarrow.operators.key_handlers import KeyHandler, KeysHandler
from jujubebarrow.operators.maintenance_handlers import WaveHandler, WavesHandler
from jujubebarrow.operators.operator_contexts import OperatorContext
from jujubebarrow.operators.preset_handlers import PresetHandler, PresetPlanHandler
from jujubebarrow.operators.record_handlers import RecordHandler, RecordsHandler
from jujubebarrow.operators.status_handlers import (
    ExplainHandler,
    MetricsHandler,
    StatusHandler,
)


def make_operator_application(context: OperatorContext) -> Application:
    """Return the web application with all handlers for operators."""
    arguments = {"context": context}
    return Application(
        [
            (r"/v1/status", StatusHandler, arguments),
            (r"/v1/explain", ExplainHandler, arguments),
            (r"/v1/keys", KeysHandler, arguments),
            (r"/v1/keys/([0-9a-f]+)", KeyHandler, arguments),
            (r"/v1/preset", PresetHandler, arguments),
            (r"/v1/presets/([^/]+)/plan", PresetPlanHandler, arguments),
            (r"/v1/instances/([^/]+)/actions", InstanceActionHandler, arguments),
            (r"/v1/maintenance", WavesHandler, arguments),
            (r"/v1/maintenance/([^/]+)", WaveHandler, arguments),
            (r"/v1/jobs", JobsHandler, arguments),
            (r"/v1/jobs/([^/]+)/([0-9a-f]+)", OperatorJobHandler, arguments),
            (r"/v1/records/([^/]+)", RecordsHandler, arguments),
            (r"/v1/records/([^/]+)/([^/]+)", RecordHandler, arguments),
            (r"/metrics", MetricsHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args={"metrics": context.metrics},
        log_function=lambda handler: None,
    )
