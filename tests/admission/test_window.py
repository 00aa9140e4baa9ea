"""The window settles in a queue model of an engine, and buckets keep their rates."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornrock.admission.buckets import BURST_MS, AccountBuckets, Rates
from buckthornrock.admission.window import CONTROLLERS, Window

RATE_TOKENS_PER_MS = 10.0
MIN_DELAY_MS = 20.0
TARGET_MS = 100.0


def delay_ms(window_tokens, capacity_tokens):
    """Return the delay of an engine that queues work beyond ``capacity_tokens``."""
    return MIN_DELAY_MS + max(0.0, window_tokens - capacity_tokens) / RATE_TOKENS_PER_MS


@pytest.mark.parametrize("name", ["aimd", "gradient"])
@pytest.mark.parametrize("initial_tokens", [64.0, 8_192.0, 500_000.0])
@pytest.mark.parametrize("capacity_tokens", [2_000.0, 50_000.0])
def test_window_settles_near_the_capacity_of_the_engine(
    name, initial_tokens, capacity_tokens
):
    window = Window(CONTROLLERS[name](TARGET_MS), initial_tokens)
    seen = []
    for index in range(8_000):
        window.note_use(1.0)
        seen.append(window.tokens_per_engine)
        ttft_ms = delay_ms(window.tokens_per_engine, capacity_tokens)
        window.note_first_token(ttft_ms, 0.0, index * 25.0, index * 25.0)
    late = seen[4_000:]
    assert min(late) >= 0.5 * capacity_tokens
    assert max(delay_ms(tokens, capacity_tokens) for tokens in late) <= 4 * TARGET_MS


@pytest.mark.parametrize("name", ["aimd", "gradient"])
@pytest.mark.parametrize("base_ms", [0.0, 300.0, 1_500.0])
@pytest.mark.parametrize("initial_tokens", [8_192.0, 500_000.0])
def test_window_follows_the_queue_and_not_the_base_delay(name, base_ms, initial_tokens):
    capacity_tokens = 20_000.0
    window = Window(CONTROLLERS[name](TARGET_MS), initial_tokens)
    queues_ms, sizes = [], []
    for index in range(24_000):
        window.note_use(1.0)
        queue_ms = delay_ms(window.tokens_per_engine, capacity_tokens) - MIN_DELAY_MS
        now_ms = index * 25.0
        ttft_ms = base_ms + queue_ms
        window.note_first_token(ttft_ms, 0.0, now_ms - ttft_ms, now_ms)
        queues_ms.append(queue_ms)
        sizes.append(window.tokens_per_engine)
    # The window depends on the queue only, whatever the base delay of the engines.
    assert min(sizes[16_000:]) >= 0.5 * capacity_tokens
    assert max(queues_ms[16_000:]) <= 4 * TARGET_MS


@pytest.mark.parametrize("name", ["aimd", "gradient"])
def test_unused_window_does_not_grow(name):
    window = Window(CONTROLLERS[name](TARGET_MS), 1_000.0)
    for index in range(1_000):
        window.note_use(0.1)
        window.note_first_token(MIN_DELAY_MS, 0.0, index * 25.0, index * 25.0)
    assert window.tokens_per_engine == 1_000.0


def test_first_tokens_admitted_under_an_older_window_are_ignored():
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
def test_buckets_never_exceed_their_rates(requests_per_s, arrivals):
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
def test_bucket_admits_after_the_wait_that_it_returned(rate, cost):
    rates = Rates(rate, 100.0)
    buckets = AccountBuckets(0.0)
    assert buckets.take(rates, cost, 0.0) == ("", 0.0)
    limit, wait_ms = buckets.take(rates, cost, 0.0)
    if limit:
        assert buckets.take(rates, cost, wait_ms + 0.01) == ("", 0.0)
