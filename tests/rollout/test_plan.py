"""Which engines are told to load, in waves, whatever else happens."""

import pytest

from buckthornrock.rollout.plan import (
    LOAD_LIMIT_MS,
    REPEAT_AFTER_MS,
    EngineView,
    PendingOrder,
    plan_orders,
    wave_size,
)
from tests.scheduling.world import engine


def fleet(versions, works=None):
    works = works or [0] * len(versions)
    pairs = enumerate(zip(versions, works, strict=True))
    return [EngineView(engine(n), version, work) for n, (version, work) in pairs]


def ordered(engines, pending=None, now_ms=0.0, wanted=2):
    orders = plan_orders("m", wanted, engines, pending or {}, now_ms)
    return [order.upstream.upstream_id for order in orders]


@pytest.mark.parametrize(
    ("n_engines", "expected"), [(1, 1), (2, 1), (3, 1), (6, 2), (9, 3), (45, 15)]
)
def test_a_third_of_the_engines_load_at_a_time(n_engines, expected):
    assert wave_size(n_engines) == expected
    assert len(ordered(fleet([1] * n_engines))) == expected


def test_idle_engines_load_first():
    assert ordered(fleet([1] * 6, [5, 0, 4, 1, 3, 2])) == ["e1", "e3"]


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
def test_an_order_takes_a_place_until_its_effect_or_its_limit(
    is_accepted, age_ms, n_more
):
    engines = fleet([1] * 6)
    pending = {("e0", 1): PendingOrder(2, 0.0, is_accepted)}
    assert len(ordered(engines, pending, age_ms)) == n_more


def test_the_newest_version_is_ordered_while_an_older_one_loads():
    engines = fleet([1, 1, 1, 2, 2, 2])
    pending = {("e0", 1): PendingOrder(2, 0.0, True)}
    assert ordered(engines, pending, wanted=3) == ["e1"]
