"""Processor time of choosing an engine.

``python -m benchmarks.choice_cost`` prints, for each kind of prompt and load, the time
of one choice among 45 engines: the least and the median of batches, in microseconds.
The least is the figure to compare; the median shows how busy the machine is.
"""

import random
import statistics
import time

import click

from buckthornrock.catalog.configuration import (
    EngineSpec,
    PromptStore,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.scheduling.choice import choose
from buckthornrock.scheduling.loads import FleetLoads, LoadReport, Work
from buckthornrock.scheduling.placement import Demand, SchedulingView
from buckthornrock.scheduling.prompt import PromptPart, PromptShape
from buckthornrock.scheduling.weights import WeightsView
from buckthornrock.wire.numeric_ids import incarnation_number, part_number

N_ENGINES = 45
N_PEERS = 12
N_PER_BATCH = 10
SERVICE = Service("engines", 100, EngineSpec(32, 170_000, 35_136, 550_000.0))
STORES = (PromptStore("store", "10.9.9.9:1", "b", 2_000_000),)
#: Load -> most requests, most queued prefill in ms and most memory at an engine.
LOADS = {"idle": (0, 0.0, 0), "busy": (24, 300.0, 120_000), "full": (40, 0.0, 169_000)}


@click.command()
@click.option("--batches", default=300, show_default=True, help="Batches of each case.")
@click.option("--seed", default=1, show_default=True, help="Seed of the loads.")
def main(batches: int, seed: int) -> None:
    """Print the processor time of a choice in each case."""
    engines = [_engine(number) for number in range(N_ENGINES)]
    for name in LOADS:
        view = _view(engines, name, random.Random(seed))
        for kind, demand in (("short", _short()), ("long", _long())):
            times_us = [_time_us(demand, engines, view) for _ in range(batches)]
            click.echo(
                f"{name:5} {kind:5} least {min(times_us):7.1f} us"
                f"  median {statistics.median(times_us):7.1f} us"
            )


def _time_us(demand: Demand, engines: list[Upstream], view: SchedulingView) -> float:
    started_s = time.thread_time()
    for _ in range(N_PER_BATCH):
        choose(demand, engines, view)
    return (time.thread_time() - started_s) / N_PER_BATCH * 1e6


def _view(engines: list[Upstream], name: str, rng: random.Random) -> SchedulingView:
    n_requests, prefill_ms, n_memory = LOADS[name]
    loads = FleetLoads()
    for upstream in engines:
        load = loads.of(upstream.incarnation)
        load.own = Work(
            rng.randint(0, n_requests),
            rng.uniform(0.0, prefill_ms),
            rng.randint(n_memory // 2, n_memory),
        )
        load.report = LoadReport(load.own.n_requests, 0, 32, 0.0)
        load.parts.use(part_number("shared/m/1", "contract"), 13_300, 0.0, 170_000)
        if rng.random() < 0.7:
            load.parts.clear()
    for number in range(N_PEERS):
        works = {incarnation_number(*u.incarnation): Work(0, 1.0, 9) for u in engines}
        loads.on_digest(f"peer{number}", works, 0.0)
    weights = WeightsView(20_000.0)
    weights.on_wanted("m", 1, 0.0)
    return SchedulingView(loads, weights, STORES, "a", 10.0)


def _engine(number: int) -> Upstream:
    return Upstream(
        f"e{number}", "engines", f"10.0.0.{number}:80", "abc"[number % 3], False, 1, 32,
        {"m": 1},
    )  # fmt: skip


def _route(rank: int, objective_ms: float) -> Route:
    return Route(
        "r", "h", "/", RouteKind.STREAM, (ServiceShare("engines", 1.0),), 12_000.0,
        objective_ms, rank, 1, False, False, 400.0,
    )  # fmt: skip


def _short() -> Demand:
    prompt = PromptShape("m", (PromptPart("own", 380),), 380, 50)
    return Demand("short", _route(0, 500.0), 1, SERVICE, "shared", prompt)


def _long() -> Demand:
    parts = (PromptPart("contract", 13_300), PromptPart("own", 3_700))
    prompt = PromptShape("m", parts, 17_000, 160)
    return Demand("long", _route(2, 1_500.0), 1, SERVICE, "shared", prompt)


if __name__ == "__main__":
    main()
