"""The window follows a queue model of an engine, and buckets hold their rates."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornrock.admission.buckets import BURST_MS, AccountBuckets, Rates
from buckthornrock.admission.window import CONTROLLERS, Window

RATE_TOKENS_PER_MS = 10.0
PATH_MS = 20.0
TARGET_MS = 100.0


def delay_ms(window_tokens, knee_tokens):
    """Return an engine's queueing delay: what exceeds the knee waits."""
    return PATH_MS + max(0.0, window_tokens - knee_tokens) / RATE_TOKENS_PER_MS


@pytest.mark.parametrize("name", ["aimd", "gradient"])
@pytest.mark.parametrize("initial_tokens", [64.0, 8_192.0, 500_000.0])
@pytest.mark.parametrize("knee_tokens", [2_000.0, 50_000.0])
def test_window_settles_near_engines_knee(name, initial_tokens, knee_tokens):
    window = Window(CONTROLLERS[name](TARGET_MS), initial_tokens)
    seen = []
    for index in range(8_000):
        window.note_use(1.0)
        seen.append(window.tokens_per_engine)
        ttft_ms = delay_ms(window.tokens_per_engine, knee_tokens)
        window.note_first_token(ttft_ms, 0.0, index * 25.0, index * 25.0)
    late = seen[4_000:]
    assert min(late) >= 0.5 * knee_tokens
    assert max(delay_ms(tokens, knee_tokens) for tokens in late) <= 4 * TARGET_MS


@pytest.mark.parametrize("name", ["aimd", "gradient"])
@pytest.mark.parametrize("own_ms", [0.0, 300.0, 1_500.0])
@pytest.mark.parametrize("initial_tokens", [8_192.0, 500_000.0])
def test_own_delay_of_engines_is_told_from_their_queue(name, own_ms, initial_tokens):
    knee_tokens = 20_000.0
    window = Window(CONTROLLERS[name](TARGET_MS), initial_tokens)
    queues_ms, sizes = [], []
    for index in range(24_000):
        window.note_use(1.0)
        queue_ms = delay_ms(window.tokens_per_engine, knee_tokens) - PATH_MS
        now_ms = index * 25.0
        ttft_ms = own_ms + queue_ms
        window.note_first_token(ttft_ms, 0.0, now_ms - ttft_ms, now_ms)
        queues_ms.append(queue_ms)
        sizes.append(window.tokens_per_engine)
    # The window follows the queue alone, whatever the engines' own delay.
    assert min(sizes[16_000:]) >= 0.5 * knee_tokens
    assert max(queues_ms[16_000:]) <= 4 * TARGET_MS


@pytest.mark.parametrize("name", ["aimd", "gradient"])
def test_unused_window_does_not_grow(name):
    window = Window(CONTROLLERS[name](TARGET_MS), 1_000.0)
    for index in range(1_000):
        window.note_use(0.1)
        window.note_first_token(PATH_MS, 0.0, index * 25.0, index * 25.0)
    assert window.tokens_per_engine == 1_000.0


def test_first_tokens_of_an_older_window_are_not_acted_on():
    window = Window(CONTROLLERS["aimd"](TARGET_MS), 10_000.0)
    for index in range(8):
        window.note_first_token(5_000.0, 0.0, index * 50.0, 1_000.0)
    shrunk = window.tokens_per_engine
    assert shrunk < 10_000.0
    for index in range(100):
        window.note_first_token(5_000.0, 0.0, 900.0, 2_000.0 + index * 50.0)
    assert window.tokens_per_engine == shrunk


@settings(max_examples=40)
@given(
    st.floats(1.0, 100.0),
    st.lists(st.tuples(st.floats(0.0, 200.0), st.floats(1.0, 500.0)), min_size=50),
)
def test_buckets_hold_their_rates(requests_per_s, arrivals):
    rates = Rates(requests_per_s, 1_000.0)
    buckets = AccountBuckets(0.0)
    now_ms, n_taken, n_tokens = 0.0, 0, 0.0
    for gap_ms, cost in arrivals:
        now_ms += gap_ms
        limit, wait_ms = buckets.take(rates, cost, now_ms)
        assert (limit == "") == (wait_ms == 0.0)
        if not limit:
            n_taken += 1
            n_tokens += cost
    full_ms = now_ms + BURST_MS
    assert n_taken <= requests_per_s * full_ms / 1_000.0 + 1
    assert n_tokens <= 1_000.0 * full_ms / 1_000.0 + 500.0


@given(st.floats(0.1, 100.0), st.floats(1.0, 5_000.0))
def test_bucket_lets_in_after_the_wait_it_named(rate, cost):
    rates = Rates(rate, 100.0)
    buckets = AccountBuckets(0.0)
    assert buckets.take(rates, cost, 0.0) == ("", 0.0)
    limit, wait_ms = buckets.take(rates, cost, 0.0)
    if limit:
        assert buckets.take(rates, cost, wait_ms + 0.01) == ("", 0.0)
