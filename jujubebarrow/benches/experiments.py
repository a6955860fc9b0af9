"""The policy beside baselines, on both users' shapes."""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path

from jujubebarrow.benches.audits import percentile
from jujubebarrow.benches.demands import HANBIT, KORO, DemandShape
from jujubebarrow.benches.entitlements import entitle
from jujubebarrow.benches.policies import RESTLESS, SHIPPED, STATIC, Policy
from jujubebarrow.benches.simulations import Simulation

SECONDS = 160.0
WAVE_SECONDS = 400.0
SEED = 1
PROCESSES = 4
OUTPUT = Path("out")


@dataclass
class Result:
    """Measures of one run.

    Attributes:
        shape: User.
        policy: Policy.
        distance: Mean distance to the entitled parts in full windows of 10 s.
        worst: Smallest part of its entitlement that a team got in such a window.
        buffer: Mean number of unused slots.
        moves: Moves between pools.
        roll_out: Seconds that a maintenance wave took; None if it did not end.
        p50: Median wait in seconds.
        p99: 99th percentile of the wait in seconds.
        served: Requests that were started.
        refusals: Refused requests by kind.
    """

    shape: str
    policy: str
    distance: float
    worst: float
    buffer: float
    moves: int
    roll_out: float | None
    p50: float
    p99: float
    served: int
    refusals: dict[str, int] = field(default_factory=dict)


def run_policy(shape: DemandShape, policy: Policy, seed: int = SEED) -> Result:
    """Run one policy on one shape, once for load and once for a wave."""
    load = Simulation(shape, policy, seed, maintain=False).run(SECONDS)
    wave = Simulation(shape, policy, seed, maintain=True).run(WAVE_SECONDS)
    distance, worst = measure_shares(load)
    return Result(
        shape=shape.name,
        policy=policy.name,
        distance=distance,
        worst=worst,
        buffer=load.idle_slot_seconds / SECONDS,
        moves=load.moves,
        roll_out=wave.wave_end,
        p50=percentile(load.waits, 0.5),
        p99=percentile(load.waits, 0.99),
        served=len(load.waits),
        refusals=dict(load.refusals),
    )


def measure_shares(simulation: Simulation) -> tuple[float, float]:
    """Return the mean distance to entitlement and the worst part of it."""
    shape = simulation.shape
    shares = dict(zip(shape.teams, shape.shares, strict=True))
    distances, worst = [], 1.0
    for window, asked in simulation.offered.items():
        capacity = simulation.capacity[window]
        if sum(asked.values()) <= capacity or not capacity:
            continue
        parts = entitle(dict(asked), shares, capacity)
        served = simulation.served[window]
        gaps = [max(0.0, part - served[team]) for team, part in parts.items()]
        distances.append(sum(gaps) / sum(parts.values()))
        worst = min(worst, *(served[team] / part for team, part in parts.items()))
    return sum(distances) / max(1, len(distances)), worst


def print_results(results: list[Result]) -> None:
    """Print the table."""
    print(
        f"{'user':<8}{'policy':<15}{'distance':>9}{'worst':>7}{'buffer':>8}"
        f"{'moves':>7}{'roll-out':>9}{'p50':>7}{'p99':>7}{'served':>8}{'refused':>8}"
    )
    for item in results:
        roll_out = f"{item.roll_out:.0f}" if item.roll_out else "none"
        print(
            f"{item.shape:<8}{item.policy:<15}{item.distance:>9.3f}{item.worst:>7.2f}"
            f"{item.buffer:>8.1f}{item.moves:>7}{roll_out:>9}{item.p50:>7.2f}"
            f"{item.p99:>7.2f}{item.served:>8}{sum(item.refusals.values()):>8}"
        )


def plot(results: list[Result]) -> None:
    """Draw the measures, if the plotting extra is installed."""
    try:
        from matplotlib import pyplot
    except ImportError:
        print("no plots: install the extra 'plots'")
        return
    fields = ("distance", "worst", "moves", "roll_out")
    figure, axes = pyplot.subplots(1, len(fields), figsize=(14, 4))
    labels = [f"{item.shape}\n{item.policy}" for item in results]
    for axis, name in zip(axes, fields, strict=True):
        axis.bar(labels, [getattr(item, name) or 0.0 for item in results])
        axis.set_title(name)
        axis.tick_params(axis="x", rotation=75)
    figure.tight_layout()
    figure.savefig(OUTPUT / "experiments.png")


def main() -> None:
    """Run all policies on both shapes."""
    runs = [
        (shape, policy)
        for shape in (KORO, HANBIT)
        for policy in (STATIC, RESTLESS, SHIPPED)
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(run_policy, *zip(*runs, strict=True)))
    OUTPUT.mkdir(exist_ok=True)
    document = [asdict(result) for result in results]
    (OUTPUT / "experiments.json").write_text(json.dumps(document, indent=2))
    print_results(results)
    plot(results)
    sys.exit(0)


if __name__ == "__main__":
    main()
