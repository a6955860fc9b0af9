"""Identifier types shared by all modules."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
IncarnationId = NewType("IncarnationId", str)
ZoneId = NewType("ZoneId", str)
PoolId = NewType("PoolId", str)
QueueId = NewType("QueueId", str)
TeamId = NewType("TeamId", str)
PresetId = NewType("PresetId", str)
UpstreamId = NewType("UpstreamId", str)
RequestId = NewType("RequestId", str)
JobId = NewType("JobId", str)
SeatId = NewType("SeatId", int)
Revision = NewType("Revision", int)
KeyDigest = NewType("KeyDigest", str)

OPEN_TEAM = TeamId("")
"""Team of requests and jobs on an open queue, which callers use without a key."""
UNNAMED_REQUEST = RequestId("")
"""Id of a request whose caller has given it none."""
