"""Measures the capacity that stays usable during each fault and the recovery time."""

from asyncio import create_task, sleep
from dataclasses import dataclass, field

from loguru import logger

from jujubebarrow.tests.fakes.cluster_runs import TEAMS, ClusterRun, Fault
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

SEED = 1
WARM_UP_SECONDS = 6.0
FAULT_SECONDS = 20.0
RECOVERY_WATCH_SECONDS = 90.0
SAMPLE_PERIOD_SECONDS = 0.25
MEASURED_FAULT_KINDS = (
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
class UsableCapacity:
    """Usable capacity at one point in time; frozen instances do not count.

    Attributes:
        limits: Fraction of all upper limits that the instances with a fresh
            configuration can use.
        keys: Fraction of the instances that accept requests with a key.
        slots: Number of upstream slots that the live instances have as homes of pools.
    """

    limits: float
    keys: float
    slots: float

    @property
    def values(self) -> tuple[float, float, float]:
        return self.limits, self.keys, self.slots


@dataclass
class Recovery:
    """Effect of one fault on the usable capacity.

    Attributes:
        kind: Kind of the fault.
        lowest_ratios: Lowest ratios of limits, keys and slots during the fault to
            those before the fault.
        recovery_seconds: Time after the fault until limits, keys and slots are fully
            usable again.
    """

    kind: str
    lowest_ratios: list[float] = field(default_factory=lambda: [1.0, 1.0, 1.0])
    recovery_seconds: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])


class RecoveryRun:
    """Runs a simulated cluster without load and injects one fault."""

    def __init__(self, kind: str):
        self._run = ClusterRun(SEED, [])
        self._cluster = self._run.cluster
        self.recovery = Recovery(kind)

    def run(self) -> Recovery:
        run_virtual(self._inject_fault())
        return self.recovery

    async def _inject_fault(self) -> None:
        await self._run.open()
        await sleep(WARM_UP_SECONDS)
        undisturbed = self._sample()
        start = self._cluster.now
        fault = Fault(0.0, self.recovery.kind, 0, FAULT_SECONDS)
        fault_task = create_task(getattr(self._run, f"_{fault.kind}")(fault))
        while self._cluster.now < start + FAULT_SECONDS + RECOVERY_WATCH_SECONDS:
            await sleep(SAMPLE_PERIOD_SECONDS)
            self._add_sample(undisturbed, self._cluster.now - start - FAULT_SECONDS)
        await fault_task
        for host in self._cluster.live_hosts():
            self._cluster.kill(host)

    def _add_sample(self, undisturbed: UsableCapacity, since_fault_end: float) -> None:
        sample = self._sample()
        pairs = zip(sample.values, undisturbed.values, strict=True)
        for index, (now, full) in enumerate(pairs):
            ratio = now / full if full else 1.0
            if since_fault_end <= 0:
                self.recovery.lowest_ratios[index] = min(
                    self.recovery.lowest_ratios[index], ratio
                )
            elif ratio < 1.0:
                self.recovery.recovery_seconds[index] = (
                    since_fault_end + SAMPLE_PERIOD_SECONDS
                )

    def _sample(self) -> UsableCapacity:
        cluster = self._cluster
        hosts = [
            host
            for host in cluster.live_hosts()
            if not cluster.network.is_frozen(host.name)
        ]
        fresh = [host for host in hosts if host.node.configuration_service.is_fresh()]
        usable = sum(host.node.ledger.usable(team) for host in fresh for team in TEAMS)
        slots = sum(host.node.home_slot_count for host in hosts)
        return UsableCapacity(
            limits=usable / sum(team.limit for team in TEAMS.values()),
            keys=len(fresh) / len(cluster.hosts),
            slots=float(slots),
        )


def main() -> None:
    logger.disable("jujubebarrow")
    print(f"faults of {FAULT_SECONDS:.0f} s, seed {SEED}, four instances, two zones")
    print(f"{'fault':<15}{'lowest part of':>30}{'seconds to the whole':>30}")
    print(f"{'':<15}" + f"{'limits':>10}{'keys':>10}{'slots':>10}" * 2)
    for kind in MEASURED_FAULT_KINDS:
        result = RecoveryRun(kind).run()
        lowest = "".join(f"{ratio:>10.2f}" for ratio in result.lowest_ratios)
        seconds = "".join(f"{value:>10.1f}" for value in result.recovery_seconds)
        print(f"{kind:<15}{lowest}{seconds}", flush=True)


if __name__ == "__main__":
    main()
