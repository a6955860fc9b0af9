"""Compares the shipped policy with baselines on the demand shapes of both users."""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path

from jujubebarrow.benches.audits import percentile
from jujubebarrow.benches.demands import HANBIT, KORO, DemandShape
from jujubebarrow.benches.policies import NO_HYSTERESIS, SHIPPED, STATIC, Policy
from jujubebarrow.benches.simulations import Simulation
from jujubebarrow.shares.entitlements import compute_entitlements

LOAD_SECONDS = 160.0
WAVE_SECONDS = 400.0
SEED = 1
PROCESS_COUNT = 4
OUTPUT_FOLDER = Path("out")


@dataclass
class PolicyResult:
    """Measures of one policy on one demand shape.

    Attributes:
        shape: Name of the user whose demand shape was simulated.
        policy: Name of the policy.
        distance: Mean shortfall of the teams from their entitlements, as a fraction
            of the entitlements, over the windows of 10 s in which the demand on a pool
            exceeds the pool's capacity.
        worst: Smallest fraction of its entitlement that a team got in such a window.
        buffer: Mean number of unused slots.
        moves: Number of instance moves between pools.
        roll_out: Duration of the maintenance wave in seconds; None if the wave did
            not end.
        p50: Median wait in seconds.
        p99: 99th percentile of the wait in seconds.
        served: Number of requests that were started.
        refusals: Number of refused requests by kind.
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


def run_policy(shape: DemandShape, policy: Policy, seed: int = SEED) -> PolicyResult:
    """Simulate a policy on a demand shape, without and with a maintenance wave."""
    load_simulation = Simulation(shape, policy, seed, has_wave=False).run(LOAD_SECONDS)
    wave_simulation = Simulation(shape, policy, seed, has_wave=True).run(WAVE_SECONDS)
    distance, worst = measure_shares(load_simulation)
    return PolicyResult(
        shape=shape.name,
        policy=policy.name,
        distance=distance,
        worst=worst,
        buffer=load_simulation.idle_slot_seconds / LOAD_SECONDS,
        moves=load_simulation.moves,
        roll_out=wave_simulation.wave_duration,
        p50=percentile(load_simulation.waits, 0.5),
        p99=percentile(load_simulation.waits, 0.99),
        served=len(load_simulation.waits),
        refusals=dict(load_simulation.refusals),
    )


def measure_shares(simulation: Simulation) -> tuple[float, float]:
    """Return how closely the teams of a simulation got their entitlements.

    Only the windows of a pool in which the demand exceeds the pool's capacity count.

    Returns:
        The mean shortfall as a fraction of the entitlements, and the smallest fraction
        of its entitlement that a team got in a window.
    """
    shape = simulation.shape
    shares = dict(zip(shape.teams, shape.shares, strict=True))
    distances, worst = [], 1.0
    for pool_window, demands in simulation.demanded_slot_seconds.items():
        capacity = simulation.capacity_slot_seconds[pool_window]
        if sum(demands.values()) <= capacity or not capacity:
            continue
        entitlements = compute_entitlements(dict(demands), shares, capacity)
        served = simulation.served_slot_seconds[pool_window]
        shortfalls = [
            max(0.0, entitlement - served[team])
            for team, entitlement in entitlements.items()
        ]
        distances.append(sum(shortfalls) / sum(entitlements.values()))
        worst = min(
            worst,
            *(served[team] / entitlement for team, entitlement in entitlements.items()),
        )
    return sum(distances) / max(1, len(distances)), worst


def print_results(results: list[PolicyResult]) -> None:
    """Print the results as a table."""
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


def plot(results: list[PolicyResult]) -> None:
    """Write bar charts of the measures if matplotlib is installed."""
    try:
        from matplotlib import pyplot
    except ImportError:
        print("no plots: install the extra 'plots'")
        return
    measures = ("distance", "worst", "moves", "roll_out")
    figure, axes = pyplot.subplots(1, len(measures), figsize=(14, 4))
    labels = [f"{item.shape}\n{item.policy}" for item in results]
    for axis, name in zip(axes, measures, strict=True):
        axis.bar(labels, [getattr(item, name) or 0.0 for item in results])
        axis.set_title(name)
        axis.tick_params(axis="x", rotation=75)
    figure.tight_layout()
    figure.savefig(OUTPUT_FOLDER / "experiments.png")


def main() -> None:
    """Run all policies on both demand shapes, then print and write the results."""
    runs = [
        (shape, policy)
        for shape in (KORO, HANBIT)
        for policy in (STATIC, NO_HYSTERESIS, SHIPPED)
    ]
    with ProcessPoolExecutor(PROCESS_COUNT) as pool:
        results = list(pool.map(run_policy, *zip(*runs, strict=True)))
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    document = [asdict(result) for result in results]
    (OUTPUT_FOLDER / "experiments.json").write_text(json.dumps(document, indent=2))
    print_results(results)
    plot(results)
    sys.exit(0)


if __name__ == "__main__":
    main()
