"""The cache index keeps no entries of engines that are gone."""

from array import array

from buckthornrock.routing.index import SWEEP_PERIOD_MS, CacheIndex

CHAIN = array("Q", [1, 2, 3])


def test_indexes_of_engines_that_are_gone_are_dropped():
    index = CacheIndex(max_blocks=100)
    for number in range(100):
        index.observe(f"gone-{number}", "i1", "w")
    index.forget_unused(0.0)
    for period in range(1, 4):
        index.observe("used", "i1", "w").add_expected(CHAIN, period * SWEEP_PERIOD_MS)
        index.apply("polled", "i1", (), period * SWEEP_PERIOD_MS)
        index.forget_unused(period * SWEEP_PERIOD_MS)
    assert index.get("gone-0") is None
    assert index.n_engines == 2
    assert index.get("used").holds(CHAIN[0])


def test_index_that_is_in_use_is_not_dropped_between_two_sweeps():
    index = CacheIndex(max_blocks=100)
    index.forget_unused(0.0)
    for at_ms in range(0, int(3 * SWEEP_PERIOD_MS), 1_000):
        index.observe("e0", "i1", "w")
        index.forget_unused(float(at_ms))
        assert index.get("e0") is not None
