"""HTTP client of the platform's store that answers from rows held in memory."""

from asyncio import get_running_loop, sleep
from base64 import b64encode
from typing import Any
from urllib.parse import parse_qs, urlsplit

from msgspec import json

from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.stores import PlatformStore
from jujubebarrow.stores.read_throttles import ReadThrottle
from jujubebarrow.tests.fakes.virtual_loops import LoopClock
from jujubebarrow.transports.http_clients import ClientResponse

LINK_MBPS = 1000.0


class ScriptedStoreClient:
    """Answers reads of one table; each row is the raw bytes of its value."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], tuple[int, str]] = {}
        self._revision = 0

    def write(self, key: str, value: bytes | str, partition: str = "") -> None:
        text = value if isinstance(value, str) else b64encode(value).decode()
        self._revision += 1
        self._rows[partition, key] = (self._revision, text)

    def close(self) -> None:
        pass

    async def call(
        self, method: str, url: str, timeout: float, body: Any = None, **options: Any
    ) -> ClientResponse:
        parts = urlsplit(url)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        after = int(query.get("After", "-1"))
        deadline = 10 * int(query.get("WaitMs", "0")) // 1000
        while after >= self._revision and deadline > 0:
            await sleep(0.1)
            deadline -= 1
        await sleep(0.01)
        rows = [
            {"Table": query["Table"], "part": part, "Key": key, "Ver": ver, "Value": v}
            for (part, key), (ver, v) in self._rows.items()
            if ver > after and (after >= 0 or part == query.get("part", ""))
        ]
        document = {"rows": rows, "Ver": self._revision, "NowMs": 1, "HasMore": False}
        return ClientResponse(200, json.encode(document))


def make_scripted_store(
    client: ScriptedStoreClient, log: DecisionLog, metrics: MetricsRegistry
) -> PlatformStore:
    """Return the client of the platform's store, on top of scripted answers."""
    clock = LoopClock(get_running_loop())
    meter = LinkMeter(LINK_MBPS, LinkBacklog(LINK_MBPS, clock), log, metrics)
    throttle = ReadThrottle(LINK_MBPS, metrics)
    store = PlatformStore("10.0.0.2:80", throttle, meter, metrics)
    store.close()
    store._client = client  # type: ignore[assignment]
    return store
