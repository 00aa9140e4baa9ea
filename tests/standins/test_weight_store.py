"""Loads share the weight store's rate."""

import pytest

from buckthornrock.standins.weight_store import WeightStore


@pytest.mark.parametrize(
    ("n_loads", "expected_ms"), [(1, 2_500.0), (3, 2_500.0), (6, 5_000.0)]
)
def test_more_loads_than_slots_take_longer(n_loads, expected_ms):
    store = WeightStore()
    for index in range(n_loads):
        store.begin(str(index), 100.0)
    assert not store.is_done("0", 100.0 + expected_ms - 1.0)
    assert store.is_done("0", 100.0 + expected_ms + 1.0)
