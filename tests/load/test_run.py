"""The load tool against a server that misbehaves in known ways."""

import functools
import threading
import time
from typing import NamedTuple

import msgspec
import pytest

from buckthornrock.httpd import start_server
from buckthornrock.load.compare import compare, figures
from buckthornrock.load.results import (
    UNITS_PER_MS,
    Group,
    LoadResult,
    histogram,
    merge,
)
from buckthornrock.load.runner import run_load
from buckthornrock.load.spec import LoadSpec

KEYS = {f"large-{i}/shop": "k" for i in range(2)}
KEYS |= {f"small-{i}/shop": "k" for i in range(6)}


class _Server(NamedTuple):
    texts: tuple[str, ...] = ("a", "b")
    ends: bool = True
    status: int = 200
    delay_s: float = 0.0

    def handle(self, exchange):
        exchange.read_body()
        time.sleep(self.delay_s)
        if self.status != 200:
            exchange.respond_json(self.status, {"code": "busy", "request_id": "r"})
            return
        exchange.start_stream(200, {"X-Request-Id": "r"})
        for text in self.texts:
            event = msgspec.json.encode({"choices": [{"index": 0, "text": text}]})
            exchange.send_part(b"id: 1\ndata: " + event + b"\n\n")
        if not self.ends:
            exchange.abort()
            return
        exchange.send_part(b"data: [DONE]\n\n")


@pytest.fixture(scope="module")
def start():
    servers = []

    def start_one(handle):
        servers.append(start_server("127.0.0.1", 0, handle, n_threads=64))
        return servers[-1]

    yield start_one
    # Each stop waits for idle threads, so all are stopped at once.
    stops = [threading.Thread(target=server.stop) for server in servers]
    for stop in stops:
        stop.start()
    for stop in stops:
        stop.join()


@pytest.fixture
def run(start):
    return functools.partial(_run, start)


def _run(start, server, **changes):
    http = start(server.handle)
    spec = LoadSpec(
        targets=(f"http://127.0.0.1:{http.port}",),
        mix="paddock-lane",
        rate_per_s=50.0,
        duration_ms=800.0,
        keys=KEYS,
        grace_ms=5_000.0,
    )
    spec = msgspec.structs.replace(spec, **changes)
    return run_load(spec, lambda prompt, n: "ab", lambda *_: None)


def _kinds(result):
    return {kind for group in result.groups for kind in group.n_by_kind}


ANSWERS = [
    (_Server(), "whole"),
    (_Server(texts=("a", "x")), "wrong"),
    (_Server(ends=False), "incomplete"),
    (_Server(status=503), "refused"),
]


@pytest.mark.parametrize(("server", "kind"), ANSWERS, ids=[k for _, k in ANSWERS])
def test_answers_are_judged(run, server, kind):
    assert _kinds(run(server)) == {kind}


def test_slow_server_does_not_slow_arrivals(run):
    fast, slow = run(_Server()), run(_Server(delay_s=1.0))
    n_fast, n_slow = (sum(g.n_sent for g in r.groups) for r in (fast, slow))
    assert n_fast == n_slow
    # The wait is counted from when each request was due.
    assert figures(slow)["blurb.ttft_p50_ms"] >= 990.0


def test_unanswered_requests_are_counted(run):
    result = run(_Server(delay_s=3.0), grace_ms=100.0)
    assert _kinds(result) == {"unfinished"}
    assert sum(g.n_on_time for g in result.groups) == 0


def test_merged_shards_equal_whole(run):
    shards = [run(_Server(), shard=i, n_shards=2) for i in range(2)]
    whole = run(_Server())
    merged = merge(shards)
    assert sum(g.n_sent for g in merged.groups) == sum(g.n_sent for g in whole.groups)
    assert figures(merged).keys() == figures(whole).keys()


def _recorded(seed, ttft_ms):
    """A result whose blurbs all had about this time to first token."""
    times = histogram()
    for extra_ms in range(20):
        times.record_value(round((ttft_ms + seed + extra_ms) * UNITS_PER_MS))
    group = Group("blurb", 0, "small", 20, 20, {}, {}, times.encode().decode())
    return LoadResult("m", seed, 10.0, 1.0, [group], {})


@pytest.mark.parametrize(
    ("ttft_ms", "is_clear"), [(300.0, True), (50.0, False)], ids=["slower", "same"]
)
def test_comparison_finds_only_planted_difference(ttft_ms, is_clear):
    # Recorded times instead of live ones: a busy machine must not change a verdict.
    fast = [_recorded(seed, 50.0) for seed in (1, 2, 3)]
    slow = [_recorded(seed, ttft_ms) for seed in (1, 2, 3)]
    ratio = {r.name: r for r in compare(fast, slow).ok}["blurb.ttft_p50_ms"]
    assert ratio.low <= ratio.ratio <= ratio.high
    assert ratio.is_clear == is_clear
    assert (ratio.low > 1.0) == is_clear


def test_results_of_other_rates_are_not_compared():
    a = LoadResult("m", 1, 10.0, 1.0, [], {})
    b = msgspec.structs.replace(a, rate_per_s=20.0)
    assert compare([a], [b]).error.code == "not-comparable"
