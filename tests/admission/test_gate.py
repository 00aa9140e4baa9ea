"""Ranks, floor, refusals and places of one model's gate."""

import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent))
from flow_cases import (  # noqa: E402
    HOUR_MS,
    make_entry,
    make_gate,
    make_policy,
    release,
)

from buckthornrock.admission.errors import QueueFull, TooLate  # noqa: E402


def deferrable(floor=0.0):
    return make_policy(is_deferrable=True, deferrable_floor=floor)


def fill(gate, n, policy, **changes):
    entries = [make_entry(policy=policy, **changes) for _ in range(n)]
    for entry in entries:
        assert gate.offer(entry, 0.0) is None
    return entries


def serve(gate, n_steps):
    """Serve one request after another; return them in order."""
    running = gate.dispatch(0.0)
    served = []
    for step in range(n_steps):
        entry = running.pop(0)
        served.append(entry)
        release(gate, entry, float(step))
        running += gate.dispatch(float(step))
    return served


@pytest.mark.parametrize("floor", [0.0, 0.05, 0.1, 0.2, 0.5])
@pytest.mark.parametrize("n_places", [1, 2, 5, 8])
def test_deferrable_keeps_its_floor_within_5_percent(floor, n_places):
    gate = make_gate(window_tokens=100.0 * n_places)
    policy = make_policy(ttft_target_ms=HOUR_MS)
    fill(gate, 1_000, policy)
    fill(gate, 1_000, deferrable(floor), rank=2)
    served = serve(gate, 800)
    n_deferrable = sum(entry.policy.is_deferrable for entry in served)
    assert abs(n_deferrable / len(served) - floor) <= 0.05 * max(floor, 0.05)


def test_floor_counts_work_rather_than_requests():
    gate = make_gate(window_tokens=1_000.0)
    policy = make_policy(ttft_target_ms=HOUR_MS)
    for _ in range(2_000):
        gate.offer(make_entry(50.0, policy=policy), 0.0)
        gate.offer(make_entry(400.0, policy=deferrable(0.2), rank=2), 0.0)
    served = serve(gate, 1_500)
    work = sum(entry.cost_tokens for entry in served)
    kept = sum(entry.cost_tokens for entry in served if entry.policy.is_deferrable)
    assert abs(kept / work - 0.2) <= 0.05 * 0.2


def test_urgent_goes_first_without_floor():
    gate = make_gate(window_tokens=100.0)
    fill(gate, 5, deferrable(), rank=2)
    fill(gate, 5, make_policy(ttft_target_ms=HOUR_MS), rank=1)
    fill(gate, 5, make_policy(ttft_target_ms=HOUR_MS), rank=0)
    assert [e.query.rank for e in serve(gate, 15)] == [0] * 5 + [1] * 5 + [2] * 5


def test_deferrable_leaves_headroom_for_urgent():
    gate = make_gate(window_tokens=1_000.0, headroom=0.2)
    fill(gate, 20, deferrable(), rank=2)
    assert len(gate.dispatch(0.0)) == 8
    fill(gate, 1, make_policy())
    assert [e.query.rank for e in gate.dispatch(0.0)] == [0]


def test_full_window_of_deferrable_work_does_not_hold_up_urgent_work():
    gate = make_gate(window_tokens=1_000.0)
    fill(gate, 30, deferrable(0.1), rank=2)
    assert len(gate.dispatch(0.0)) == 10
    fill(gate, 20, make_policy(ttft_target_ms=HOUR_MS))
    assert [e.query.rank for e in gate.dispatch(0.0)] == [0] * 10
    assert not gate.dispatch(0.0)


def test_late_first_tokens_leave_a_few_requests_an_engine():
    gate = make_gate(window_tokens=1.0, n_least=3.0)
    fill(gate, 20, make_policy(ttft_target_ms=HOUR_MS))
    assert len(gate.dispatch(0.0)) == 3


def test_request_larger_than_window_still_runs():
    gate = make_gate(window_tokens=100.0)
    gate.offer(make_entry(5_000.0), 0.0)
    assert len(gate.dispatch(0.0)) == 1


REFUSALS = [
    # Work waiting (tokens), own deadline, first-token target -> failure.
    (0, 50.0, 1_000.0, None),
    (2_000, 500.0, 10_000.0, TooLate),
    (2_000, HOUR_MS, 1_000.0, QueueFull),
    (500, HOUR_MS, 1_000.0, None),
]


@pytest.mark.parametrize(("waiting", "deadline", "target", "failure"), REFUSALS)
def test_refuses_only_what_would_be_late(waiting, deadline, target, failure):
    gate = make_gate(window_tokens=100.0)
    patient = make_policy(ttft_target_ms=HOUR_MS)
    if waiting:
        fill(gate, 1 + waiting // 100, patient)
    gate.dispatch(0.0)
    policy = make_policy(ttft_target_ms=target)
    entry = make_entry(policy=policy, deadline_at_ms=deadline)
    found = gate.offer(entry, 0.0)
    assert (type(found) if found else None) == failure


def test_small_account_is_not_refused_for_large_ones_queue():
    gate = make_gate(window_tokens=100.0)
    refused = [
        gate.offer(make_entry(client_account="large"), 0.0) is not None
        for _ in range(100)
    ]
    assert any(refused)
    assert gate.offer(make_entry(client_account="small"), 0.0) is None


@settings(max_examples=30)
@given(st.integers(1, 50), st.floats(10.0, 1_000.0))
def test_retry_after_follows_measured_drain_rate(n_waiting, period_ms):
    gate = make_gate(window_tokens=100.0)
    patient = make_policy(ttft_target_ms=HOUR_MS)
    fill(gate, 200 + n_waiting, patient)
    running = gate.dispatch(0.0)
    now_ms = 0.0
    for _ in range(100):
        now_ms += period_ms
        release(gate, running.pop(0), now_ms)
        running += gate.dispatch(now_ms)
    entry = make_entry(policy=make_policy(ttft_target_ms=0.0))
    failure = gate.offer(entry, now_ms)
    wanted_ms = (100 + n_waiting) * period_ms
    assert 0.8 * wanted_ms <= failure.retry_after_ms <= 1.25 * wanted_ms


@pytest.mark.parametrize("is_deferrable", [False, True])
def test_waiting_work_is_refused_once_its_deadline_passed(is_deferrable):
    gate = make_gate(window_tokens=100.0)
    policy = make_policy(is_deferrable=is_deferrable)
    fill(gate, 2, policy)
    gate.dispatch(0.0)
    last = make_entry(policy=policy, deadline_at_ms=10_000.0)
    assert gate.offer(last, 0.0) is None
    gate.give_up(last, 10_001.0)
    assert last.failure.code == "too-late"
    assert last.failure.retry_after_ms > 0
    assert gate.n_waiting == 1


@given(st.lists(st.sampled_from(["offer", "release", "withdraw"]), max_size=60))
def test_places_are_never_lost(steps):
    gate = make_gate(window_tokens=300.0)
    waiting, running = [], []
    for now_ms, step in enumerate(steps):
        if step == "offer":
            entry = make_entry()
            if gate.offer(entry, now_ms) is None:
                waiting.append(entry)
        elif step == "release" and running:
            release(gate, running.pop(0), now_ms)
        elif step == "withdraw" and waiting:
            gate.withdraw(waiting.pop(), now_ms)
        admitted = gate.dispatch(now_ms)
        running += admitted
        waiting = [entry for entry in waiting if entry not in admitted]
        assert gate.in_flight_tokens == 100.0 * len(running)
        assert gate.n_waiting == len(waiting)
        assert len(running) <= 3
        assert not waiting or len(running) == 3
