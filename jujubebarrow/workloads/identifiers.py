"""Typed identifiers of jobs, tasks and workers."""

from typing import NewType

from jujubebarrow.identifiers import JobId

WorkerId = NewType("WorkerId", str)
"""Id under which a worker registers; a restarted worker may keep its id."""
WorkerIncarnation = NewType("WorkerIncarnation", tuple[str, int])
"""Incarnation of a worker: its id and its start time in Unix milliseconds."""
FenceToken = NewType("FenceToken", int)
"""Fencing token: number that grows with each claim; lower tokens are rejected."""
RunNumber = NewType("RunNumber", int)
"""Number of a run among the runs of its task, from 1."""
MachineId = NewType("MachineId", str)
StepKey = NewType("StepKey", tuple[JobId, int, int])
"""Job, index of the occurrence and index of the step within the job."""
