"""Processor time, memory and network traffic of an entry instance."""

import json
from asyncio import sleep
from dataclasses import dataclass
from pathlib import Path

from jujubebarrow.standins.fleets import EntryInstance, Fleet
from jujubebarrow.standins.ports import LOOPBACK

NANOSECONDS_PER_SECOND = 1e9
KIB_BYTES = 1024


@dataclass(frozen=True)
class ResourceUsage:
    """Resource usage of one entry instance.

    Attributes:
        processor: Processor time as a fraction of one core.
        memory: Resident memory in bytes.
        peer_bytes: Bytes per second on peer links, in both directions.
        store_reads: Reads per second of the whole fleet from the platform's store.
        store_writes: Writes per second of the whole fleet to the platform's store.
    """

    processor: float
    memory: float
    peer_bytes: float
    store_reads: float
    store_writes: float


async def measure_usage(
    fleet: Fleet, entry: EntryInstance, seconds: float
) -> ResourceUsage:
    """Return the resource usage of an entry instance over a time in seconds."""
    assert entry.process is not None
    before = await _read_counters(fleet, entry)
    await sleep(seconds)
    after = await _read_counters(fleet, entry)
    return ResourceUsage(
        processor=(after[0] - before[0]) / seconds,
        memory=_read_resident_bytes(entry.process.pid),
        peer_bytes=(after[1] - before[1]) / seconds,
        store_reads=(after[2] - before[2]) / seconds,
        store_writes=(after[3] - before[3]) / seconds,
    )


async def _read_counters(
    fleet: Fleet, entry: EntryInstance
) -> tuple[float, float, int, int]:
    """Return processor seconds, peer bytes, store reads and store writes."""
    assert entry.process is not None
    processor_seconds = _read_processor_seconds(entry.process.pid)
    metrics = (
        await fleet.send_operator_request(entry, "GET", "/metrics")
    ).body.decode()
    peer_bytes = sum(
        float(line.rsplit(" ", 1)[1])
        for line in metrics.splitlines()
        if line.startswith("jujubebarrow_peer_bytes")
    )
    url = f"http://{LOOPBACK}:{fleet.platform_port}/administration"
    store_counters = json.loads((await fleet.fetch("GET", url)).body)
    return (
        processor_seconds,
        peer_bytes,
        store_counters["reads"],
        store_counters["writes"],
    )


def _read_processor_seconds(pid: int) -> float:
    text = Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / NANOSECONDS_PER_SECOND


def _read_resident_bytes(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1]) * KIB_BYTES
    return 0.0
