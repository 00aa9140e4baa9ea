"""How long outdated weights may be used while new versions keep coming."""

import math

import pytest

from buckthornrock.scheduling.weights import WeightsView
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
