"""Slopes of the parts that grow with the fleet, each at three sizes or more.

``python -m benchmarks.slopes`` prints tables of processor time and memory, for
docs/CAPACITY.md. Processor time, not wall-clock time, so other work on the machine
matters little.
"""

import os
import random
import socket
import time
import tracemalloc
from collections.abc import Callable

import click
import msgspec

from buckthornrock.conf.settings import RoutingSettings
from buckthornrock.fleet import EngineView
from buckthornrock.routing import RouteQuery
from buckthornrock.routing.cost import CostRouter, RoutingContext
from buckthornrock.routing.index import EngineIndex
from buckthornrock.runtime.rendezvous import rank
from buckthornrock.standins.engine import (
    EngineParameters,
    EngineStandin,
    start_engine,
)
from buckthornrock.upstreams.engine_messages import CacheEvent, CacheEvents

N_REPEATS = 5
PROMPT_BYTES = 8_192


@click.command()
def main() -> None:
    """Print every table."""
    _table("rendezvous ranking", "ids", "us", (7, 100, 340), _rank_us)
    _table("choice of an engine", "engines", "us", (9, 50, 115, 690), _choose_us)
    _table("choice for a new prompt", "prompt KB", "us", (2, 8, 32), _prompt_us)
    _table("cache events", "blocks a batch", "us", (64, 512, 4_096), _events_us)
    sizes = (10_000, 30_000, 60_000)
    _table("cache index", "blocks", "KB", sizes, _index_kb)
    _table("answer of events decoded", "blocks", "us", (64, 512, 4_096), _decode_us)
    _table("answer of events", "blocks", "bytes", (64, 512, 4_096), _events_bytes)
    click.echo(f"\nload poll: {_load_poll_bytes()} bytes both ways")


def _table(
    name: str, what: str, unit: str, sizes: tuple, measure: Callable[[int], float]
) -> None:
    click.echo(f"\n| {name}: {what} | {unit} | {unit} each |\n|---|---|---|")
    for size in sizes:
        value = measure(size)
        click.echo(f"| {size} | {value:.1f} | {value / size:.4f} |")


def _rank_us(n_ids: int) -> float:
    ids = [f"instance-{index}" for index in range(n_ids)]
    return _us(lambda: rank(os.urandom(8), ids), 200)


def _choose_us(n_engines: int) -> float:
    router = _router()
    engines = tuple(_engine(f"engine-{index}") for index in range(n_engines))
    return _us(lambda: router.choose(_query(), engines, 0.0).ok, 100)


def _prompt_us(n_kb: int) -> float:
    router = _router()
    engines = (_engine("engine-0"),)
    # Every prompt is another one, so that no level is found in a memo.
    prompts = [os.urandom(n_kb * 512).hex().encode() for _ in range(100)]
    pending = iter(prompts)
    n_calls = len(prompts) // N_REPEATS
    return _us(lambda: router.choose(_query(next(pending)), engines, 0.0).ok, n_calls)


def _events_us(n_blocks: int) -> float:
    index = EngineIndex("i1", "w1", 1_000_000)
    batches = [
        CacheEvent(seq + 1, "stored", [os.urandom(8).hex() for _ in range(n_blocks)])
        for seq in range(100)
    ]
    pending = iter(batches)
    return _us(lambda: index.apply([next(pending)], 0.0), len(batches) // N_REPEATS)


def _index_kb(n_blocks: int) -> float:
    hashes = [os.urandom(8).hex() for _ in range(n_blocks)]
    index = EngineIndex("i1", "w1", 1_000_000)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    index.apply([CacheEvent(1, "stored", hashes)], 0.0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert index.n_blocks == n_blocks
    return (after - before) / 1024.0


def _events_answer(n_blocks: int) -> bytes:
    hashes = [os.urandom(8).hex() for _ in range(n_blocks)]
    event = {"seq": 1, "kind": "stored", "hashes": hashes}
    answer = {"incarnation": "i" * 16, "events": [event], "oldest_seq": 1}
    return msgspec.json.encode(answer)


def _decode_us(n_blocks: int) -> float:
    raw = _events_answer(n_blocks)
    return _us(lambda: msgspec.json.decode(raw, type=CacheEvents), 100)


def _events_bytes(n_blocks: int) -> float:
    return float(len(_events_answer(n_blocks)))


def _load_poll_bytes() -> int:
    """Return the bytes of one poll over a kept connection, as urllib3 sends it."""
    server = start_engine(EngineStandin(EngineParameters()), n_threads=2)
    n_bytes = 0
    request = (
        b"GET /load HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nAccept-Encoding: identity\r\n"
        b"User-Agent: python-urllib3/2.8.0\r\n\r\n" % server.port
    )
    with socket.create_connection(("127.0.0.1", server.port)) as connection:
        connection.sendall(request)
        n_bytes = len(request) + len(connection.recv(65_536))
        connection.settimeout(0.2)
        try:
            n_bytes += len(connection.recv(65_536))
        except TimeoutError:
            pass
    server.stop()
    return n_bytes


def _us(call: Callable[[], object], n_calls: int) -> float:
    """Return the least processor time of a call over some repeats."""
    best_s = float("inf")
    for _ in range(N_REPEATS):
        started_s = time.process_time()
        for _ in range(n_calls):
            call()
        best_s = min(best_s, (time.process_time() - started_s) / n_calls)
    return best_s * 1e6


def _router() -> CostRouter:
    settings = RoutingSettings()
    rng = random.Random(1)
    return CostRouter(
        RoutingContext("a-secret-of-slopes", "fd-0", 64, settings, rng, lambda: 7)
    )


def _query(prompt: bytes = b"x" * PROMPT_BYTES) -> RouteQuery:
    return RouteQuery(
        request_id="r",
        client_account="a",
        member="m",
        model="small",
        adapter="",
        prompt=prompt,
        prefix_levels=(len(prompt) // 2,),
        n_output_tokens=16,
        rank=0,
        excluded=frozenset(),
    )


def _engine(name: str) -> EngineView:
    return EngineView(
        upstream_id=name,
        address="127.0.0.1:1",
        failure_domain="fd-0",
        incarnation="i1",
        weights_version="w1",
        models=("small",),
        adapters=(),
        n_running=0,
        n_waiting=0,
        n_waiting_tokens=0,
        n_own_requests=0,
        prefill_tokens_per_s=10_000.0,
        inter_token_ms=10.0,
        report_age_ms=0.0,
        health=1.0,
    )


if __name__ == "__main__":
    main()
