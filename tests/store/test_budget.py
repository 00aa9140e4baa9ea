"""Budget and circuit breaker, with the time given by the test."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.deferred import records as deferred
from buckthornrock.fleet import leadership, load_slots
from buckthornrock.idempotency import records as idempotency
from buckthornrock.profiles import stored
from buckthornrock.store.breaker import MAX_OPEN_MS, N_FAILURES_TO_OPEN, Breaker
from buckthornrock.store.budget import (
    MIN_CAPACITY_TOKENS,
    OTHER_KIND,
    Budget,
    kind_of,
)

FLEET_WRITES_PER_S = 300.0

KINDS = [
    ("profiles/default", "urgent"),
    ("instances/a/b", "urgent"),
    ("jobs/1", "bulk"),
    ("stewards/small", "urgent"),
    ("load-slots/0", "normal"),
    ("whatever", "normal"),
]


PREFIXES = [
    deferred.PREFIX,
    idempotency.KEY_PREFIX,
    leadership.KEY_PREFIX,
    load_slots.KEY_PREFIX,
    stored.HISTORY_PREFIX,
    stored.KEY_PREFIX,
]


@pytest.mark.parametrize(("key", "urgency"), KINDS)
def test_kind_of_key_gives_its_urgency(key, urgency):
    assert kind_of(key).urgency == urgency


@pytest.mark.parametrize("prefix", PREFIXES)
def test_every_key_of_the_product_has_a_kind_of_its_own(prefix):
    assert kind_of(prefix) != OTHER_KIND


@given(
    n_instances=st.sampled_from([1, 7, 21, 340]),
    gaps_ms=st.lists(st.floats(0.0, 400.0), min_size=1, max_size=80),
)
def test_fleet_stays_within_its_budget_except_for_one_burst(n_instances, gaps_ms):
    now_ms = 0.0
    budget = Budget(2_000.0, FLEET_WRITES_PER_S, now_ms)
    budget.set_fleet_size(n_instances, now_ms)
    n_taken = 0
    for gap_ms in gaps_ms:
        now_ms += gap_ms
        while budget.take("write", "urgent", now_ms) == 0.0:
            n_taken += 1
    share_per_s = FLEET_WRITES_PER_S / n_instances
    burst = max(MIN_CAPACITY_TOKENS, share_per_s)
    assert n_taken <= burst + share_per_s * now_ms / 1000.0


def test_less_urgent_calls_leave_tokens_for_urgent_ones():
    budget = Budget(2_000.0, 100.0, 0.0)
    now_ms = 10_000.0
    while budget.take("write", "bulk", now_ms) == 0.0:
        pass
    assert budget.take("write", "normal", now_ms) == 0.0
    while budget.take("write", "normal", now_ms) == 0.0:
        pass
    assert budget.take("write", "urgent", now_ms) == 0.0


def test_token_is_available_after_the_returned_wait():
    budget = Budget(2_000.0, 100.0, 0.0)
    now_ms = 0.0
    for _ in range(50):
        wait_ms = budget.take("write", "bulk", now_ms)
        now_ms += wait_ms + 0.001
        assert wait_ms == 0.0 or budget.take("write", "bulk", now_ms) == 0.0


def test_open_breaker_allows_one_trial_call_at_a_time():
    breaker = Breaker()
    rng = random.Random(1)
    for _ in range(N_FAILURES_TO_OPEN):
        assert breaker.allows(0.0)
        breaker.on_failure(0.0, rng)
    assert not breaker.allows(0.0)
    now_ms = 2 * MAX_OPEN_MS
    assert breaker.allows(now_ms)
    breaker.on_start(now_ms)
    assert not breaker.allows(now_ms)
    breaker.on_success()
    assert breaker.allows(now_ms)
