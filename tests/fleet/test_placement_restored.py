"""The placement document after the key-value service was restored to an older state."""

import pytest

from buckthornrock.fleet.placement_document import empty_placement
from buckthornrock.fleet.placement_store import KEY, PlacementStore
from tests.idempotency.fakes import FakeKv


def placement(share):
    return {**empty_placement(), "min_serving_share": share}


def restore(kv, entry):
    """Restore the service to a state with ``entry``, or without the key."""
    kv.entries.pop(KEY, None)
    if entry is not None:
        kv.entries[KEY] = entry


@pytest.mark.parametrize("n_remembered", [0, 1, 2])
def test_accepted_version_is_written_back_after_a_restore(n_remembered):
    kv = FakeKv()
    store, other = PlacementStore(kv.port()), PlacementStore(kv.port())
    remembered = None
    for version in range(3):
        if version == n_remembered:
            remembered = kv.entries.get(KEY)
        assert store.apply(placement(0.1 * version), version).is_ok()
    restore(kv, remembered)
    store.refresh()
    other.refresh()
    assert other.current() == store.current()
    assert store.current().version == 3


@pytest.mark.parametrize("n_remembered", [0, 1, 2])
def test_change_of_a_restored_older_version_is_refused(n_remembered):
    kv = FakeKv()
    store = PlacementStore(kv.port())
    remembered = None
    for version in range(3):
        if version == n_remembered:
            remembered = kv.entries.get(KEY)
        assert store.apply(placement(0.1 * version), version).is_ok()
    restore(kv, remembered)
    result = store.apply(placement(0.9), n_remembered)
    assert result.error.found_version == 3
    assert store.apply(placement(0.9), 3).is_ok()
    assert store.current().placement == placement(0.9)
