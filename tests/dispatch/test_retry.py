"""Retries stay within their budget, and delays within the deadline."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.dispatch.retry import (
    BACKOFF_MAX_MS,
    MAX_SAVED_RETRIES,
    MIN_RETRIES_PER_S,
    RETRY_SHARE,
    RetryBudget,
    backoff_ms,
)


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 30), st.floats(0, 500))))
def test_retries_never_exceed_the_budget_of_traffic_and_time(steps):
    budget, now_ms, n_requests, n_retries = RetryBudget(0.0), 0.0, 0, 0
    for n_new, n_tried, wait_ms in steps:
        now_ms += wait_ms
        n_requests += n_new
        for _ in range(n_new):
            budget.note_request()
        n_retries += sum(budget.try_take(now_ms) for _ in range(n_tried))
        earned = RETRY_SHARE * n_requests + MIN_RETRIES_PER_S * (1 + now_ms / 1000.0)
        assert n_retries <= earned + 1e-6


@pytest.mark.parametrize("n_taken_first", [0, 1])
def test_saved_retries_are_limited(n_taken_first):
    budget = RetryBudget(0.0)
    for _ in range(n_taken_first):
        budget.try_take(0.0)
    taken = sum(budget.try_take(1e9) for _ in range(1_000))
    assert taken == MAX_SAVED_RETRIES


@given(st.integers(0, 40), st.floats(-10, 1e6), st.integers(0, 100))
def test_backoff_is_limited_and_never_past_the_deadline(n_failures, remaining_ms, seed):
    wait_ms = backoff_ms(n_failures, remaining_ms, random.Random(seed))
    assert 0.0 <= wait_ms <= min(BACKOFF_MAX_MS, max(0.0, remaining_ms))
