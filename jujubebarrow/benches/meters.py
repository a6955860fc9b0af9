"""Processor time, memory and messages of an entry instance."""

import json
from asyncio import sleep
from dataclasses import dataclass
from pathlib import Path

from jujubebarrow.standins.fleets import EntryInstance, Fleet
from jujubebarrow.standins.ports import LOOPBACK

NANOSECONDS = 1e9
KIB = 1024


@dataclass(frozen=True)
class Reading:
    """Use of one entry instance.

    Attributes:
        processor: Part of a core.
        memory: Resident memory in bytes.
        peer_bytes: Bytes a second on peer links, both directions.
        store_reads: Reads a second at the platform, of the whole fleet.
        store_writes: Writes a second at the platform, of the whole fleet.
    """

    processor: float
    memory: float
    peer_bytes: float
    store_reads: float
    store_writes: float


async def measure(fleet: Fleet, entry: EntryInstance, seconds: float) -> Reading:
    """Return what an entry instance uses over some seconds."""
    assert entry.process is not None
    before = await _take(fleet, entry)
    await sleep(seconds)
    after = await _take(fleet, entry)
    return Reading(
        processor=(after[0] - before[0]) / seconds,
        memory=_memory(entry.process.pid),
        peer_bytes=(after[1] - before[1]) / seconds,
        store_reads=(after[2] - before[2]) / seconds,
        store_writes=(after[3] - before[3]) / seconds,
    )


async def _take(fleet: Fleet, entry: EntryInstance) -> tuple[float, float, int, int]:
    assert entry.process is not None
    used = _processor_seconds(entry.process.pid)
    metrics = (await fleet.operate(entry, "GET", "/metrics")).body.decode()
    sent = sum(
        float(line.rsplit(" ", 1)[1])
        for line in metrics.splitlines()
        if line.startswith("jujubebarrow_peer_bytes")
    )
    url = f"http://{LOOPBACK}:{fleet.platform_port}/administration"
    store = json.loads((await fleet.fetch("GET", url)).body)
    return used, sent, store["reads"], store["writes"]


def _processor_seconds(pid: int) -> float:
    text = Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / NANOSECONDS


def _memory(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1]) * KIB
    return 0.0
