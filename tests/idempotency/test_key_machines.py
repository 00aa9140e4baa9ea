"""A call runs at most once per key, in any order of steps and faults."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from buckthornrock.idempotency.issued_keys import (
    IssuedKeyClaims,
    IssuedKeyTable,
    Pending,
)
from tests.idempotency.key_model import (
    ATTEMPTS,
    COMMIT_FAULTS,
    STEP_FAULTS,
    ClaimModel,
    IssuedModel,
)

INDEX = st.integers(0, 2)
WAITS_MS = st.sampled_from([10.0, 3_000.0, 29_000.0, 70_000.0, 26 * 3_600_000.0])


class ClaimMachine(RuleBasedStateMachine):
    n_instances = 2

    def __init__(self):
        super().__init__()
        self.model = ClaimModel(self.n_instances)

    @rule(index=INDEX)
    def start_call(self, index):
        self.model.start_call(index)

    @rule(
        index=INDEX,
        call_index=INDEX,
        fault=st.sampled_from(STEP_FAULTS),
        attempt=st.sampled_from(ATTEMPTS),
    )
    def advance(self, index, call_index, fault, attempt):
        self.model.advance(index, call_index, fault, attempt)

    @rule(index=INDEX, call_index=INDEX, n_steps=st.integers(2, 4))
    def advance_without_faults(self, index, call_index, n_steps):
        for _ in range(n_steps):
            self.model.advance(index, call_index, "", "answered")

    @rule(index=INDEX, fault=st.sampled_from(COMMIT_FAULTS))
    def record(self, index, fault):
        self.model.record(index, fault)

    @rule(index=INDEX)
    def crash(self, index):
        self.model.crash(index)

    @rule()
    def deliver(self):
        self.model.deliver()

    @rule(duration_ms=WAITS_MS)
    def wait(self, duration_ms):
        self.model.wait(duration_ms)

    @invariant()
    def no_problem_is_found(self):
        assert self.model.problems == []


class ThreeInstances(ClaimMachine):
    n_instances = 3


class IssuedMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.model = IssuedModel()

    @rule()
    def send_request(self):
        self.model.send_request()

    @rule(index=INDEX, is_repeated=st.booleans())
    def deliver(self, index, is_repeated):
        self.model.deliver(index, is_repeated)

    @rule(index=INDEX, attempt=st.sampled_from(ATTEMPTS))
    def finish(self, index, attempt):
        self.model.finish(index, attempt)

    @rule()
    def crash(self):
        self.model.crash()

    @rule(duration_ms=st.sampled_from([1_000.0, 300_000.0, 700_000.0]))
    def wait(self, duration_ms):
        self.model.wait(duration_ms)

    @invariant()
    def no_problem_is_found(self):
        assert self.model.problems == []


SETTINGS = settings(max_examples=120, stateful_step_count=40)
TestTwoInstances = ClaimMachine.TestCase
TestTwoInstances.settings = SETTINGS
TestThreeInstances = ThreeInstances.TestCase
TestThreeInstances.settings = SETTINGS
TestIssuedKeys = IssuedMachine.TestCase
TestIssuedKeys.settings = SETTINGS


@pytest.mark.parametrize("make", [lambda: ClaimModel(3), IssuedModel])
def test_random_schedules(make):
    for seed in range(200):
        rng = random.Random(seed)
        model = make()
        for _ in range(80):
            model.step_at_random(rng)
        assert model.problems == [], seed


def test_paused_claimer_does_not_send_after_retention():
    model = ClaimModel(2)
    model.start_call(1)
    model.start_call(1, body=b"one")
    model.start_call(0)  # the third call has a deadline beyond the retention
    model.advance(0, 0, "paused", "answered")
    model.start_call(1)
    for _ in range(2):
        model.advance(1, 2, "", "answered")
    model.advance(0, 0, "", "answered")
    assert model.problems == []
    assert model.n_runs == 1


def test_running_call_keeps_no_expired_keys_behind_it():
    table = IssuedKeyTable(ttl_ms=1_000, n_max=3)

    def begin(nonce, now_ms):
        claims = IssuedKeyClaims("i0", "x", nonce, int(now_ms))
        return table.begin(claims, b"f", "r", now_ms)

    for nonce in (b"running", b"a", b"b"):
        assert begin(nonce, 0.0).is_ok()
    for nonce in (b"a", b"b"):
        table.settle(nonce, "done")
    assert begin(b"c", 2_000.0).is_ok()
    assert len(table) == 2
    # The running call's own key is still known.
    assert isinstance(begin(b"running", 0.0).ok, Pending)
