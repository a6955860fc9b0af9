"""Loads of the platform's callers: the jobs that they submit and the site they need."""

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

from msgspec import convert

from jujubebarrow.platform.wire_jobs import WireStep
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

HOST = "labels.example"
TENANT = "longliners"
KEY = "k-1"
"""Key of the tenant while it is not withdrawn."""
LARGEST_JOB_STEPS = 2
PLAIN_STEP = {"Count": 2, "Cpu": 500, "MemMb": 64, "EstimateMs": 300}
CHAIN_LENGTH = 20
CHAIN_STEPS = [
    PLAIN_STEP | ({"After": [number - 1]} if number else {})
    for number in range(CHAIN_LENGTH)
]
"""Steps that last longer than the time within which a cancelled job must end."""
KINDS = ("a", "b")
"""Hardware kinds of the workers, which are labels."""
MIXED_STEPS: tuple[dict[str, Any], ...] = (
    {"Count": 2, "Cpu": 1500, "MemMb": 1000, "EstimateMs": 600},
    {"Count": 1, "Cpu": 3000, "MemMb": 2500, "EstimateMs": 600},
    {"Count": 3, "Cpu": 300, "MemMb": 200, "EstimateMs": 600, "AntiAffinity": 1},
    {"Count": 4, "Cpu": 200, "MemMb": 200, "EstimateMs": 600, "AntiAffinity": 2},
    {"Count": 2, "Cpu": 1000, "MemMb": 500, "EstimateMs": 600, "Requirements": "a"},
    {"Count": 2, "Cpu": 500, "MemMb": 1500, "EstimateMs": 600, "Requirements": "b"},
    {
        "Count": 2,
        "Cpu": 500,
        "MemMb": 300,
        "EstimateMs": 600,
        "Requirements": "b",
        "AntiAffinity": 1,
    },
)


@dataclass(frozen=True, slots=True)
class QueueSpec:
    """Queue of the site.

    Attributes:
        queue: Name of the queue.
        prefix: Path of the queue's jobs.
        pool: Pool that runs the queue's tasks.
        needs_key: Whether calls need the tenant's key.
    """

    queue: str
    prefix: str
    pool: str
    needs_key: bool = False


PRINT_QUEUE = QueueSpec("print", "/print/", "labels")
CERTIFY_QUEUE = QueueSpec("certify", "/certify/", "certificates")
SEALED_QUEUE = QueueSpec("sealed", "/sealed/", "seals", needs_key=True)


class SiteLoad(Enum):
    """What callers submit and do, and what changes beside the store and the starts."""

    PLAIN = "plain"
    MIXED = "mixed"
    CHANGING = "changing"
    LATE = "late"
    KEYED = "keyed"
    LEAVING = "leaving"
    RELAYED = "relayed"
    COMBINED = "combined"

    @property
    def has_keys(self) -> bool:
        """Whether a queue needs a key, and the configuration changes and lapses."""
        return self in (SiteLoad.KEYED, SiteLoad.COMBINED)

    @property
    def has_leaving_callers(self) -> bool:
        """Whether callers leave, stop when refused, submit again late and cancel."""
        return self in (SiteLoad.KEYED, SiteLoad.LEAVING, SiteLoad.COMBINED)

    @property
    def has_relay_faults(self) -> bool:
        """Whether calls between instances fail and instances end with held calls."""
        return self in (SiteLoad.RELAYED, SiteLoad.COMBINED)

    @property
    def has_mixed_steps(self) -> bool:
        """Whether steps require labels, limit their tasks on a worker and fill it.

        The site has two pools then; otherwise all tasks are alike and small.
        """
        return self in (SiteLoad.MIXED, SiteLoad.CHANGING, SiteLoad.LATE)

    @property
    def changes_workers(self) -> bool:
        """Whether workers restart under their ids as another kind or in another pool.

        Starts to a worker have no response when it crashes.
        """
        return self in (SiteLoad.CHANGING, SiteLoad.LATE)

    @property
    def executes_late(self) -> bool:
        """Whether the next incarnation executes some of these starts."""
        return self is SiteLoad.LATE

    @property
    def queues(self) -> tuple[QueueSpec, ...]:
        """Queues, each with a pool of its own."""
        if self.has_mixed_steps:
            return PRINT_QUEUE, CERTIFY_QUEUE
        if self.has_keys:
            return PRINT_QUEUE, SEALED_QUEUE
        return (PRINT_QUEUE,)

    @property
    def worker_count(self) -> int:
        """Number of workers of each pool."""
        return 4

    @property
    def capacity(self) -> Resources:
        """Total resources of a worker."""
        return (
            Resources(4000, 4000) if self.has_mixed_steps else Resources(16000, 16000)
        )

    @property
    def run_seconds(self) -> float:
        """Duration of a run in seconds."""
        return 0.6 if self.has_mixed_steps else 0.3

    def draw_queue(self, random: Random) -> QueueSpec:
        """Return the queue of the next job."""
        return random.choice(self.queues) if len(self.queues) > 1 else PRINT_QUEUE

    def draw_steps(self, random: Random) -> list[dict[str, Any]]:
        """Return the steps of the next job in their wire form."""
        if not self.has_mixed_steps:
            return [PLAIN_STEP]
        count = random.randint(1, LARGEST_JOB_STEPS)
        return [random.choice(MIXED_STEPS) for _ in range(count)]


def decode_step(step: dict[str, Any]) -> StepSpec:
    """Return the specification of a step in its wire form."""
    return convert(step, WireStep).to_step()
