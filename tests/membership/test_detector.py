"""The failure detector: precedence of records, refutation, suspicion, convergence."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.structs import replace

from buckthornrock.membership.detector import (
    N_CANDIDATES_PER_PERIOD,
    N_FAILURES_TO_SUSPECT,
    N_SUCCESSORS,
    RETENTION_MS,
    SUSPICION_MS,
    Detector,
    ProbeTarget,
)
from buckthornrock.wire.membership_messages import MemberRecord


def record(instance_id, version=1, state="live"):
    address = f"127.0.0.1:{instance_id}"
    return MemberRecord(instance_id, address, "fd", "r", "run", version, state)


def detector(n_others, own_id="own"):
    found = Detector(record(own_id))
    found.merge([record(f"i{index}") for index in range(n_others)], 0.0)
    return found


def live_ids(found):
    return [member.instance_id for member in found.live()]


PRECEDENCE = [
    (record("i0", 1, "suspect"), True),
    (record("i0", 1, "dead"), True),
    (record("i0", 1, "left"), True),
    (record("i0", 1, "live"), False),
    (record("i0", 0, "dead"), False),
    (record("i0", 2, "live"), True),
]


@pytest.mark.parametrize(("newer", "is_stored"), PRECEDENCE)
def test_record_replaces_only_an_older_one(newer, is_stored):
    found = detector(1)
    assert bool(found.merge([newer], 1.0)) == is_stored


@pytest.mark.parametrize("state", ["suspect", "dead", "left"])
def test_instance_refutes_a_record_that_declares_it_gone(state):
    found = detector(1)
    (refutation,) = found.merge([record("own", 4, state)], 1.0)
    assert (refutation.version, refutation.state) == (5, "live")
    assert found.self_record == refutation


def test_instance_that_left_does_not_refute():
    found = detector(1)
    left = found.leave(1.0)
    assert found.merge([replace(left, version=9, state="dead")], 2.0) == []
    assert live_ids(found) == ["i0"]


def test_suspicion_comes_before_death():
    found = detector(2)
    for _ in range(N_FAILURES_TO_SUSPECT):
        assert found.record("i0").state == "live"
        found.on_failure("i0", 10.0)
    assert found.record("i0").state == "suspect"
    assert found.expire(10.0 + SUSPICION_MS - 1) == []
    assert "i0" in live_ids(found)
    found.expire(10.0 + SUSPICION_MS)
    assert found.record("i0").state == "dead"
    assert "i0" not in live_ids(found)
    found.expire(10.0 + SUSPICION_MS + RETENTION_MS)
    assert found.record("i0") is None


@pytest.mark.parametrize("n_others", [0, 1, 2, 6, 20, 339])
def test_probes_per_period_do_not_grow_with_the_fleet(n_others):
    found = detector(n_others)
    targets = found.plan(0.0, random.Random(1))
    assert len(set(targets)) == len(targets) <= N_SUCCESSORS + 1
    assert "own" not in [target.instance_id for target in targets]


def test_every_instance_is_a_successor_that_some_other_probes():
    ids = [f"i{index}" for index in range(50)]
    probed = set()
    for own_id in ids:
        found = Detector(record(own_id))
        found.merge([record(id_) for id_ in ids if id_ != own_id], 0.0)
        probed.update(found._successors())
    assert probed == set(ids)


def test_few_candidates_per_period_and_dead_instances_are_probed():
    found = detector(0)
    found.set_candidates([ProbeTarget(f"i{n}", f"x:{n}") for n in range(9)])
    assert len(found.plan(0.0, random.Random(1))) == N_CANDIDATES_PER_PERIOD
    found = detector(1)
    found.merge([record("i0", 1, "dead")], 0.0)
    targets = found.plan(10_000.0, random.Random(1))
    assert [target.instance_id for target in targets] == ["i0"]


class Fleet(RuleBasedStateMachine):
    """Instances exchange records in any order; gossip may be lost or late."""

    N_INSTANCES = 4

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.ids = [f"i{index}" for index in range(self.N_INSTANCES)]
        self.detectors = {id_: Detector(record(id_)) for id_ in self.ids}
        self.versions = {}

    instances = st.integers(0, N_INSTANCES - 1).map("i{}".format)

    @rule(source=instances, other_id=instances)
    def synchronise(self, source, other_id):
        one, other = self.detectors[source], self.detectors[other_id]
        buckets = other.differing(one.digests())
        records = other.records_in(buckets)
        one.merge(records, self.now_ms)
        other.merge(one.newer_than(records, buckets), self.now_ms)

    @rule(observer=instances, suspected=instances)
    def fail_probe(self, observer, suspected):
        if observer != suspected:
            self.detectors[observer].on_failure(suspected, self.now_ms)

    @rule(delay_ms=st.sampled_from([100.0, SUSPICION_MS]))
    def pass_time(self, delay_ms):
        self.now_ms += delay_ms
        for found in self.detectors.values():
            found.expire(self.now_ms)

    @invariant()
    def versions_never_fall(self):
        for observer, found in self.detectors.items():
            for id_ in self.ids:
                known = found.record(id_)
                key = (observer, id_)
                version = known.version if known else -1
                assert version >= self.versions.get(key, -1)
                self.versions[key] = version

    @invariant()
    def own_record_is_live(self):
        for id_, found in self.detectors.items():
            assert found.self_record.state == "live"
            assert id_ in live_ids(found)

    def teardown(self):
        for _ in range(4):
            for source in self.ids:
                for target in self.ids:
                    if source != target:
                        self.synchronise(source, target)
        for found in self.detectors.values():
            assert live_ids(found) == self.ids
            assert found.digests() == self.detectors["i0"].digests()


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=60, stateful_step_count=30)
