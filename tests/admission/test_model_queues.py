"""The queues of one model: ranks, deferrable floor, refusals and capacity."""

import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent))
from admission_builders import (  # noqa: E402
    HOUR_MS,
    make_policy,
    make_queues,
    make_request,
    release,
)

from buckthornrock.admission.errors import QueueFull, TooLate  # noqa: E402


def deferrable(floor=0.0):
    return make_policy(is_deferrable=True, deferrable_floor=floor)


def fill(queues, n, policy, **changes):
    requests = [make_request(policy=policy, **changes) for _ in range(n)]
    for request in requests:
        assert queues.offer(request, 0.0) is None
    return requests


def serve(queues, n_steps):
    """Release one admitted request after another; return them in order."""
    running = queues.dispatch(0.0)
    served = []
    for step in range(n_steps):
        request = running.pop(0)
        served.append(request)
        release(queues, request, float(step))
        running += queues.dispatch(float(step))
    return served


@pytest.mark.parametrize("floor", [0.0, 0.05, 0.1, 0.2, 0.5])
@pytest.mark.parametrize("n_places", [1, 2, 5, 8])
def test_deferrable_work_gets_its_floor_within_5_percent(floor, n_places):
    queues = make_queues(window_tokens=100.0 * n_places)
    policy = make_policy(ttft_target_ms=HOUR_MS)
    fill(queues, 1_000, policy)
    fill(queues, 1_000, deferrable(floor), rank=2)
    served = serve(queues, 800)
    n_deferrable = sum(request.policy.is_deferrable for request in served)
    assert abs(n_deferrable / len(served) - floor) <= 0.05 * max(floor, 0.05)


def test_floor_counts_work_rather_than_requests():
    queues = make_queues(window_tokens=1_000.0)
    policy = make_policy(ttft_target_ms=HOUR_MS)
    for _ in range(2_000):
        queues.offer(make_request(50.0, policy=policy), 0.0)
        queues.offer(make_request(400.0, policy=deferrable(0.2), rank=2), 0.0)
    served = serve(queues, 1_500)
    work = sum(request.cost_tokens for request in served)
    kept = sum(
        request.cost_tokens for request in served if request.policy.is_deferrable
    )
    assert abs(kept / work - 0.2) <= 0.05 * 0.2


def test_urgent_work_goes_first_without_floor():
    queues = make_queues(window_tokens=100.0)
    fill(queues, 5, deferrable(), rank=2)
    fill(queues, 5, make_policy(ttft_target_ms=HOUR_MS), rank=1)
    fill(queues, 5, make_policy(ttft_target_ms=HOUR_MS), rank=0)
    assert [e.query.rank for e in serve(queues, 15)] == [0] * 5 + [1] * 5 + [2] * 5


def test_deferrable_work_leaves_headroom_for_urgent_work():
    queues = make_queues(window_tokens=1_000.0, headroom=0.2)
    fill(queues, 20, deferrable(), rank=2)
    assert len(queues.dispatch(0.0)) == 8
    fill(queues, 1, make_policy())
    assert [e.query.rank for e in queues.dispatch(0.0)] == [0]


def test_full_deferrable_window_does_not_delay_urgent_work():
    queues = make_queues(window_tokens=1_000.0)
    fill(queues, 30, deferrable(0.1), rank=2)
    assert len(queues.dispatch(0.0)) == 10
    fill(queues, 20, make_policy(ttft_target_ms=HOUR_MS))
    assert [e.query.rank for e in queues.dispatch(0.0)] == [0] * 10
    assert not queues.dispatch(0.0)


def test_small_window_still_admits_min_requests_per_engine():
    queues = make_queues(window_tokens=1.0, min_requests=3.0)
    fill(queues, 20, make_policy(ttft_target_ms=HOUR_MS))
    assert len(queues.dispatch(0.0)) == 3


def test_request_larger_than_window_is_admitted():
    queues = make_queues(window_tokens=100.0)
    queues.offer(make_request(5_000.0), 0.0)
    assert len(queues.dispatch(0.0)) == 1


REFUSALS = [
    # Queued work (tokens), deadline, target time to first token -> failure.
    (0, 50.0, 1_000.0, None),
    (2_000, 500.0, 10_000.0, TooLate),
    (2_000, HOUR_MS, 1_000.0, QueueFull),
    (500, HOUR_MS, 1_000.0, None),
]


@pytest.mark.parametrize(("waiting", "deadline", "target", "failure"), REFUSALS)
def test_only_requests_that_would_be_late_are_refused(
    waiting, deadline, target, failure
):
    queues = make_queues(window_tokens=100.0)
    patient = make_policy(ttft_target_ms=HOUR_MS)
    if waiting:
        fill(queues, 1 + waiting // 100, patient)
    queues.dispatch(0.0)
    policy = make_policy(ttft_target_ms=target)
    request = make_request(policy=policy, deadline_at_ms=deadline)
    found = queues.offer(request, 0.0)
    assert (type(found) if found else None) == failure


def test_small_account_is_not_refused_for_the_queue_of_a_large_one():
    queues = make_queues(window_tokens=100.0)
    refused = [
        queues.offer(make_request(client_account="large"), 0.0) is not None
        for _ in range(100)
    ]
    assert any(refused)
    assert queues.offer(make_request(client_account="small"), 0.0) is None


@settings(max_examples=30)
@given(st.integers(1, 50), st.floats(10.0, 1_000.0))
def test_retry_after_follows_the_measured_drain_rate(n_waiting, period_ms):
    queues = make_queues(window_tokens=100.0)
    patient = make_policy(ttft_target_ms=HOUR_MS)
    fill(queues, 200 + n_waiting, patient)
    running = queues.dispatch(0.0)
    now_ms = 0.0
    for _ in range(100):
        now_ms += period_ms
        release(queues, running.pop(0), now_ms)
        running += queues.dispatch(now_ms)
    request = make_request(policy=make_policy(ttft_target_ms=0.0))
    failure = queues.offer(request, now_ms)
    wanted_ms = (100 + n_waiting) * period_ms
    assert 0.8 * wanted_ms <= failure.retry_after_ms <= 1.25 * wanted_ms


@pytest.mark.parametrize("is_deferrable", [False, True])
def test_waiting_request_is_refused_when_its_deadline_passes(is_deferrable):
    queues = make_queues(window_tokens=100.0)
    policy = make_policy(is_deferrable=is_deferrable)
    fill(queues, 2, policy)
    queues.dispatch(0.0)
    last = make_request(policy=policy, deadline_at_ms=10_000.0)
    assert queues.offer(last, 0.0) is None
    queues.expire(last, 10_001.0)
    assert last.failure.code == "too-late"
    assert last.failure.retry_after_ms > 0
    assert queues.n_waiting == 1


@given(st.lists(st.sampled_from(["offer", "release", "withdraw"]), max_size=60))
def test_capacity_is_never_leaked(steps):
    queues = make_queues(window_tokens=300.0)
    waiting, running = [], []
    for now_ms, step in enumerate(steps):
        if step == "offer":
            request = make_request()
            if queues.offer(request, now_ms) is None:
                waiting.append(request)
        elif step == "release" and running:
            release(queues, running.pop(0), now_ms)
        elif step == "withdraw" and waiting:
            queues.withdraw(waiting.pop(), now_ms)
        admitted = queues.dispatch(now_ms)
        running += admitted
        waiting = [request for request in waiting if request not in admitted]
        assert queues.in_flight_tokens == 100.0 * len(running)
        assert queues.n_waiting == len(waiting)
        assert len(running) <= 3
        assert not waiting or len(running) == 3
