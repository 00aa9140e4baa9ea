"""Random schedules: one leader per engine, bounded loads, and convergence.

After the faults end, all engines must reach their desired state.
"""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.fleet.controller_model import SEND_FAULTS, ControllerModel

INDEX = st.integers(0, 3)


class FencingMachine(RuleBasedStateMachine):
    checks_fencing = True

    def __init__(self):
        super().__init__()
        self.model = ControllerModel(self.checks_fencing)

    @rule(index=INDEX, fault=st.sampled_from(SEND_FAULTS), between=INDEX)
    def step(self, index, fault, between):
        self.model.step(index, fault, between)

    @rule(index=INDEX, fault=st.sampled_from(SEND_FAULTS))
    def step_before_expiry(self, index, fault):
        self.model.step_before_expiry(index, fault)

    @rule(index=INDEX)
    def renew(self, index):
        self.model.renew(index)

    @rule(index=INDEX)
    def pause(self, index):
        self.model.pause(index)

    @rule()
    def resume(self):
        self.model.resume()

    @rule(index=INDEX)
    def crash(self, index):
        self.model.crash(index)

    @rule(index=INDEX)
    def crash_engine(self, index):
        self.model.crash_engine(index)

    @rule(duration_ms=st.sampled_from([100.0, 900.0, 3_000.0, 11_000.0]))
    def wait(self, duration_ms):
        self.model.wait(duration_ms)

    @rule()
    def roll(self):
        self.model.roll()

    @invariant()
    def holds(self):
        assert self.model.problems == []


class IgnoringMachine(FencingMachine):
    checks_fencing = False


QUICK = settings(max_examples=40, stateful_step_count=40)
TestFencing = FencingMachine.TestCase
TestFencing.settings = QUICK
TestIgnoring = IgnoringMachine.TestCase
TestIgnoring.settings = QUICK


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_random_schedules_reach_the_desired_state(checks_fencing):
    for seed in range(60):
        rng = random.Random(seed)
        model = ControllerModel(checks_fencing)
        for _ in range(60):
            model.step_at_random(rng)
        model.settle(180_000.0)
        assert model.problems == [], seed
        assert model.is_settled(), seed


def test_weights_roll_one_failure_domain_at_a_time():
    model = ControllerModel(checks_fencing=True)
    model.settle(60_000.0)
    assert model.is_settled()
    model.roll()
    rolled = []
    while not model.is_settled():
        for index in range(3):
            model.renew(index)
            model.step(index)
        model.wait(500.0)
        loading = [
            s.failure_domain
            for s in model.settings
            if model.engines[s.id].state(model.now_ms).loading
        ]
        assert len(set(loading)) <= 1
        rolled += loading
        assert model.now_ms < 120_000.0
    assert rolled == sorted(rolled)
    assert model.problems == []
