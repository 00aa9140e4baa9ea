"""Measures the cache index: time per event and per lookup, memory per entry.

Run ``python benchmarks/routing_index.py --seed 1``.
"""

import random
import statistics
import time
import tracemalloc

import click

from buckthornrock.conf.settings import RoutingSettings
from buckthornrock.fleet import EngineView
from buckthornrock.routing import RouteQuery
from buckthornrock.routing.blocks import BlockHasher
from buckthornrock.routing.cost import CostRouter, RoutingContext
from buckthornrock.routing.index import CacheIndex
from buckthornrock.upstreams.engine_messages import CacheEvent

N_BLOCKS_PER_EVENT = 1
BATCH_SIZE = 64


def _events(rng, n_entries, first_seq=1, kind="stored"):
    return [
        CacheEvent(first_seq + i, kind, [rng.randbytes(8).hex()])
        for i in range(n_entries)
    ]


def _apply(index, name, events):
    started_s = time.perf_counter()
    for at in range(0, len(events), BATCH_SIZE):
        index.apply(name, "i1", events[at : at + BATCH_SIZE], 0.0)
    return (time.perf_counter() - started_s) / len(events) * 1e6


def measure_events(rng, n_entries):
    """Return microseconds a stored and a removed event, and bytes an entry."""
    stored = _events(rng, n_entries)
    removed = [
        CacheEvent(n_entries + 1 + i, "removed", event.hashes)
        for i, event in enumerate(stored)
    ]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    index = CacheIndex(n_entries + 1)
    _apply(index, "e0", stored)
    n_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert index.n_blocks == n_entries
    timed = CacheIndex(n_entries + 1)
    stored_us = _apply(timed, "e0", stored)
    removed_us = _apply(timed, "e0", removed)
    assert timed.n_blocks == 0
    return stored_us, removed_us, n_bytes / n_entries


def _engine(index):
    return EngineView(
        f"e{index}", "127.0.0.1:1", "fd-0", "i1", "w1", ("small",), (), 0, 0, 0, 0,
        20_000.0, 10.0, 0.0, 1.0,
    )  # fmt: skip


def measure_choices(rng, n_entries, n_engines, prompt_bytes, n_choices):
    """Return microseconds of each choice at a full index, by warmth of the prompt."""
    settings = RoutingSettings()
    context = RoutingContext("a" * 16, "fd-0", 64, settings, rng, lambda: 7)
    router = CostRouter(context)
    engines = [_engine(index) for index in range(n_engines)]
    shared = rng.randbytes(prompt_bytes)
    probe = _query(shared, 0, prompt_bytes)
    salt = router.choose(probe, engines, 0.0).ok.cache_salt
    chain = BlockHasher(64).chain(salt, shared)
    for engine in engines:
        events = _events(rng, n_entries // n_engines)
        hashes = [block_hash.to_bytes(8, "little").hex() for block_hash in chain]
        events.append(CacheEvent(len(events) + 1, "stored", hashes))
        router.on_events(engine.upstream_id, "i1", events, 0.0)
    spent_us = []
    for number in range(n_choices):
        query = _query(shared, number, prompt_bytes)
        started_s = time.perf_counter()
        choice = router.choose(query, engines, 1.0).ok
        spent_us.append((time.perf_counter() - started_s) * 1e6)
        assert choice.n_hit_tokens > 0
    return spent_us


def _query(shared, number, prompt_bytes):
    return RouteQuery(
        str(number), "agency", "north", "small", "", shared + b"%64d" % number,
        (prompt_bytes // 2, prompt_bytes), 64, 0, frozenset(),
    )  # fmt: skip


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--n-entries", default=68_000, show_default=True)
@click.option("--n-engines", default=9, show_default=True)
@click.option("--prompt-bytes", default=16_384, show_default=True)
def main(seed, n_entries, n_engines, prompt_bytes):
    """Print one figure a line."""
    rng = random.Random(seed)
    stored_us, removed_us, entry_bytes = measure_events(rng, n_entries)
    spent_us = measure_choices(rng, n_entries, n_engines, prompt_bytes, 500)
    quantiles = statistics.quantiles(spent_us, n=100)
    click.echo(f"entries {n_entries}, engines {n_engines}, seed {seed}")
    click.echo(f"stored event us {stored_us:.2f}")
    click.echo(f"removed event us {removed_us:.2f}")
    click.echo(f"entry bytes {entry_bytes:.1f}")
    click.echo(f"choice us p50 {quantiles[49]:.0f} p99 {quantiles[98]:.0f}")


if __name__ == "__main__":
    main()
