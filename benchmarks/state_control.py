"""Measures time in force and the cost of control, and works out slopes.

``python -m benchmarks.state_control --sizes 7,14,21 --seed 1`` prints the tables of
docs/measures/state.md.
"""

import random
import statistics
import time
from typing import NamedTuple

import click

from .state_fleet import StateFleet, StateNode

SETTLE_S = 8.0
STEADY_S = 20.0
N_CHANGES = 20
N_FAULT_ROUNDS = 5
FAULT_LIMIT_S = 20.0
FLEET_SIZE = 340
HERD_LATENCY_MS = 200.0

#: Goals, from the issue and the letter.
GOALS = {
    "cpu_share": 0.017,
    "memory_mb": 64.0,
    "wire_bytes_per_s": 9_000.0,
}


class Cost(NamedTuple):
    """What one instance spends while nothing changes."""

    cpu_share: float
    memory_mb: float
    wire_bytes_per_s: float
    kv_calls_per_s: float


class Times(NamedTuple):
    """Seconds from an operator's request until a change was in force everywhere."""

    seconds: list[float]
    n_late: int


def measure_cost(fleet: StateFleet) -> Cost:
    """Return the mean cost of an instance over ``STEADY_S``."""
    before = _totals(fleet)
    time.sleep(STEADY_S)
    spent = [b - a for a, b in zip(before, _totals(fleet), strict=True)]
    n_nodes = len(fleet.nodes)
    cpu_s, n_bytes, n_calls = (total / n_nodes / STEADY_S for total in spent)
    memory_mb = max(node.memory_mb() for node in fleet.nodes)
    return Cost(cpu_s, memory_mb, n_bytes, n_calls)


def _totals(fleet: StateFleet) -> tuple[float, float, float]:
    n_bytes = sum(report.get("wire_bytes.sent", 0) for report in fleet.reports())
    cpu_s = sum(node.cpu_s() for node in fleet.nodes)
    return cpu_s, n_bytes, fleet.kv.n_calls


def change(
    fleet: StateFleet, node: StateNode, floor: float, after: object = None
) -> float | None:
    """Change the profile at ``node``; return the seconds until in force everywhere."""
    answer = node.command(f"apply {floor}")
    if after:
        after()
    if not answer["version"]:
        return None
    if not fleet.wait_in_force(answer["version"], FAULT_LIMIT_S):
        return None
    times = [
        min(at_s for at_s, version in n.in_force() if version >= answer["version"])
        for n in fleet.nodes
    ]
    return max(times) - answer["asked_at_s"]


def measure_normal(fleet: StateFleet, rng: random.Random) -> Times:
    """Change the profile with nothing wrong."""
    results = []
    for _ in range(N_CHANGES):
        results.append(change(fleet, rng.choice(fleet.nodes), rng.random() * 0.5))
        time.sleep(0.2)
    return _times(results)


def measure_faults(fleet: StateFleet, rng: random.Random) -> dict[str, Times]:
    """Change the profile under each fault in turn."""
    faults = {
        "KV down right after acceptance": _kv_down_after,
        "a third restarts during the change": _restart_third,
        "KV answers lost, late and slow": _kv_unreliable,
        "KV back at an older snapshot": _kv_restored,
    }
    found = {}
    for name, fault in faults.items():
        results = []
        for _ in range(N_FAULT_ROUNDS):
            fleet.wait_joined()
            results.append(fault(fleet, rng))
            fleet.kv.fault = ""
            time.sleep(1.5)
        found[name] = _times(results)
    return found


def _kv_down_after(fleet: StateFleet, rng: random.Random) -> float | None:
    def fail() -> None:
        fleet.kv.fault = "down"

    return change(fleet, rng.choice(fleet.nodes), rng.random() * 0.5, fail)


