"""How long outdated weights may be used while new versions keep coming."""

import itertools
import math

import pytest

from buckthornrock.scheduling.weights import MAX_WANTED_VERSIONS, WeightsView
from tests.scheduling.world import engine

USABLE_MS = 18_500.0


def weights_wanted_at(*times_ms):
    weights = WeightsView(USABLE_MS)
    for version, at_ms in enumerate(times_ms, start=1):
        weights.on_wanted("m", version, at_ms)
    return weights


@pytest.mark.parametrize(
    ("loaded", "lag_ms"), [(1, 19_000.0), (2, 12_000.0), (3, 5_000.0), (4, 0.0)]
)
def test_lag_counts_from_the_first_version_that_is_newer(loaded, lag_ms):
    weights = weights_wanted_at(0.0, 1_000.0, 8_000.0, 15_000.0)
    assert weights.lag_ms(engine(0, version=loaded), "m", 20_000.0) == lag_ms


def test_frequent_versions_do_not_prolong_the_use_of_old_weights():
    """Load: a new version every 5 s, and an engine that no order reaches."""
    weights = weights_wanted_at(*(5_000.0 * n for n in range(5)))
    old = engine(0, version=1)
    assert weights.is_usable(old, "m", 5_000.0 + USABLE_MS - 1.0)
    assert not weights.is_usable(old, "m", 5_000.0 + USABLE_MS)
    assert weights.usable_for_ms(old, "m", 5_000.0 + USABLE_MS - 1.0) == 1.0
    assert weights.usable_for_ms(engine(1, version=5), "m", 60_000.0) == math.inf


def test_earlier_time_from_a_peer_is_kept():
    weights = weights_wanted_at(0.0, 9_000.0)
    assert not weights.on_wanted("m", 2, 4_000.0)
    assert weights.lag_ms(engine(0, version=1), "m", 10_000.0) == 6_000.0
    assert not weights.on_wanted("m", 1, 0.0)
    assert weights.wanted("m").version == 2


@pytest.mark.parametrize("order", list(itertools.permutations([2, 3, 4])))
def test_versions_count_in_whatever_order_they_are_learnt(order):
    """A restarted instance learns the newest version first."""
    weights = WeightsView(USABLE_MS)
    for version in order:
        assert weights.on_wanted("m", version, version * 1_000.0)
    assert weights.wanted("m").version == 4
    lags_ms = [weights.lag_ms(engine(0, version=v), "m", 9_000.0) for v in (1, 2, 3, 4)]
    assert lags_ms == [7_000.0, 6_000.0, 5_000.0, 0.0]


def test_too_many_versions_shorten_no_lag():
    times_ms = [100.0 * n for n in range(MAX_WANTED_VERSIONS + 9)]
    weights = weights_wanted_at(*times_ms)
    for version in range(1, len(times_ms)):
        lag_ms = weights.lag_ms(engine(0, version=version), "m", 20_000.0)
        assert lag_ms >= 20_000.0 - times_ms[version]


@pytest.mark.parametrize(
    ("now_ms", "versions"),
    [
        (8_000.0, [1, 2, 3]),
        (USABLE_MS, [1, 2, 3]),
        (1_000.0 + USABLE_MS, [2, 3]),
        (15_000.0 + USABLE_MS, []),
    ],
)
def test_peers_are_told_the_versions_that_a_lag_may_count_from(now_ms, versions):
    weights = weights_wanted_at(0.0, 1_000.0, 8_000.0, 15_000.0)
    told = weights.wanted_before("m", now_ms)
    assert [wanted.version for wanted in told] == versions


@pytest.mark.parametrize(
    ("loaded", "now_ms", "start_limit_ms"),
    [
        (1, 10_000.0, USABLE_MS - 10_000.0 + 1_000.0),
        (1, 19_000.0, USABLE_MS - 19_000.0 + 1_000.0),
        # A version may be wanted while the request waits at the engine.
        (2, 10_000.0, USABLE_MS + 1_000.0),
    ],
)
def test_request_may_start_for_as_long_as_its_weights_are_allowed(
    loaded, now_ms, start_limit_ms
):
    weights = WeightsView(USABLE_MS, start_margin_ms=1_000.0)
    weights.on_wanted("m", 2, 0.0)
    upstream = engine(0, version=loaded)
    assert weights.may_start_for_ms(upstream, "m", now_ms) == start_limit_ms
