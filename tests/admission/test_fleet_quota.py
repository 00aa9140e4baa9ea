"""Decisions on quotas of client accounts, and the counters that instances exchange."""

import math

import pytest

from buckthornrock.admission.fleet_quota import FleetQuota
from buckthornrock.admission.quota_buckets import MAX_RETRY_AFTER_MS, decide
from buckthornrock.admission.quota_counters import (
    COUNTER_LIFETIME_MS,
    MAX_ACCOUNTS,
    MAX_STEP,
    SILENCE_MS,
    CounterReport,
    Stream,
)
from buckthornrock.admission.quota_coverage import Coverage
from buckthornrock.admission.quota_limits import (
    MAX_COST,
    AccountLimit,
    QuotaBound,
    largest_cost,
    request_cost,
)
from tests.admission.quota_fleet import (
    BOUND,
    LIMITED,
    OTHER,
    Fleet,
    admitted_cost,
    allowed_in_window,
    largest_window,
    within_bucket,
)

LIMIT = AccountLimit(1_000.0, 5_000.0, True, 70)
REQUESTS = AccountLimit(10.0, 20.0)
ALL = Coverage(n_known=4, n_covered=4)
MOST = Coverage(n_known=4, n_covered=3, recent_share=0.75, share=0.75)
STREAM = Stream(1, 1)
HALF = Coverage(n_known=4, n_covered=2, recent_share=0.5, share=0.5)


@pytest.mark.parametrize(
    ("limit", "token_counts", "cost"),
    [
        (REQUESTS, "100,20", 1),
        (REQUESTS, "", 1),
        (LIMIT, "100,20", 120),
        (LIMIT, " 100 , 20 ", 120),
        (LIMIT, "", 70),
        (LIMIT, "100", 70),
        (LIMIT, "100,20,3", 70),
        (LIMIT, "-100,20", 70),
        (LIMIT, "1e3,20", 70),
        (LIMIT, f"{'9' * 18},{'9' * 18}", MAX_COST),
        (LIMIT, f"{'9' * 400},1", 70),
    ],
)
def test_cost_of_a_request(limit, token_counts, cost):
    assert request_cost(limit, token_counts) == cost


@pytest.mark.parametrize(
    ("available", "cost", "coverage", "wait_ms"),
    [
        (5_000.0, 5_000, ALL, None),
        (300.0, 300, ALL, None),
        (300.0, 301, ALL, 10.0),
        (0.0, 1_000, ALL, 1_000.0),
        (-2_000.0, 1_000, ALL, 3_000.0),
        (-2_000.0, 0, ALL, None),
        # Larger than the bucket: admitted when that is full.
        (5_000.0, 9_000, ALL, None),
        (4_000.0, 9_000, ALL, 1_000.0),
        # Larger than the part of the bucket of most of the fleet.
        (3_750.0, 4_000, MOST, None),
        (0.0, 750, MOST, 1_000.0),
        # Only one part of a divided fleet may admit such a request.
        (2_500.0, 4_000, HALF, 3_000.0),
        (2_500.0, 2_500, HALF, None),
        # Larger than the bound of a window.
        (5_000.0, 300_000, ALL, 295_000.0),
        (0.0, MAX_COST, ALL, MAX_RETRY_AFTER_MS),
    ],
)
def test_decision(available, cost, coverage, wait_ms):
    """Retry-After is the time until the bucket can pay, at the rate it refills with."""
    decision = decide(LIMIT, BOUND, available, cost, coverage)
    assert (decision.error if decision.is_error() else None) == wait_ms


def test_one_request_alone_may_not_break_the_bound():
    bound = QuotaBound(8_000.0, 0.1, 700.0)
    cost = largest_cost(LIMIT, bound)
    assert cost == 5_000 + 1_300 + 700
    assert decide(LIMIT, bound, 5_000.0, cost, ALL).is_ok()
    assert decide(LIMIT, bound, 5_000.0, cost + 1, ALL).is_error()


def started(limit=LIMIT, n_seeds=1, level=None):
    """Return quotas at time 0 with one account, whose bucket is full by default."""
    level = limit.burst if level is None else level
    at_ms = -1_000.0 * level / limit.rate_per_s
    quota = FleetQuota(BOUND, n_seeds, at_ms)
    quota.replace_limits({LIMITED: limit}, at_ms)
    return quota


