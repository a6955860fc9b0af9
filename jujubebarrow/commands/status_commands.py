"""What operators look at."""

from datetime import UTC, datetime
from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.explanation_documents import ExplainedSubject
from jujubebarrow.operators.status_documents import FleetStatus, InstanceStatus

INSTANCE_HEADERS = [
    "instance",
    "zone",
    "seat",
    "revision",
    "age [s]",
    "running",
    "homes",
    "state",
]


class StatusCommand(OperatorCommand):
    """Shows every entry instance and every team."""

    name = "status"
    description = "Show instances, zones, revision in force, and what is cut."

    def run_with(self, client: OperatorClient) -> None:
        """Print the state as seen from one instance."""
        status = client.get("/v1/status", FleetStatus)
        rows = [_describe(item) for item in status.instances]
        self.show(status, INSTANCE_HEADERS, rows)
        if self.option("json"):
            return
        self.line("")
        teams = [[t.team, t.limit, t.running, t.usable] for t in status.teams]
        self.show(status, ["team", "limit", "running", "usable here"], teams)
        self.line("")
        keyed = "taken" if status.fresh else "refused until verified"
        reach = "reached" if status.platform else "not reached"
        self.line(f"preset {status.preset or 'none'}, revision {status.revision}")
        self.line(f"platform {reach}, work that needs a key is {keyed}")


def _describe(item: InstanceStatus) -> list[object]:
    status = item.status
    age = "never" if status.age is None else f"{status.age:.1f}"
    running = sum(number or 0 for number in status.usage.values())
    seat = "none" if status.seat is None else status.seat
    homes = len(status.pools)
    return [
        status.instance,
        status.zone,
        seat,
        status.revision,
        age,
        running,
        homes,
        _state(item),
    ]


def _state(item: InstanceStatus) -> str:
    if not item.reachable:
        return f"cut for {item.silent:.0f} s"
    words = ["leaving" if item.status.leaving else "ready"]
    if not item.status.ready and not item.status.leaving:
        words = ["not ready"]
    if not item.status.platform:
        words.append("without platform")
    if item.status.controls:
        words.append("controls")
    return ", ".join(words)


class ExplainCommand(OperatorCommand):
    """Shows why something was decided."""

    name = "explain"
    description = "Explain a request, job, instance, team, pool or preset."
    arguments = [argument("subject", "Request id, job id or name.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print decisions, oldest first."""
        subject = quote(self.argument("subject"), safe="")
        found = client.get(f"/v1/explain?subject={subject}", ExplainedSubject)
        rows = [
            [_format(line.time), line.instance, line.sentence] for line in found.lines
        ]
        self.show(found, ["time", "instance", "decision"], rows)
        if found.silent and not self.option("json"):
            self.line(f"no answer from {', '.join(found.silent)}")


def _format(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S")
