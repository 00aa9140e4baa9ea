"""Which engines are ordered to load, and in batches of which size."""

import math

import pytest

from buckthornrock.rollout.plan import (
    LOAD_LIMIT_MS,
    REPEAT_AFTER_MS,
    PendingOrder,
    RolloutEngine,
    batch_size,
    plan_orders,
)
from tests.scheduling.world import engine


def fleet(versions, uses=None, usable_for_ms=math.inf):
    uses = uses or [0.0] * len(versions)
    pairs = enumerate(zip(versions, uses, strict=True))
    return [
        RolloutEngine(engine(n), version, use, usable_for_ms)
        for n, (version, use) in pairs
    ]


def ordered(engines, pending=None, now_ms=0.0, wanted=2):
    orders = plan_orders("m", wanted, engines, pending or {}, now_ms)
    return [order.upstream.upstream_id for order in orders]


@pytest.mark.parametrize(
    ("n_engines", "expected"), [(1, 1), (2, 1), (3, 1), (6, 2), (9, 3), (45, 15)]
)
def test_a_third_of_the_engines_load_at_a_time(n_engines, expected):
    assert batch_size(n_engines) == expected
    assert len(ordered(fleet([1] * n_engines))) == expected


def test_idle_engines_load_first():
    uses = [0.5, 0.0, 0.4, 0.1, 0.3, 0.2]
    assert ordered(fleet([1] * 6, uses)) == ["e1", "e3"]


def test_engines_that_have_the_weights_are_left_alone():
    assert ordered(fleet([2, 2, 2, 1, 2, 3])) == ["e3"]
    assert ordered(fleet([2, 2, 2])) == []


@pytest.mark.parametrize(
    ("is_accepted", "age_ms", "n_more"),
    [
        (True, 0.0, 1),
        (True, LOAD_LIMIT_MS - 1.0, 1),
        (True, LOAD_LIMIT_MS + 1.0, 2),
        (False, REPEAT_AFTER_MS - 1.0, 1),
        (False, REPEAT_AFTER_MS + 1.0, 2),
    ],
)
def test_pending_order_counts_towards_the_batch_until_its_limit(
    is_accepted, age_ms, n_more
):
    engines = fleet([1] * 6)
    pending = {("e0", 1): PendingOrder(2, 0.0, is_accepted)}
    assert len(ordered(engines, pending, age_ms)) == n_more


def test_the_newest_version_is_ordered_while_an_older_one_loads():
    engines = fleet([1, 1, 1, 2, 2, 2])
    pending = {("e0", 1): PendingOrder(2, 0.0, True)}
    assert ordered(engines, pending, wanted=3) == ["e1"]


@pytest.mark.parametrize(
    ("n_engines", "use", "n_orders"),
    [(9, 0.0, 3), (9, 0.55, 3), (9, 0.65, 2), (9, 0.8, 1), (9, 1.0, 1), (6, 0.3, 2)],
)
def test_batch_leaves_the_engines_that_the_traffic_needs(n_engines, use, n_orders):
    assert len(ordered(fleet([1] * n_engines, [use] * n_engines, 18_500.0))) == n_orders


def test_engines_that_load_already_count_as_taken_out():
    pending = {("e0", 1): PendingOrder(2, 0.0, True)}
    engines = fleet([1] * 9, [0.0] + [0.74] * 8, 18_500.0)
    assert len(ordered(engines, pending)) == 1


@pytest.mark.parametrize(("n_engines", "use"), [(1, 1.0), (3, 1.0), (6, 1.0), (9, 0.9)])
def test_burst_delays_loads_but_never_past_the_deadline(n_engines, use):
    """Load: engines that stay full from the moment a new version is wanted."""
    usable_ms, load_ms = 18_500.0, 2_700.0
    versions, pending = [1] * n_engines, {}
    most_early, last_at_ms = 0, 0.0
    for now_ms in range(0, 30_000, 200):
        for (upstream_id, _), order in list(pending.items()):
            if now_ms - order.sent_at_ms >= load_ms:
                versions[int(upstream_id[1:])] = 2
                del pending[upstream_id, 1]
                last_at_ms = now_ms
        engines = fleet(versions, [use] * n_engines, usable_ms - now_ms)
        for upstream_id in ordered(engines, pending, now_ms):
            pending[upstream_id, 1] = PendingOrder(2, now_ms, True)
        if now_ms < 4_000:
            most_early = max(most_early, len(pending))
    assert set(versions) == {2}
    assert most_early == 1
    assert last_at_ms <= usable_ms - 1_000.0


def test_loads_go_on_when_the_burst_is_over():
    assert len(ordered(fleet([1] * 9, [1.0] * 9, 18_500.0))) == 1
    assert len(ordered(fleet([1] * 9, [0.3] * 9, 16_000.0))) == 3


def test_frequent_versions_leave_no_engine_outdated():
    """Load: a new version every 4 s, each load takes 2.7 s; loaded engines are idle.

    Guards against incident 3158: two of six engines loaded four times while two others
    kept the first version for 14 and 21 s.
    """
    n_engines, load_ms = 6, 2_700.0
    versions, loads, pending = [1] * n_engines, [0] * n_engines, {}
    wanted, named_at_ms, most_behind_ms = 1, [0.0], 0.0
    for now_ms in range(0, 40_000, 200):
        if now_ms % 4_000 == 0 and now_ms <= 16_000:
            wanted += 1
            named_at_ms.append(now_ms)
        for (upstream_id, _), order in list(pending.items()):
            if now_ms - order.sent_at_ms >= load_ms:
                versions[int(upstream_id[1:])] = order.version
                del pending[upstream_id, 1]
        uses = [0.1 if loads[n] else 0.3 for n in range(n_engines)]
        for upstream_id in ordered(fleet(versions, uses), pending, now_ms, wanted):
            pending[upstream_id, 1] = PendingOrder(wanted, now_ms, True)
            loads[int(upstream_id[1:])] += 1
        behind = [now_ms - named_at_ms[v] for v in versions if v < wanted]
        most_behind_ms = max([most_behind_ms, *behind])
    assert set(versions) == {wanted}
    # Two at a time reach all six in three batches after the current one.
    assert most_behind_ms <= 4 * (load_ms + 200.0)
    assert max(loads) - min(loads) <= 1
