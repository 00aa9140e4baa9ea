"""The emulated engine's core under a virtual clock."""

import random

import pytest

from buckthornrock.standins.cache_oracle import CacheTrace, replay
from buckthornrock.standins.engine_core import EngineCore, Sequence
from buckthornrock.standins.engine_parameters import EngineParameters, block_hashes

N_REQUESTS = 20_000
TOKENS_PER_S = 1_000.0
SERVICE_MS = 100.0


def _sequence(name, n_tokens, hashes=(), max_tokens=1, priority=0):
    return Sequence(name, list(hashes), n_tokens, 0, max_tokens, priority)


def _run_all(core, now_ms=0.0):
    finished = {}
    while (event_ms := core.next_event_ms()) is not None:
        now_ms = event_ms
        for sequence in core.advance(now_ms):
            finished[sequence.stream_id] = now_ms
    return finished


def _mean_wait_ms(load, draw_service_ms):
    parameters = EngineParameters(
        prefill_tokens_per_s=TOKENS_PER_S, max_batch=1, max_step_tokens=1_000_000
    )
    core = EngineCore(parameters)
    rng = random.Random(7)
    now_ms = 0.0
    waits_ms = []
    sequences = []
    for index in range(N_REQUESTS):
        now_ms += rng.expovariate(load / SERVICE_MS)
        core.advance(now_ms)
        n_tokens = max(1, round(draw_service_ms(rng) * TOKENS_PER_S / 1000.0))
        sequence = _sequence(str(index), n_tokens)
        core.submit(sequence, now_ms)
        sequences.append(sequence)
    _run_all(core, now_ms)
    waits_ms = [s.started_at_ms - s.arrived_at_ms for s in sequences]
    return sum(waits_ms) / len(waits_ms)


# The mean waits of the Pollaczek-Khinchine formula, for deterministic and for
# exponential service.
QUEUES = [
    (0.5, lambda rng: SERVICE_MS, 0.5 / (2 * 0.5) * SERVICE_MS),
    (0.8, lambda rng: SERVICE_MS, 0.8 / (2 * 0.2) * SERVICE_MS),
    (0.5, lambda rng: rng.expovariate(1 / SERVICE_MS), 0.5 / 0.5 * SERVICE_MS),
]


@pytest.mark.parametrize(("load", "draw", "expected_ms"), QUEUES)
def test_mean_wait_is_that_of_closed_form(load, draw, expected_ms):
    assert _mean_wait_ms(load, draw) == pytest.approx(expected_ms, rel=0.08)


def test_prefill_rate_is_shared_and_decode_step_grows():
    parameters = EngineParameters(
        prefill_tokens_per_s=1_000.0, inter_token_ms=10.0, decode_growth_ms=2.0
    )
    core = EngineCore(parameters)
    core.submit(_sequence("a", 100, max_tokens=3), 0.0)
    core.submit(_sequence("b", 100, max_tokens=3), 0.0)
    # Steps: a's prefill to 100; b's prefill and a's decode to 210; both decode to
    # 222; b alone to 232.
    assert _run_all(core) == {"a": 222.0, "b": 232.0}


def test_waiting_queue_is_served_by_priority():
    core = EngineCore(EngineParameters(prefill_tokens_per_s=1_000.0, max_batch=1))
    for name, priority in (("first", 2), ("deferrable", 2), ("urgent", 0)):
        core.submit(_sequence(name, 100, priority=priority), 0.0)
    finished = _run_all(core)
    assert sorted(finished, key=finished.get) == ["first", "urgent", "deferrable"]


def test_cached_prefix_is_not_computed_again():
    core = EngineCore(EngineParameters(prefill_tokens_per_s=1_000.0))
    hashes = block_hashes(b"x" * 640, "aa")
    core.submit(_sequence("a", 160, hashes), 0.0)
    assert _run_all(core) == {"a": 160.0}
    core.submit(_sequence("b", 160, hashes), 200.0)
    assert _run_all(core) == {"b": 201.0}
    assert core.counters.n_hit_tokens == 159


def test_least_recently_used_blocks_are_evicted_and_told():
    core = EngineCore(EngineParameters(n_cache_blocks=10, events_lag_ms=0.0))
    first, second = (block_hashes(c * 512, "aa") for c in (b"a", b"b"))
    core.submit(_sequence("a", 128, first), 0.0)
    _run_all(core)
    core.submit(_sequence("b", 128, second), 1_000.0)
    _run_all(core)
    assert len(core.cache) == 10
    # The start of the older chain is what is still of use.
    assert core.cache.n_hit_blocks(first) == 2
    events = core.feed.since(0, 1e9)
    assert [e.kind for e in events] == ["stored", "stored", "removed"]
    assert set(events[-1].hashes) == set(first[2:])


def test_events_are_late_and_lost_ones_leave_gaps():
    parameters = EngineParameters(events_lag_ms=50.0, event_loss=0.5, seed=3)
    core = EngineCore(parameters)
    for index in range(50):
        core.feed.append(float(index), "stored", [f"{index:x}"])
    numbers = [e.seq for e in core.feed.since(0, 1_000.0)]
    assert 0 < len(numbers) < 50
    assert numbers == sorted(set(numbers))
    assert all(e.at_ms <= 10.0 for e in core.feed.since(0, 60.0))


def test_crash_leaves_nothing():
    core = EngineCore(EngineParameters())
    hashes = block_hashes(b"x" * 640, "aa")
    core.submit(_sequence("a", 160, hashes, max_tokens=100), 0.0)
    core.advance(50.0)
    core.crash(50.0)
    assert core.next_event_ms() is None
    assert (len(core.cache), core.running) == (0, [])


@pytest.mark.parametrize(
    ("delay_ms", "n_wasted", "n_duplicated"), [(0.0, 0, 160), (500.0, 160, 0)]
)
def test_oracle_sees_what_was_computed_in_vain(delay_ms, n_wasted, n_duplicated):
    traces = CacheTrace(), CacheTrace()
    parameters = EngineParameters(prefill_tokens_per_s=1_000.0)
    cores = [EngineCore(parameters, *pair) for pair in zip("ab", traces, strict=True)]
    hashes = block_hashes(b"x" * 640, "aa")
    cores[0].submit(_sequence("1", 160, hashes), 0.0)
    cores[0].advance(delay_ms)
    cores[1].submit(_sequence("2", 160, hashes), delay_ms)
    oracle = replay(trace.notes for trace in traces)
    assert oracle.total == (n_wasted, n_duplicated, 160)
    assert oracle.ideal_ttfts_ms == [160.0, 0.0]
