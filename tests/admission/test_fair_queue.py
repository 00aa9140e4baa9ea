"""Fair queueing between accounts and members: bounds on the difference in service."""

import sys
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent))
from admission_builders import make_policy, make_request  # noqa: E402

from buckthornrock.admission.fair_queue import FairQueue  # noqa: E402

MAX_COST = 500.0
costs = st.floats(1.0, MAX_COST)
weights = st.sampled_from([0.5, 1.0, 2.0, 4.0])


@given(
    st.lists(st.tuples(weights, st.lists(costs, min_size=20)), min_size=2, max_size=5)
)
def test_backlogged_accounts_differ_by_at_most_one_request_each(accounts):
    queue = FairQueue()
    for index, (weight, account_costs) in enumerate(accounts):
        for cost in account_costs:
            request = make_request(cost, client_account=f"a{index}", weight=weight)
            queue.push(request)
    served = Counter()
    waiting = {f"a{i}": len(costs) for i, (_, costs) in enumerate(accounts)}
    weight_of = {f"a{i}": weight for i, (weight, _) in enumerate(accounts)}
    while all(waiting.values()):
        request = queue.pop()
        name = request.query.client_account
        served[name] += request.cost_tokens / weight_of[name]
        waiting[name] -= 1
        for one in waiting:
            for other in waiting:
                bound = MAX_COST / weight_of[one] + MAX_COST / weight_of[other]
                assert abs(served[one] - served[other]) <= bound


@given(st.integers(2, 10), st.integers(1, 5))
def test_small_member_is_served_beside_large_member_of_its_account(n_large, n_small):
    queue = FairQueue()
    for member, count in (("large", 10 * n_large), ("small", n_small)):
        for _ in range(count):
            queue.push(make_request(100.0, member=member))
    for _ in range(10 * n_large):
        queue.push(make_request(100.0, client_account="b"))
    first = [queue.pop().query for _ in range(4 * n_small)]
    n_small_served = sum(query.member == "small" for query in first)
    assert n_small_served >= n_small - 1


@pytest.mark.parametrize("n_idle", [0, 1, 7])
def test_idle_account_accumulates_no_credit(n_idle):
    queue = FairQueue()
    for _ in range(50):
        queue.push(make_request(100.0, client_account="busy"))
    for _ in range(20):
        queue.pop()
    for _ in range(20):
        queue.push(make_request(100.0, client_account="late"))
    served = Counter(queue.pop().query.client_account for _ in range(10 + n_idle))
    assert abs(served["late"] - served["busy"]) <= 2


def test_correction_charges_actual_work():
    queue = FairQueue()
    for account in ("honest", "under"):
        for _ in range(40):
            queue.push(make_request(100.0, client_account=account))
    served = Counter()
    for _ in range(30):
        request = queue.pop()
        served[request.query.client_account] += 1
        if request.query.client_account == "under":
            queue.correct(request, 200.0)
    assert 2.5 <= served["honest"] / served["under"] <= 3.5


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from("xy"), costs)),
    st.sampled_from("abc"),
    costs,
)
def test_tokens_ahead_lies_between_own_and_all_queued_work(waiting, account, cost):
    queue = FairQueue()
    for name, member, waiting_cost in waiting:
        queue.push(make_request(waiting_cost, client_account=name, member=member))
    request = make_request(cost, client_account=account, member="x")
    ahead = queue.tokens_ahead(request)
    n_own = sum(c for name, m, c in waiting if (name, m) == (account, "x"))
    assert n_own + cost <= ahead + 1e-6
    assert ahead <= queue.n_waiting_tokens + cost + 1e-6


def test_large_account_hardly_delays_small_one():
    queue = FairQueue()
    for _ in range(1_000):
        queue.push(make_request(100.0, client_account="large"))
    small = make_request(100.0, client_account="small", policy=make_policy())
    large = make_request(100.0, client_account="large")
    assert queue.tokens_ahead(small) == 200.0
    assert queue.tokens_ahead(large) == 100_100.0
    queue.push(small)
    assert queue.tokens_ahead(make_request(100.0, client_account="small")) == 400.0


@given(st.data())
def test_removed_requests_leave_others_and_totals_intact(data):
    queue = FairQueue()
    requests = [
        make_request(data.draw(costs), client_account=data.draw(st.sampled_from("ab")))
        for _ in range(10)
    ]
    for request in requests:
        queue.push(request)
    removed = data.draw(st.sets(st.sampled_from(requests)))
    for request in removed:
        queue.remove(request)
    rest = [queue.pop() for _ in range(queue.n_waiting)]
    assert set(rest) == set(requests) - removed
    assert queue.n_waiting_tokens == 0.0
