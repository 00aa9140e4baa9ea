"""Since when an instance takes an engine's weights for outdated, after restarts."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.gateway.fleet import Fleet
from tests.gateway.test_store_watch import DISCOVERY_MS

MODEL = "m"
#: A restarted instance knows its peers' versions after this time at the latest.
LEARNING_LIMIT_MS = 2_000.0
#: Error of an age that is told on, through a relay or two.
MAX_ERROR_MS = 500.0
USABLE_MS = 20_000.0


class VersionedFleet(Fleet):
    """A fleet whose operators want newer and newer weights of one model."""

    def __init__(self, n_instances, **options):
        super().__init__(n_instances, n_upstreams=4, **options)
        self.wanted_at_ms = {}
        self.started_at_ms = {}

    def want_next_version(self):
        """Name a newer version; some of the running instances learn of it."""
        version = len(self.wanted_at_ms) + 2
        self.wanted_at_ms[version] = self.now_ms()
        for node in self.running()[:3]:
            node.fleet_state.wanted_versions.on_wanted(MODEL, version, "store")

    def restart(self, node):
        """Start a node anew; it reads the newest version, as from the store."""
        node.start()
        self.started_at_ms[node.name] = self.now_ms()
        if self.wanted_at_ms:
            node.fleet_state.wanted_versions.on_wanted(
                MODEL, max(self.wanted_at_ms), "store"
            )

    def has_learnt(self, node):
        started_at_ms = self.started_at_ms.get(node.name, 0.0)
        return self.now_ms() - started_at_ms >= LEARNING_LIMIT_MS

    def lag_ms(self, node, loaded_version):
        """Return how long the node takes a loaded version for outdated."""
        upstream = self.upstreams[0]._replace(weights_versions={MODEL: loaded_version})
        return node.fleet_state.weights.lag_ms(upstream, MODEL, self.now_ms())

    def true_lag_ms(self, loaded_version):
        newer_ms = [at for v, at in self.wanted_at_ms.items() if v > loaded_version]
        return self.now_ms() - min(newer_ms) if newer_ms else 0.0

    def underestimates(self):
        """Return the lags that nodes take for shorter than they are.

        Above ``USABLE_MS`` a lag may be any: the weights aren't used any more.
        """
        return [
            (node.name, loaded, self.lag_ms(node, loaded), self.true_lag_ms(loaded))
            for node in self.running()
            for loaded in range(1, len(self.wanted_at_ms) + 1)
            if self.has_learnt(node)
            and self.lag_ms(node, loaded)
            < min(self.true_lag_ms(loaded), USABLE_MS) - MAX_ERROR_MS
        ]


@pytest.mark.parametrize("n_instances", [6, 40])
def test_restarts_between_versions_do_not_prolong_the_use_of_old_weights(n_instances):
    """Each instance restarts in turn, most of them after the later version."""
    fleet = VersionedFleet(n_instances)
    fleet.run(DISCOVERY_MS)
    fleet.want_next_version()
    fleet.run(6_000.0)
    fleet.want_next_version()
    for node in fleet.nodes:
        fleet.run(12_000.0 / n_instances)
        fleet.restart(node)
    fleet.run(LEARNING_LIMIT_MS)
    assert fleet.underestimates() == []


class WantedWeightsMachine(RuleBasedStateMachine):
    """Versions follow each other while instances restart, but never all at once."""

    N_INSTANCES = 14

    @initialize(seed=st.integers(0, 3))
    def start(self, seed):
        self.fleet = VersionedFleet(self.N_INSTANCES, seed=seed, loss=0.02)
        self.fleet.run(DISCOVERY_MS)

    @precondition(lambda self: len(self.fleet.wanted_at_ms) < 12)
    @rule()
    def want_next_version(self):
        self.fleet.want_next_version()
        self.fleet.run(1_000.0)

    @rule(numbers=st.sets(st.integers(0, 13), max_size=7))
    def restart(self, numbers):
        for number in numbers:
            self.fleet.restart(self.fleet.nodes[number])
        self.fleet.run(LEARNING_LIMIT_MS)

    @rule(duration_ms=st.sampled_from([100.0, 3_000.0, 9_000.0]))
    def wait(self, duration_ms):
        self.fleet.run(duration_ms)

    @invariant()
    def no_lag_is_underestimated(self):
        if hasattr(self, "fleet"):
            assert self.fleet.underestimates() == []


WantedWeightsMachine.TestCase.settings = settings(
    max_examples=10,
    stateful_step_count=12,
    derandomize=True,
    deadline=None,
    # A step simulates seconds of a fleet, so that shrinking takes many minutes.
    phases=(Phase.explicit, Phase.generate),
)
TestWantedWeights = WantedWeightsMachine.TestCase