def level(quota, now_ms=0.0, account=LIMITED):
    return round(quota.view(account, now_ms).level, 3)


def report(charged, at_ms, account=LIMITED, **changes):
    """Return the report of a peer that has been running since time 0."""
    fields = CounterReport({account: charged}, int(at_ms), 1, 1)
    return fields._replace(**changes)


def hear(quota, charged, at_ms, stream=STREAM, **changes):
    quota.on_report("peer", stream, report(charged, at_ms, **changes), False, at_ms)


def test_bucket_starts_empty_and_is_capped_by_the_burst():
    quota = started(level=0)
    assert level(quota) == 0
    assert level(quota, 2_000.0) == 2_000
    assert level(quota, 99_000.0) == 5_000


@pytest.mark.parametrize(
    ("limit", "expected"),
    [
        (LIMIT._replace(burst=2_000.0), 2_000),
        (LIMIT._replace(burst=9_000.0), 5_000),
        (LIMIT._replace(rate_per_s=1.0), 5_000),
        (LIMIT._replace(counts_tokens=False), 0),
    ],
)
def test_change_of_the_configuration_keeps_the_level(limit, expected):
    """Neither a lower nor a higher limit hands out a full bucket again."""
    quota = started()
    quota.replace_limits({LIMITED: limit}, 0.0)
    assert level(quota) == expected


def test_new_limit_starts_with_an_empty_bucket():
    quota = started()
    quota.replace_limits({LIMITED: LIMIT, OTHER: LIMIT}, 0.0)
    assert (level(quota), level(quota, account=OTHER)) == (5_000, 0)


def test_charge_and_refund():
    quota = started()
    assert quota.charge(LIMITED, 3_000, 0.0).is_ok()
    assert level(quota) == 2_000
    assert quota.charge(LIMITED, 2_500, 0.0).error == 500.0
    assert level(quota) == 2_000
    quota.refund(LIMITED, 3_000, 0.0)
    assert level(quota) == 5_000
    assert quota.group_report((), 0.0).charges == {LIMITED: 0}
    # A refund of what has been earned again adds nothing.
    quota.refund(LIMITED, 3_000, 0.0)
    assert level(quota) == 5_000


def test_account_without_a_limit_is_not_charged():
    quota = started()
    assert quota.charge(OTHER, 10**9, 0.0).is_ok()
    quota.refund(OTHER, 10**9, 0.0)
    assert quota.group_report((), 0.0).charges == {}


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        # The first value only sets the base.
        ([(100, 3_000)], 5_000),
        ([(100, 3_000), (160, 4_000)], 4_000),
        # Refunds make counters decrease.
        ([(100, 0), (160, 2_000), (220, 500)], 4_500),
        # A refund whose charge was not heard.
        ([(100, 3_000), (160, 1_000)], 5_000),
        ([(100, 3_000), (160, 1_000), (220, 2_000)], 4_000),
        # Values after a silence are not compared with those before.
        ([(100, 0), (200 + SILENCE_MS, 3_000)], 5_000),
        ([(100, 0), (100 + SILENCE_MS, 3_000)], 2_000),
        # Steps that no fleet makes.
        ([(100, 0), (160, MAX_STEP + 1)], 5_000),
        ([(100, 0), (160, -MAX_STEP - 1)], 5_000),
        ([(100, 0), (160, 2**53), (220, 2**53 + 100)], 4_900),
    ],
)
def test_charges_of_another_instance(values, expected):
    quota = started(limit=LIMIT._replace(rate_per_s=0.001))
    for at_ms, charged in values:
        hear(quota, charged, at_ms)
    assert level(quota, values[-1][0]) == pytest.approx(expected, abs=0.1)


@pytest.mark.parametrize("stream", [Stream(2, 1), Stream(1, 2)], ids=["start", "scope"])
def test_counters_of_another_incarnation_or_scope_set_the_base(stream):
    """A restarted sender counts from 0, and a relay's scopes count other charges."""
    quota = started(limit=LIMIT._replace(rate_per_s=0.001))
    hear(quota, 3_000, 100.0)
    hear(quota, 4_500, 160.0, stream=stream)
    assert level(quota, 160.0) == 5_000


def test_charges_of_others_leave_a_debt_that_is_repaid():
    quota = started()
    hear(quota, 0, 100.0)
    hear(quota, 7_000, 160.0)
    assert level(quota, 160.0) == -2_000
    assert quota.charge(LIMITED, 1, 160.0).error == 2_010.0