def _restart_third(fleet: StateFleet, rng: random.Random) -> float | None:
    chosen = rng.sample(range(len(fleet.nodes)), len(fleet.nodes) // 3)
    for index in chosen:
        fleet.nodes[index].kill()
        fleet.nodes[index].start()
    rest = [n for i, n in enumerate(fleet.nodes) if i not in chosen]
    return change(fleet, rng.choice(rest), rng.random() * 0.5)


def _kv_unreliable(fleet: StateFleet, rng: random.Random) -> float | None:
    faults = fleet.kv.faults
    fleet.kv.set_faults(
        faults._replace(lost_share=0.3, late_share=0.3, late_ms=300.0, latency_ms=50.0)
    )
    return change(fleet, rng.choice(fleet.nodes), rng.random() * 0.5)


def _kv_restored(fleet: StateFleet, rng: random.Random) -> float | None:
    fleet.kv.take_snapshot()
    return change(fleet, rng.choice(fleet.nodes), rng.random() * 0.5, fleet.kv.restore)


def measure_restart(fleet: StateFleet, rng: random.Random) -> tuple[Times, Times]:
    """Return the times until a restarted instance has the version in force.

    Counted from the start of its process, and from when its imports were done. The
    key-value service is down.
    """
    fleet.kv.fault = "down"
    from_process, from_wiring = [], []
    for _ in range(N_FAULT_ROUNDS):
        node = rng.choice(fleet.nodes)
        node.kill()
        node.start()
        fleet.wait_in_force(1, FAULT_LIMIT_S)
        in_force_at_s = node.in_force()[0][0]
        wired_at_s = node.command("report")["wired_at_s"]
        from_process.append(in_force_at_s - node.started_at_s)
        from_wiring.append(in_force_at_s - wired_at_s)
    fleet.kv.fault = ""
    return Times(from_process, 0), Times(from_wiring, 0)


class Herd(NamedTuple):
    """What happened when every instance restarted at once and the KV was slow."""

    joined_s: float
    in_force_s: float
    peak_reads_per_s: int
    peak_writes_per_s: int


def measure_herd(fleet: StateFleet) -> Herd:
    """Restart every instance at once while every KV call takes 200 ms."""
    version = max(report["version"] for report in fleet.reports())
    fleet.kv.set_faults(fleet.kv.faults._replace(latency_ms=HERD_LATENCY_MS))
    fleet.kv.counts.peak_per_s.clear()
    for node in fleet.nodes:
        node.kill()
    started_at_s = time.time()
    for node in fleet.nodes:
        node.start()
    fleet.wait_in_force(version, FAULT_LIMIT_S)
    in_force_s = time.time() - started_at_s
    fleet.wait_joined()
    joined_s = time.time() - started_at_s
    fleet.kv.fault = ""
    peaks = fleet.kv.counts.peak_per_s
    n_writes = peaks["write"] + peaks["lease"]
    return Herd(joined_s, in_force_s, peaks["read"], n_writes)


def count_reverts(fleet: StateFleet) -> int:
    """Return how often a version fell within one run of an instance."""
    n_reverts = 0
    for node in fleet.nodes:
        versions = [version for _, version in node.in_force()]
        n_reverts += sum(b < a for a, b in zip(versions, versions[1:], strict=False))
    return n_reverts


def _times(results: list[float | None]) -> Times:
    seconds = [result for result in results if result is not None]
    return Times(seconds, len(results) - len(seconds))


def _print_times(name: str, times: Times) -> None:
    if not times.seconds:
        click.echo(f"| {name} | - | - | {times.n_late} |")
        return
    median = statistics.median(times.seconds)
    click.echo(f"| {name} | {median:.3f} | {max(times.seconds):.3f} | {times.n_late} |")


def _slope(sizes: list[int], values: list[float]) -> tuple[float, float]:
    slope, intercept = statistics.linear_regression(sizes, values)
    return slope, slope * FLEET_SIZE + intercept


@click.command()
@click.option("--sizes", default="7,14,21")
@click.option("--seed", default=1)
@click.option("--faults/--no-faults", default=True)
def main(sizes: str, seed: int, faults: bool) -> None:
    """Measure fleets of several sizes."""
    costs: dict[int, Cost] = {}
    for n_nodes in map(int, sizes.split(",")):
        rng = random.Random(seed)
        fleet = StateFleet(n_nodes, seed)
        try:
            started_at_s = time.time()
            fleet.wait_joined()
            joined_s = time.time() - started_at_s
            click.echo(f"\n{n_nodes} instances: all joined in {joined_s:.1f} s\n")
            time.sleep(SETTLE_S)
            costs[n_nodes] = measure_cost(fleet)
            click.echo("| case | median s | worst s | not in force in 20 s |")
            click.echo("|---|---|---|---|")
            _print_times("normal", measure_normal(fleet, rng))
            if faults:
                for name, times in measure_faults(fleet, rng).items():
                    _print_times(name, times)
                from_process, from_wiring = measure_restart(fleet, rng)
                _print_times("restart, KV down: from process start", from_process)
                _print_times("restart, KV down: from imports done", from_wiring)
            click.echo(f"\nreverts: {count_reverts(fleet)}")
            if faults:
                herd = measure_herd(fleet)
                click.echo(f"herd restart, slow KV: {herd._asdict()}")
        finally:
            fleet.stop()
    _print_costs(costs)


def _print_costs(costs: dict[int, Cost]) -> None:
    click.echo("\n| instances | " + " | ".join(Cost._fields) + " |")
    click.echo("|---|---|---|---|---|")
    for n_nodes, cost in costs.items():
        cells = " | ".join(f"{value:.4g}" for value in cost)
        click.echo(f"| {n_nodes} | {cells} |")
    if len(costs) < 2:
        return
    click.echo("\n| measure | slope an instance | at 340 by slope | goal |")
    click.echo("|---|---|---|---|")
    for index, field in enumerate(Cost._fields):
        values = [cost[index] for cost in costs.values()]
        slope, projected = _slope(list(costs), values)
        goal = GOALS.get(field, "")
        click.echo(f"| {field} | {slope:.3g} | {projected:.4g} | {goal} |")


if __name__ == "__main__":
    main()
