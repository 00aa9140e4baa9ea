"""Records of dead instances disappear from the whole fleet.

Guards against anti-entropy that brings an expired record back from other instances.
"""

from buckthornrock.membership.detector import (
    RETENTION_MS,
    SUSPICION_MS,
    Detector,
)

from .test_detector import record

PERIOD_MS = 1_000.0
N_DETECTORS = 4


def exchange(one, other, now_ms):
    """Run anti-entropy between two instances, as a probe of the service does."""
    differing = other.differing(one.digests())
    records = other.records_in(differing)
    one.merge(records, now_ms)
    newer = one.newer_than(records, differing)
    other.merge(newer, now_ms)


def fleet():
    records = [record(f"i{n}") for n in range(N_DETECTORS)]
    found = [Detector(own) for own in records]
    for detector in found:
        detector.merge([*records, record("gone")], 0.0)
    return found


def test_record_of_a_dead_instance_expires_everywhere():
    detectors = fleet()
    detectors[0].merge([record("gone", state="dead")], 0.0)
    now_ms, end_ms = 0.0, 3.0 * RETENTION_MS + SUSPICION_MS
    turn = 0
    while now_ms < end_ms:
        now_ms += PERIOD_MS
        for index, detector in enumerate(detectors):
            detector.expire(now_ms)
            # Each instance probes one other per period, all of them in turn.
            other = (index + 1 + turn % (N_DETECTORS - 1)) % N_DETECTORS
            exchange(detector, detectors[other], now_ms)
        turn += 1
    assert [d.record("gone") for d in detectors] == [None] * N_DETECTORS
    assert [d.n_known() for d in detectors] == [N_DETECTORS] * N_DETECTORS
    assert len({d.digests() for d in detectors}) == 1


def test_stale_live_record_of_a_dead_instance_is_corrected():
    detectors = fleet()
    detectors[0].merge([record("gone", state="dead")], 0.0)
    exchange(detectors[0], detectors[1], 1.0)
    assert detectors[1].record("gone").state == "dead"
    # It is also corrected when the instance with the stale record probes.
    exchange(detectors[2], detectors[0], 2.0)
    exchange(detectors[0], detectors[2], 3.0)
    assert detectors[2].record("gone").state == "dead"
    assert len({d.digests() for d in detectors[:3]}) == 1
