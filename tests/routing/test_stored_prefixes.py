"""Transfers to and from the cache store, and the time they are expected to take."""

import pytest

from buckthornrock.routing.stored_prefixes import (
    BLOCK_MS,
    CALL_MS,
    MEASURED_TTL_MS,
    StoredPrefixes,
)

N_BLOCKS = 100


@pytest.mark.parametrize(
    ("age_ms", "is_slow_remembered"),
    [(MEASURED_TTL_MS / 2, True), (MEASURED_TTL_MS * 2, False)],
)
def test_old_slow_transfer_does_not_outweigh_a_new_fast_one(age_ms, is_slow_remembered):
    stored = StoredPrefixes()
    fast_ms = CALL_MS + N_BLOCKS * BLOCK_MS
    stored.note_transfer(N_BLOCKS, 100.0 * fast_ms, 0.0)
    stored.note_transfer(N_BLOCKS, fast_ms, age_ms)
    is_slow = stored.import_ms(N_BLOCKS, age_ms) > fast_ms * 1.01
    assert is_slow == is_slow_remembered