def test_debt_is_bounded_by_one_window():
    """An odd value of a peer can't lock an account out for longer."""
    quota = started()
    hear(quota, 0, 100.0)
    hear(quota, MAX_STEP, 160.0)
    assert level(quota, 160.0) == -LIMIT.rate_per_s * BOUND.window_ms / 1_000.0


@pytest.mark.parametrize(
    "changes",
    [
        {"covered_ms": -(2**53)},
        {"covered_ms": 2**53},
        {"n_covered": -(2**53)},
        {"n_covered": 2**53},
        {"n_known": -5},
        {"n_known": 2**53},
        {"charges": dict.fromkeys(range(2 * MAX_ACCOUNTS), -(2**53))},
        {"charges": {-1: 5, 2**64 - 1: 2**53}},
    ],
)
def test_odd_report_neither_raises_nor_fills_the_bucket(changes):
    quota = started(level=0)
    hear(quota, 0, 100.0)
    hear(quota, 5, 160.0, **changes)
    assert -8_000 <= level(quota, 200.0) <= 200
    assert len(quota.group_report((), 200.0).charges) <= MAX_ACCOUNTS
    assert len(quota.report_for("x", 200.0).charges) <= MAX_ACCOUNTS
    assert 0 < quota.coverage.recent_share <= 1


def test_instance_that_hears_nobody_refills_at_its_share():
    quota = started(level=0)
    quota.on_period(5, 60.0, (), 0.0)
    quota.charge(LIMITED, 1, 0.0)
    assert level(quota, 10_000.0) == pytest.approx(1_000, rel=0.05)


def test_seeds_count_as_instances_after_the_start():
    """Instances that start cut off from each other know nothing but the settings."""
    quota = started(level=0, n_seeds=3)
    assert level(quota, 3_000.0) == pytest.approx(1_000, rel=0.01)


def test_level_of_a_silent_instance_is_held_and_returned_when_it_is_heard_in_time():
    quota = started(limit=LIMIT._replace(rate_per_s=0.001))
    # A peer that is known before it is heard takes nothing for good.
    quota.on_period(2, 60.0, (), 0.0)
    assert level(quota) == 2_500
    for at_ms in (60.0, 120.0):
        hear(quota, 0, at_ms)
        quota.on_period(2, 60.0, ["peer"], at_ms)
    assert level(quota, 120.0) == 5_000
    quota.charge(LIMITED, 1_000, 120.0)
    quota.on_period(2, 60.0, ["peer"], 480.0)
    # Half of 5,000 is this instance's, which has spent 1,000 of it.
    assert level(quota, 480.0) == 1_500
    hear(quota, 300, 700.0)
    quota.on_period(2, 60.0, ["peer"], 700.0)
    assert level(quota, 700.0) == pytest.approx(3_700, abs=1)
    quota.on_period(2, 60.0, ["peer"], 1_300.0)
    quota.on_period(2, 60.0, ["peer"], 1_800.0)
    hear(quota, 300, 1_900.0)
    quota.on_period(2, 60.0, ["peer"], 1_900.0)
    assert level(quota, 1_900.0) == pytest.approx(1_850, abs=1)


def test_change_of_the_configuration_keeps_what_is_held():
    """Guards against a change that takes a part of the quota for good."""
    limit = LIMIT._replace(rate_per_s=0.001)
    quota = started(limit=limit)
    for at_ms in (60.0, 120.0):
        hear(quota, 0, at_ms)
        quota.on_period(2, 60.0, ["peer"], at_ms)
    quota.charge(LIMITED, 1_000, 120.0)
    quota.replace_limits({LIMITED: limit}, 130.0)
    quota.on_period(2, 60.0, ["peer"], 480.0)
    # As without the change: half of 5,000, less what this instance spent of it.
    assert level(quota, 480.0) == 1_500
    quota.replace_limits({LIMITED: limit}, 490.0)
    hear(quota, 0, 700.0)
    quota.on_period(2, 60.0, ["peer"], 700.0)
    assert level(quota, 700.0) == pytest.approx(4_000, abs=1)


