"""Typed identifiers of jobs, tasks and workers."""

from typing import NewType

WorkerId = NewType("WorkerId", str)
"""Id under which a worker registers; a worker that starts again may keep it."""
WorkerLife = NewType("WorkerLife", tuple[str, int])
"""Worker's id and the time of its start in Unix milliseconds."""
FenceToken = NewType("FenceToken", int)
RunNumber = NewType("RunNumber", int)
MachineId = NewType("MachineId", str)
