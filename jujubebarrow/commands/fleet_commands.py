"""Keys, presets, instances, maintenance and jobs."""

from typing import Any, ClassVar
from urllib.parse import quote

from cleo.helpers import argument, option

from jujubebarrow.callers.job_documents import JobDocument
from jujubebarrow.commands.base_commands import COMMON_OPTIONS, OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.documents import (
    Committed,
    GrantedKey,
    InstanceAction,
    JobList,
    KeyRequest,
    PresetPlan,
    PresetRequest,
    WaveList,
    WaveRequest,
)


class KeyGrantCommand(OperatorCommand):
    """Grants a key."""

    name = "key grant"
    description = "Grant a new key to a team; it is shown this once."
    arguments = [argument("team", "Team.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print the new key."""
        request = KeyRequest(team=self.argument("team"))
        granted = client.change("POST", "/v1/keys", GrantedKey, request)
        self.tell(granted, f"{granted.key}\ndigest {granted.digest[:16]}")


class KeyWithdrawCommand(OperatorCommand):
    """Withdraws a key."""

    name = "key withdraw"
    description = "Withdraw a key by the first characters of its digest."
    arguments = [argument("digest", "At least 8 characters.")]

    def run_with(self, client: OperatorClient) -> None:
        """Withdraw the key."""
        path = f"/v1/keys/{quote(self.argument('digest'), safe='')}"
        done = client.change("DELETE", path, Committed)
        self.tell(done, f"{done.reason} at revision {done.revision}")


class PresetPlanCommand(OperatorCommand):
    """Foretells the effect of a preset."""

    name = "preset plan"
    description = "Show what a preset would change."
    arguments = [argument("preset", "Preset.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print the effect on each pool."""
        path = f"/v1/presets/{quote(self.argument('preset'), safe='')}/plan"
        plan = client.get(path, PresetPlan)
        rows = [
            [p.pool, p.size, p.wanted, p.wanted - p.size, p.unavailable]
            for p in plan.pools
        ]
        self.show(plan, ["pool", "size", "wanted", "change", "unavailable"], rows)
        if not self.option("json"):
            maintenance = "goes on" if plan.maintenance else "takes no instance"
            moves = "follow demand" if plan.moves else "follow the sizes only"
            self.line(f"maintenance {maintenance}, moves {moves}")


class PresetUseCommand(OperatorCommand):
    """Puts a preset in force."""

    name = "preset use"
    description = "Put a preset in force."
    arguments = [argument("preset", "Preset.")]

    def run_with(self, client: OperatorClient) -> None:
        """Select the preset."""
        request = PresetRequest(preset=self.argument("preset"))
        done = client.change("PUT", "/v1/preset", Committed, request)
        self.tell(done, f"{done.reason} at revision {done.revision}")


class _InstanceCommand(OperatorCommand):
    """Base of commands on one instance of the fleet."""

    action = ""
    arguments: ClassVar[list[Any]] = [argument("instance", "Instance.")]
    options = [
        *COMMON_OPTIONS,
        option("reason", None, "Kept with the instance.", flag=False),
    ]

    def run_with(self, client: OperatorClient) -> None:
        """Start the action; control carries it through."""
        name = self.argument("instance")
        request = InstanceAction(
            action=self.action,
            target=self.target(),
            reason=self.option("reason") or "operator",
        )
        path = f"/v1/instances/{quote(name, safe='')}/actions"
        done = client.change("POST", path, Committed, request)
        self.tell(done, f"{name}: {self.action} at revision {done.revision}")

    def target(self) -> str | None:
        """Return the pool to move to."""
        return None


class InstanceDrainCommand(_InstanceCommand):
    """Drains an instance."""

    name = "instance drain"
    description = "Take an instance out of service once its work has ended."
    action = "drain"


class InstanceResumeCommand(_InstanceCommand):
    """Puts an instance back into service."""

    name = "instance resume"
    description = "Put a drained or failed instance back into service."
    action = "resume"


class InstanceMoveCommand(_InstanceCommand):
    """Moves an instance to another pool."""

    name = "instance move"
    description = "Drain an instance and put it into another pool."
    action = "move"
    arguments = [argument("instance", "Instance."), argument("pool", "Pool.")]

    def target(self) -> str | None:
        """Return the pool to move to."""
        return self.argument("pool")


class MaintenanceListCommand(OperatorCommand):
    """Lists maintenance waves."""

    name = "maintenance list"
    description = "Show the progress of maintenance waves."

    def run_with(self, client: OperatorClient) -> None:
        """Print all waves."""
        found = client.get("/v1/maintenance", WaveList)
        rows = [
            [w.name, w.done, w.total, "paused" if w.paused else "going on", w.remaining]
            for w in found.waves
        ]
        headers = ["wave", "done", "instances", "state", "remaining [s]"]
        self.show(found, headers, rows)


class MaintenanceStartCommand(OperatorCommand):
    """Starts a maintenance wave."""

    name = "maintenance start"
    description = "Maintain every instance of some pools, or of all."
    arguments = [
        argument("wave", "Name of the wave."),
        argument("pools", "Pools; all if none is named.", optional=True, multiple=True),
    ]

    def run_with(self, client: OperatorClient) -> None:
        """Start the wave."""
        request = WaveRequest(pools=self.argument("pools"))
        path = f"/v1/maintenance/{quote(self.argument('wave'), safe='')}"
        done = client.change("PUT", path, Committed, request)
        self.tell(done, f"{done.reason} at revision {done.revision}")


class MaintenancePauseCommand(OperatorCommand):
    """Pauses a wave, or resumes a paused one."""

    name = "maintenance pause"
    description = "Pause a wave, or resume a paused one."
    arguments = [argument("wave", "Name of the wave.")]

    def run_with(self, client: OperatorClient) -> None:
        """Switch between paused and going on."""
        path = f"/v1/maintenance/{quote(self.argument('wave'), safe='')}"
        done = client.change("POST", path, Committed)
        self.tell(done, f"{done.reason} at revision {done.revision}")


class MaintenanceEndCommand(OperatorCommand):
    """Ends a wave."""

    name = "maintenance end"
    description = "End a wave; instances that are out finish first."
    arguments = [argument("wave", "Name of the wave.")]

    def run_with(self, client: OperatorClient) -> None:
        """End the wave."""
        path = f"/v1/maintenance/{quote(self.argument('wave'), safe='')}"
        done = client.change("DELETE", path, Committed)
        self.tell(done, f"{done.reason} at revision {done.revision}")


class JobListCommand(OperatorCommand):
    """Lists open jobs."""

    name = "job list"
    description = "List jobs that are not finished."

    def run_with(self, client: OperatorClient) -> None:
        """Print all open jobs."""
        found = client.get("/v1/jobs", JobList)
        rows = [
            [j.id, j.queue, j.state.value, j.attempts, j.reason] for j in found.jobs
        ]
        self.show(found, ["job", "queue", "state", "attempts", "reason"], rows)


class JobShowCommand(OperatorCommand):
    """Shows a job."""

    name = "job show"
    description = "Show a job and its outcome."
    arguments = [argument("job", "Job id.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print the job."""
        path = f"/v1/jobs/{quote(self.argument('job'), safe='')}"
        job = client.get(path, JobDocument)
        self.show(job, ["field", "value"], list(job.model_dump(mode="json").items()))


class JobCancelCommand(OperatorCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancel a job, or ask a running one to end."
    arguments = [argument("job", "Job id.")]

    def run_with(self, client: OperatorClient) -> None:
        """Cancel the job."""
        path = f"/v1/jobs/{quote(self.argument('job'), safe='')}"
        job = client.change("DELETE", path, JobDocument)
        self.tell(job, f"job {job.id} is {job.state.value}: {job.reason}")
