"""Jobs as callers hand them in."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

PAYLOAD_LIMIT = 16_384
"""Longest text for the tasks in characters; a job is stored as one row."""
STEP_LIMIT = 50
"""Most steps of a job."""
TASK_LIMIT = 1000
"""Most tasks of a step."""
MILLICORES = 1000


class StepDocument(BaseModel):
    """Tasks that are alike.

    Attributes:
        count: Number of tasks.
        cores: Processor cores of one task.
        memory: Memory of one task in MiB.
        accelerators: Accelerators of one task.
        estimate: Rough duration of one task in seconds.
        after: Numbers of earlier steps, from 0, that must be done first.
        gang: The tasks work only while all of them are present.
        same_rack: A gang that spans racks is slower.
        label: Label that the worker must have.
        data_rack: Rack where the data is.
        most_per_worker: Most tasks of the step on one worker; 0 for no limit.
        checkpoints: A task that is started again can resume.
        speculative: Copies of a task may run in parallel.
        long_running: The tasks run until the job is cancelled.
        image: What the tasks run.
        target_latency: Longest tail latency of the task's users in seconds.
        uses_leftovers: The tasks use the processor that others leave.
        tolerated_absences: Tasks that may be unavailable at a time because of a
            planned action.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    count: int = Field(1, ge=1, le=TASK_LIMIT)
    cores: float = Field(1.0, ge=0)
    memory: int = Field(0, ge=0)
    accelerators: int = Field(0, ge=0)
    estimate: float = Field(1.0, gt=0)
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: int = Field(0, ge=0)
    checkpoints: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_latency: float = Field(0.0, ge=0)
    uses_leftovers: bool = False
    tolerated_absences: int = Field(0, ge=0)

    def to_spec(self) -> StepSpec:
        """Return the step as the job core knows it."""
        fields = self.model_dump(exclude={"cores", "memory", "accelerators", "after"})
        cpu = round(MILLICORES * self.cores)
        needs = Resources(cpu, self.memory, self.accelerators)
        return StepSpec(needs=needs, after=tuple(self.after), **fields)


class JobRequest(BaseModel):
    """Job as a caller hands it in.

    Attributes:
        payload: Text for the tasks, passed on as it is.
        steps: Steps.
        first_start: Unix time of the first occurrence in seconds.
        interval: Time between two occurrences in seconds.
        occurrences: Number of occurrences; 0 for one without a time.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    payload: str = Field("", max_length=PAYLOAD_LIMIT)
    steps: list[StepDocument] = Field(min_length=1, max_length=STEP_LIMIT)
    first_start: float = Field(0.0, ge=0)
    interval: float = Field(0.0, ge=0)
    occurrences: int = Field(0, ge=0)

    def to_submission(self) -> JobSubmission:
        """Return the job as the job core knows it."""
        return JobSubmission(
            payload=self.payload,
            steps=tuple(step.to_spec() for step in self.steps),
            first_start=self.first_start,
            interval=self.interval,
            occurrences=self.occurrences,
        )


def read_submission(body: bytes) -> JobSubmission:
    """Return the job in a body.

    Raises:
        RefusalError: It is none.
    """
    try:
        return JobRequest.model_validate_json(body).to_submission()
    except ValidationError as error:
        first = error.errors()[0]
        kind = ErrorKind.BAD_REQUEST
        if first["type"] == "json_invalid":
            kind = ErrorKind.BAD_JSON
        place = ".".join(str(part) for part in first["loc"])
        raise RefusalError(kind, f"{place} {first['msg']}".strip()) from error
