"""Order and rejection of queued requests; also weights, caches and retry budgets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornrock.scheduling.cached_parts import CachedParts
from buckthornrock.scheduling.prompt import parse_prompt
from buckthornrock.scheduling.retry_budget import SAFETY_SHARE, RetryBudget
from buckthornrock.scheduling.wait_queue import QueuedRequest, RecentRate, WaitQueue
from buckthornrock.scheduling.weights import WeightsView
from tests.scheduling.world import engine, long, short


def placement_order(queue, now_ms=0.0):
    order = []

    def refuse(request):
        order.append(request.number)
        return False

    queue.place_in_order(refuse, now_ms)
    return order


def test_use_of_a_snapshot_changes_nothing_in_the_queue():
    """Guards the rates: reading one forgets what was counted before its window."""
    queue = WaitQueue()
    for number in range(4):
        queue.on_arrived(long(), 0.0)
        queue.on_placed(long(), 0.0)
        queue.enqueue(QueuedRequest(number, long(), 0.0, 9e3))
    waiting = QueuedRequest(9, long(), 0.0, 9.5e3)
    expected_ms = queue.expected_wait_ms(waiting, 0.0)
    assert expected_ms > 0.0
    copied = queue.snapshot()
    assert copied.expected_wait_ms(waiting, 0.0) == expected_ms
    copied.predict_missed_deadlines(60_000.0)
    copied.expected_wait_ms(waiting, 60_000.0)
    copied.on_placed(short(), 60_000.0)
    copied.end_by(1.0)
    copied.remove(0)
    assert len(queue) == 4
    assert not queue.ending_at(9.1e3)
    assert len(queue.ending_at(9e3)) == 4
    assert queue.expected_wait_ms(waiting, 0.0) == expected_ms


@pytest.mark.parametrize(
    ("members", "expected"),
    [
        ([(long(), 0.0, 9e3), (short(), 0.0, 9e3)], [1, 0]),
        ([(short(rank=1), 0.0, 9e3), (long(rank=0), 0.0, 9e3)], [1, 0]),
        ([(short(), -600.0, 5e3), (short(), 0.0, 9e3)], [1, 0]),
        ([(short(), 0.0, 9e3), (short(), 0.0, 5e3)], [1, 0]),
    ],
    ids=["urgent route", "account's rank", "still on time", "less time left"],
)
def test_requests_are_placed_in_order(members, expected):
    queue = WaitQueue()
    for number, (demand, enqueued_at_ms, deadline_at_ms) in enumerate(members):
        queue.enqueue(QueuedRequest(number, demand, enqueued_at_ms, deadline_at_ms))
    assert placement_order(queue) == expected


def test_only_requests_beyond_the_capacity_are_rejected_early():
    """Load: 40 long prompts arrive at once, one is placed every 200 ms."""
    queue = WaitQueue()
    for step in range(10):
        queue.on_placed(long(), step * 200.0)
    now_ms = 2_000.0
    for number in range(40):
        queue.enqueue(QueuedRequest(number, long(), now_ms, now_ms + 4_000.0))
    late_numbers = {
        request.number for request, _ in queue.predict_missed_deadlines(now_ms)
    }
    # 4 s are enough for 20 requests at 200 ms each; the last one is too late.
    assert 15 <= 40 - len(late_numbers) <= 21
    assert 0 not in late_numbers


def test_urgent_requests_queue_only_behind_urgent_ones():
    queue = WaitQueue()
    queue.enqueue(QueuedRequest(0, long(), 0.0, 9e3))
    assert not queue.has_ahead_of(short())
    queue.enqueue(QueuedRequest(1, short(), 0.0, 9e3))
    assert queue.has_ahead_of(short())
    queue.remove(1)
    assert not queue.has_ahead_of(short())


@given(
    events=st.lists(
        st.tuples(st.booleans(), st.integers(0, 3_000)), min_size=1, max_size=80
    )
)
@settings(derandomize=True, deadline=None)
def test_budget_holds_over_all_instances_in_every_window(events):
    n_instances, ratio, allowance, window_ms = 4, 0.2, 8.0, 10_000.0
    budgets = [RetryBudget(ratio, allowance, window_ms) for _ in range(n_instances)]
    now_ms, requests, retries = 0.0, [], []
    for number, (is_request, pause_ms) in enumerate(events):
        now_ms += pause_ms
        budget = budgets[number % n_instances]
        if is_request:
            budget.on_request("s", now_ms)
            requests.append(now_ms)
        elif budget.take("s", n_instances, now_ms):
            retries.append(now_ms)
        recent = [t for t in retries if t > now_ms - window_ms]
        base = [t for t in requests if t > now_ms - window_ms]
        assert len(recent) <= (ratio * len(base) + allowance) * SAFETY_SHARE + 1e-9


@pytest.mark.parametrize(
    ("versions", "wanted"), [([1, 3, 2], 3), ([5], 5), ([2, 2], 2)]
)
def test_wanted_weights_only_rise(versions, wanted):
    weights = WeightsView(1_000.0)
    for version in versions:
        weights.on_wanted("m", version, 0.0)
    assert weights.wanted("m").version == wanted


def test_newest_of_seen_and_listed_weights_counts():
    weights = WeightsView(1_000.0)
    assert weights.loaded(engine(0, version=1), "m") == 1
    weights.on_loaded(engine(0).incarnation, "m", 2)
    assert weights.loaded(engine(0, version=1), "m") == 2
    assert weights.loaded(engine(0, version=3), "m") == 3
    assert weights.loaded(engine(0), "other") is None


def test_least_recently_used_parts_are_dropped():
    parts = CachedParts()
    for name in ("a", "b", "a", "c"):
        parts.use(ord(name), 40, 0.0, 100)
    assert [parts.holds(ord(name)) for name in "abc"] == [True, False, True]


@pytest.mark.parametrize(
    ("counts", "parts", "is_valid"),
    [
        ("100,20", "aa:60,bb:40", True),
        ("100", "aa:60", False),
        ("x,20", "aa:60", False),
        ("100,20", "aa:", False),
        ("100,20", "", True),
    ],
)
def test_prompts_are_parsed_or_rejected(counts, parts, is_valid):
    assert parse_prompt("m", counts, parts).is_ok() == is_valid


def overloaded_queue(arrivals_per_placement, age_ms):
    """Return a queue to which requests came at a multiple of the placement rate."""
    queue = WaitQueue()
    for step in range(20):
        now_ms = step * 100.0
        queue.on_placed(long(), now_ms)
        for _ in range(arrivals_per_placement):
            queue.on_arrived(long(), now_ms)
    queue.enqueue(QueuedRequest(0, long(), 2_000.0 - age_ms, 12_000.0))
    return queue


@pytest.mark.parametrize(
    ("arrivals_per_placement", "age_ms", "will_miss_deadline"),
    [(2, 1_400.0, True), (2, 1_000.0, False), (1, 1_400.0, True), (0, 1_400.0, False)],
    ids=["late in a burst", "on time in a burst", "late, none left over", "late after"],
)
def test_late_request_gets_only_the_capacity_that_newer_ones_leave(
    arrivals_per_placement, age_ms, will_miss_deadline
):
    """Load: long prompts at a multiple of the engines' prefill rate, for 2 s."""
    queue = overloaded_queue(arrivals_per_placement, age_ms)
    assert bool(queue.predict_missed_deadlines(2_000.0)) == will_miss_deadline


def test_late_requests_are_served_again_when_the_burst_is_over():
    queue = overloaded_queue(2, 1_400.0)
    for step in range(20):
        queue.on_placed(long(), 2_000.0 + step * 100.0)
    assert not queue.predict_missed_deadlines(4_100.0)


def test_rate_window_is_trimmed_without_reads():
    """Guards against unbounded growth while no rate is read.

    Load: a day of requests that are never queued.
    """
    rate = RecentRate()
    for number in range(100_000):
        rate.add(1, number * 10.0)
    assert len(rate._counted) <= 201
    assert rate.per_ms(999_990.0) == pytest.approx(0.1, rel=0.02)
