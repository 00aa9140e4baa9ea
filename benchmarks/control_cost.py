"""What an instance spends while nobody calls it, by engines and by instances.

``python -m benchmarks.control_cost`` prints a table: processor share, memory and
calls to the key-value service of one instance (mean over the fleet).
"""

import time
from statistics import mean
from typing import NamedTuple

import click

from .deployments import DEPLOYMENTS
from .processes import Processes
from .trial import Trial, World, start_world

SETTLE_S = 3.0
WATCH_S = 8.0
#: Instances, engines, and periods of load and event polls in milliseconds.
SIZES = (
    (7, 3, 250, 100),
    (7, 6, 250, 100),
    (7, 9, 250, 100),
    (2, 6, 250, 100),
    (4, 6, 250, 100),
    (7, 6, 1_000, 100),
    (7, 6, 250, 1_000),
)


class Cost(NamedTuple):
    """Means of one instance."""

    n_instances: int
    n_engines: int
    processor_share: float
    memory_mb: float
    kv_calls_per_s: float
    machine_share: float


@click.command()
def main() -> None:
    """Measure every size."""
    click.echo(
        "| instances | engines | load poll | event poll | core | memory MB "
        "| KV calls/s | machine |"
    )
    click.echo("|---|---|---|---|---|---|---|---|")
    for n_instances, n_engines, load_ms, events_ms in SIZES:
        periods = {
            "upstreams": {"poll_period_ms": load_ms},
            "routing": {"event_period_ms": events_ms},
        }
        cost = measure(n_instances, n_engines, periods)
        click.echo(
            f"| {cost.n_instances} | {cost.n_engines} | {load_ms} ms | {events_ms} ms "
            f"| {cost.processor_share:.4f} "
            f"| {cost.memory_mb:.1f} | {cost.kv_calls_per_s:.2f} "
            f"| {cost.machine_share:.0%} |"
        )


def measure(n_instances: int, n_engines: int, periods: dict) -> Cost:
    """Return the cost at one size."""
    deployment = DEPLOYMENTS["paddock-lane"]._replace(n_engines=n_engines)
    processes = Processes()
    trial = Trial("paddock-lane", "idle", {}, n_instances=n_instances, periods=periods)
    try:
        world = start_world(processes, trial, deployment)
        time.sleep(SETTLE_S)
        n_calls = _n_kv_calls(world)
        processes.begin_watch()
        time.sleep(WATCH_S)
        shares = processes.end_watch()
        n_calls = _n_kv_calls(world) - n_calls
        names = [f"instance-{i}" for i in range(n_instances)]
        memory_mb = mean(processes.memory_mb(name) for name in names)
    finally:
        processes.stop()
    return Cost(
        n_instances=n_instances,
        n_engines=n_engines,
        processor_share=mean(shares[name] for name in names),
        memory_mb=memory_mb,
        kv_calls_per_s=n_calls / WATCH_S / n_instances,
        machine_share=shares["machine"],
    )


def _n_kv_calls(world: World) -> int:
    url = f"http://127.0.0.1:{world.platform_control_port}/summary"
    return world.http.request("GET", url).json()["n_kv_calls"]


if __name__ == "__main__":
    main()
