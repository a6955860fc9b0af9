"""Request body with which callers submit a job."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

PAYLOAD_LENGTH_LIMIT = 16_384
"""Maximum length of the payload in characters. The payload is limited because a job is
stored as one row."""
STEP_COUNT_LIMIT = 50
TASK_COUNT_LIMIT = 1000
"""Maximum number of tasks of one step."""
MILLICORES_PER_CORE = 1000


class StepDocument(BaseModel):
    """Step of a submitted job: a number of identical tasks.

    Attributes:
        count: Number of tasks.
        cores: Processor cores that one task needs.
        memory: Memory that one task needs, in MiB.
        accelerators: Accelerators that one task needs.
        estimate: Estimated duration of one task, in seconds.
        after: Indexes of earlier steps, from 0, that must complete first.
        gang: Whether the tasks work only while all of them run.
        same_rack: Whether a gang that spans several racks is slower.
        label: Label that a worker must have to run the tasks.
        data_rack: Rack that stores the tasks' input data.
        most_per_worker: Maximum number of tasks of the step on one worker; 0 for no
            limit.
        checkpoints: Whether a restarted task resumes from a checkpoint.
        speculative: Whether several copies of a task may run in parallel.
        long_running: Whether the tasks run until the job is cancelled.
        image: Image that the tasks run.
        target_latency: Maximum tail latency for the tasks' users, in seconds.
        uses_leftovers: Whether the tasks are best-effort and use only spare processor
            time.
        tolerated_absences: Maximum number of tasks that planned actions may make
            unavailable at the same time.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    count: int = Field(1, ge=1, le=TASK_COUNT_LIMIT)
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
        """Return the specification of the step."""
        fields = self.model_dump(exclude={"cores", "memory", "accelerators", "after"})
        cpu = round(MILLICORES_PER_CORE * self.cores)
        needs = Resources(cpu, self.memory, self.accelerators)
        return StepSpec(needs=needs, after=tuple(self.after), **fields)


class JobRequest(BaseModel):
    """Job that a caller submits.

    Attributes:
        payload: Text that is passed unchanged to the tasks.
        steps: Steps of the job.
        first_start: Start of the first occurrence, in seconds since the epoch.
        interval: Time between the starts of two occurrences, in seconds.
        occurrences: Number of occurrences; 0 for one occurrence without a scheduled
            start.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    payload: str = Field("", max_length=PAYLOAD_LENGTH_LIMIT)
    steps: list[StepDocument] = Field(min_length=1, max_length=STEP_COUNT_LIMIT)
    first_start: float = Field(0.0, ge=0)
    interval: float = Field(0.0, ge=0)
    occurrences: int = Field(0, ge=0)

    def to_submission(self) -> JobSubmission:
        """Return the job submission."""
        return JobSubmission(
            payload=self.payload,
            steps=tuple(step.to_spec() for step in self.steps),
            first_start=self.first_start,
            interval=self.interval,
            occurrences=self.occurrences,
        )


def read_submission(body: bytes) -> JobSubmission:
    """Return the job submission that a request body contains.

    Raises:
        RefusalError: The body is not valid JSON or not a valid job.
    """
    try:
        return JobRequest.model_validate_json(body).to_submission()
    except ValidationError as error:
        first_error = error.errors()[0]
        kind = ErrorKind.BAD_REQUEST
        if first_error["type"] == "json_invalid":
            kind = ErrorKind.BAD_JSON
        location = ".".join(str(part) for part in first_error["loc"])
        raise RefusalError(kind, f"{location} {first_error['msg']}".strip()) from error
