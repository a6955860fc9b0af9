"""Commands that show the fleet's status and explain decisions."""

from datetime import UTC, datetime
from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.explanation_documents import ExplanationDocument
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
        """Print the status of the fleet as seen from one instance."""
        status = client.get("/v1/status", FleetStatus)
        rows = [_make_row(item) for item in status.instances]
        self.print_table(status, INSTANCE_HEADERS, rows)
        if self.option("json"):
            return
        self.line("")
        teams = [
            [team.team, team.limit, team.running, team.usable] for team in status.teams
        ]
        self.print_table(status, ["team", "limit", "running", "usable here"], teams)
        self.line("")
        key_state = "taken" if status.fresh else "refused until verified"
        platform_state = "reached" if status.platform else "not reached"
        self.line(f"preset {status.preset or 'none'}, revision {status.revision}")
        self.line(f"platform {platform_state}, work that needs a key is {key_state}")


def _make_row(item: InstanceStatus) -> list[object]:
    status = item.status
    age = "never" if status.age is None else f"{status.age:.1f}"
    running = sum(count or 0 for count in status.usage.values())
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
        _describe_state(item),
    ]


def _describe_state(item: InstanceStatus) -> str:
    if not item.reachable:
        return f"cut for {item.silent:.0f} s"
    state_words = ["leaving" if item.status.leaving else "ready"]
    if not item.status.ready and not item.status.leaving:
        state_words = ["not ready"]
    if not item.status.platform:
        state_words.append("without platform")
    if item.status.controls:
        state_words.append("controls")
    return ", ".join(state_words)


class ExplainCommand(OperatorCommand):
    """Shows the recent decisions about a subject with their reasons."""

    name = "explain"
    description = "Explain a request, job, instance, team, pool or preset."
    arguments = [argument("subject", "Request id, job id or name.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print the decisions about the subject, oldest first."""
        subject = quote(self.argument("subject"), safe="")
        explanation = client.get(f"/v1/explain?subject={subject}", ExplanationDocument)
        rows = [
            [_format_time(line.time), line.instance, line.sentence]
            for line in explanation.lines
        ]
        self.print_table(explanation, ["time", "instance", "decision"], rows)
        if explanation.silent and not self.option("json"):
            self.line(f"no answer from {', '.join(explanation.silent)}")


def _format_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S")
