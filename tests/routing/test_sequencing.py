"""Order of cache events that arrive late, out of order, repeated or not at all."""

import pytest

from buckthornrock.routing.sequencing import EventSequencer, Gap
from buckthornrock.upstreams.engine_messages import CacheEvent

# Batches of (time, sequence numbers), and the expected output.
CASES = {
    "in order": ([(0, [1, 2]), (1, [3])], [1, 2, 3]),
    "out of order": ([(0, [1, 3]), (1, [2])], [1, 2, 3]),
    "repeated": ([(0, [1, 2]), (1, [1, 2, 3])], [1, 2, 3]),
    "lost": ([(0, [1, 3]), (400, [4])], [1, Gap(1), 3, 4]),
    "missing but not lost yet": ([(0, [1, 3]), (200, [4])], [1]),
    "late after loss": ([(0, [1, 3]), (400, []), (401, [2, 4])], [1, Gap(1), 3, 4]),
    "several lost": ([(0, [1, 5]), (400, [])], [1, Gap(3), 5]),
    "joined late": ([(0, [70, 71])], [70, 71]),
}


@pytest.mark.parametrize(("batches", "wanted"), CASES.values(), ids=CASES)
def test_events_come_out_once_and_in_order(batches, wanted):
    sequencer = EventSequencer(gap_wait_ms=300.0)
    out = []
    for now_ms, numbers in batches:
        events = [CacheEvent(seq, "stored") for seq in numbers]
        out += sequencer.take(events, 1_000.0 + now_ms)
    assert [e if isinstance(e, Gap) else e.seq for e in out] == wanted
