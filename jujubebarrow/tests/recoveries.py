"""Measures how much stays usable under each fault, and the time to recover."""

from asyncio import create_task, sleep
from dataclasses import dataclass, field

from loguru import logger

from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.tests.fakes.world_runs import TEAMS, Fault, WorldRun

SEED = 1
WARM_UP_SECONDS = 6.0
FAULT_SECONDS = 20.0
WATCH_SECONDS = 90.0
SAMPLE_SECONDS = 0.25
KINDS = (
    "kill",
    "replace",
    "freeze",
    "kill_zone",
    "cut_platform",
    "cut_zone",
    "isolate_zone",
    "platform_down",
    "worker_down",
)


@dataclass
class Share:
    """Parts that are usable at one moment.

    Attributes:
        limits: Part of all upper limits that some instance can use.
        keys: Part of the instances that take keyed work.
        slots: Part of the upstreams' slots that some home counts.
    """

    limits: float
    keys: float
    slots: float

    @property
    def values(self) -> tuple[float, float, float]:
        return self.limits, self.keys, self.slots


@dataclass
class Recovery:
    """Lowest parts while a fault lasts, and seconds from its end to the whole."""

    kind: str
    lowest: list[float] = field(default_factory=lambda: [1.0, 1.0, 1.0])
    seconds: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])


class RecoveryRun:
    """Strikes one quiet world with one fault."""

    def __init__(self, kind: str):
        self._run = WorldRun(SEED, [])
        self._world = self._run.world
        self.recovery = Recovery(kind)

    def run(self) -> Recovery:
        run_virtual(self._measure())
        return self.recovery

    async def _measure(self) -> None:
        await self._run.open()
        await sleep(WARM_UP_SECONDS)
        before = self._sample()
        start = self._world.now
        fault = Fault(0.0, self.recovery.kind, 0, FAULT_SECONDS)
        strike = create_task(getattr(self._run, f"_{fault.kind}")(fault))
        while self._world.now < start + FAULT_SECONDS + WATCH_SECONDS:
            await sleep(SAMPLE_SECONDS)
            self._note(before, self._world.now - start - FAULT_SECONDS)
        await strike
        for host in self._world.live_hosts():
            self._world.kill(host)

    def _note(self, before: Share, since_end: float) -> None:
        sample = self._sample()
        pairs = zip(sample.values, before.values, strict=True)
        for number, (now, whole) in enumerate(pairs):
            part = now / whole if whole else 1.0
            if since_end <= 0:
                self.recovery.lowest[number] = min(self.recovery.lowest[number], part)
            elif part < 1.0:
                self.recovery.seconds[number] = since_end + SAMPLE_SECONDS

    def _sample(self) -> Share:
        world = self._world
        hosts = [
            host
            for host in world.live_hosts()
            if not world.network.is_frozen(host.name)
        ]
        fresh = [host for host in hosts if host.node.configurations.is_fresh()]
        usable = sum(h.node.ledger.usable(t) for h in fresh for t in TEAMS)
        slots = sum(host.node.slots for host in hosts)
        return Share(
            limits=usable / sum(team.limit for team in TEAMS.values()),
            keys=len(fresh) / len(world.hosts),
            slots=float(slots),
        )


def main() -> None:
    logger.disable("jujubebarrow")
    print(f"faults of {FAULT_SECONDS:.0f} s, seed {SEED}, four instances, two zones")
    print(f"{'fault':<15}{'lowest part of':>30}{'seconds to the whole':>30}")
    print(f"{'':<15}" + f"{'limits':>10}{'keys':>10}{'slots':>10}" * 2)
    for kind in KINDS:
        result = RecoveryRun(kind).run()
        lowest = "".join(f"{part:>10.2f}" for part in result.lowest)
        seconds = "".join(f"{value:>10.1f}" for value in result.seconds)
        print(f"{kind:<15}{lowest}{seconds}", flush=True)


if __name__ == "__main__":
    main()