def test_relay_tells_each_follower_the_charges_of_all_others():
    quota = started()
    quota.charge(LIMITED, 500, 0.0)
    for at_ms, charged in ((100.0, 0), (160.0, 40)):
        quota.on_report("f", Stream(1, 0), report(charged, at_ms), True, at_ms)
        quota.on_report("g", Stream(1, 0), report(2 * charged, at_ms), True, at_ms)
        quota.on_report("r", Stream(1, 1), report(3 * charged, at_ms), False, at_ms)
    now_ms = 160.0
    assert quota.report_for("f", now_ms).charges == {LIMITED: 500 + 80 + 120}
    assert quota.report_for("g", now_ms).charges == {LIMITED: 500 + 40 + 120}
    group = quota.group_report(["f", "g"], now_ms)
    assert group.charges == {LIMITED: 500 + 40 + 80}
    assert (group.n_covered, quota.report_for("f", now_ms).n_covered) == (3, 3)
    # The running time is counted like charges: 60 ms were heard of each sender.
    others = quota.report_for("f", now_ms).covered_ms
    assert group.covered_ms == others == 5_000 + 160 + 2 * 60


def test_unchanged_counter_is_reset_without_a_refund():
    quota = started()
    quota.charge(LIMITED, 500, 0.0)
    quota.on_period(1, 60.0, (), COUNTER_LIFETIME_MS)
    assert quota.group_report((), COUNTER_LIFETIME_MS).charges == {LIMITED: 500}
    quota.on_period(1, 60.0, (), COUNTER_LIFETIME_MS + 1.0)
    assert quota.group_report((), COUNTER_LIFETIME_MS).charges == {}
    receiver = started(limit=LIMIT._replace(rate_per_s=0.001))
    for at_ms, charges in (
        (100.0, {}),
        (160.0, {1: 500}),
        (220.0, {}),
        (280.0, {1: 9}),
    ):
        hear(receiver, 0, at_ms, charges=charges)
    assert level(receiver, 280.0) == pytest.approx(5_000 - 509, abs=0.1)


def test_account_far_over_its_quota_gets_the_quota_and_others_all():
    """One account asks for five times its rate; the others stay within theirs."""
    limits = {LIMITED: AccountLimit(50_000.0, 100_000.0, True), OTHER: REQUESTS}
    fleet = Fleet(6, limits)
    fleet.run(4_000.0)
    fleet.arrivals(LIMITED, 250_000.0, [400, 17_000, 30_000], 30_000.0)
    fleet.arrivals(OTHER, 6.0, [1], 30_000.0)
    fleet.run(30_000.0)
    limit = limits[LIMITED]
    admitted = admitted_cost(fleet.decisions, LIMITED)
    within = within_bucket(fleet.decisions, LIMITED, limit, limit.burst)
    assert admitted >= 0.97 * within
    assert largest_window(fleet.decisions, LIMITED) <= allowed_in_window(limit)
    assert all(d.is_admitted for d in fleet.decisions if d.account == OTHER)


def test_quota_follows_demand_between_failure_domains():
    """All demand moves from one pair of instances to the next every 5 s."""
    limit = AccountLimit(50_000.0, 100_000.0, True)
    fleet = Fleet(6, {LIMITED: limit})
    fleet.run(4_000.0)
    for turn in range(6):
        weights = [float(number // 2 == turn % 3) for number in range(6)]
        fleet.arrivals(LIMITED, 60_000.0, [3_000, 17_000], 5_000.0, weights)
        fleet.run(5_000.0)
    within = within_bucket(fleet.decisions, LIMITED, limit, limit.burst)
    assert admitted_cost(fleet.decisions, LIMITED) >= 0.97 * within
    assert largest_window(fleet.decisions, LIMITED) <= allowed_in_window(limit)


def test_retry_after_is_true():
    """A lone client that comes back after the stated time is admitted."""
    fleet = Fleet(3, {LIMITED: LIMIT})
    fleet.run(1_000.0)
    for cost in (4_000, 5_000, 9_000, 700):
        fleet.ask(fleet.instances[0], LIMITED, cost)
        while not fleet.decisions[-1].is_admitted:
            wait_ms = fleet.decisions[-1].retry_after_ms
            assert math.isfinite(wait_ms)
            n_refused = sum(not d.is_admitted for d in fleet.decisions)
            fleet.run(wait_ms)
            fleet.ask(fleet.instances[0], LIMITED, cost)
        assert n_refused <= 1 + [4_000, 5_000, 9_000, 700].index(cost)
