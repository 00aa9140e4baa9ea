"""Who watches the store, and how its changes reach instances that don't."""

import math
import random

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from buckthornrock.gateway.store_watch import (
    FLEET_JOINS_PER_S,
    JOINED_FOR_MS,
    MIN_WATCHERS,
    STALE_AFTER_MS,
    StoreWatch,
    WatchInputs,
    is_planned_watcher,
)
from tests.gateway.store_fleet import StoreFleet

#: Limit on the time until a change of the store is known to all instances in reach of
#: it, directly or through peers: the shortest bound of a configuration in a fleet that
#: has followers.
PROPAGATION_LIMIT_MS = 3_000.0
DISCOVERY_MS = 8_000.0
RELAYS = {"a": ["a1", "a2", "a3"], "b": ["b1", "b2"], "c": ["c1"]}


def inputs(**changes):
    base = WatchInputs(
        is_planned=False,
        is_relay=False,
        is_isolated=False,
        confirmation_age_ms=0.0,
        failure_age_ms=math.inf,
        n_instances=200,
    )
    return base._replace(**changes)


@pytest.mark.parametrize(
    ("relays", "failing", "expected"),
    [
        (RELAYS, (), {"a1", "b1", "c1"}),
        (RELAYS, ("a1",), {"a1", "a2", "b1", "c1"}),
        (RELAYS, ("a1", "a2", "b1"), {"a1", "a2", "a3", "b1", "b2", "c1"}),
        ({"a": ["a1", "a2", "a3", "a4"]}, (), {"a1", "a2", "a3"}),
        ({"a": ["a1", "a2", "a3"], "b": ["b1"]}, (), {"a1", "a2", "b1"}),
    ],
)
def test_first_relays_of_each_failure_domain_watch(relays, failing, expected):
    every_relay = [relay for names in relays.values() for relay in names]
    found = {r for r in every_relay if is_planned_watcher(r, relays, set(failing))}
    assert found == expected
    assert len(found) >= min(MIN_WATCHERS, len(every_relay))


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, False),
        ({"is_planned": True}, True),
        ({"confirmation_age_ms": STALE_AFTER_MS}, False),
        ({"confirmation_age_ms": STALE_AFTER_MS + 1.0, "is_relay": True}, True),
        ({"confirmation_age_ms": STALE_AFTER_MS + 1.0, "is_isolated": True}, True),
    ],
)
def test_instance_without_recent_confirmation_watches(changes, expected):
    watch = StoreWatch(random.Random(1))
    assert watch.should_watch(inputs(**changes), 1_000.0) == expected


def test_followers_join_slowly_in_an_outage():
    n_instances, duration_ms = 200, 5_000.0
    watches = [StoreWatch(random.Random(seed)) for seed in range(n_instances)]
    stale = inputs(confirmation_age_ms=60_000.0, n_instances=n_instances)
    for watch in watches:
        watch.should_watch(stale, 0.0)
    n_joined = sum(watch.should_watch(stale, duration_ms) for watch in watches)
    expected = FLEET_JOINS_PER_S * duration_ms / 1000.0
    assert 0.5 * expected < n_joined < 1.5 * expected


def test_follower_whose_call_fails_waits_before_it_tries_again():
    watch = StoreWatch(random.Random(1))
    stale = inputs(confirmation_age_ms=60_000.0, n_instances=20)
    now_ms = 0.0
    while not watch.should_watch(stale, now_ms):
        now_ms += 100.0
    failed = stale._replace(failure_age_ms=10.0)
    assert not watch.should_watch(failed, now_ms + 100.0)
    later = stale._replace(failure_age_ms=60_000.0)
    assert watch.should_watch(later, now_ms + 60_000.0)


def test_joined_instance_stops_once_others_confirm_again():
    watch = StoreWatch(random.Random(1))
    stale = inputs(confirmation_age_ms=60_000.0, is_relay=True)
    assert watch.should_watch(stale, 0.0)
    assert watch.should_watch(inputs(), JOINED_FOR_MS - 1.0)
    assert not watch.should_watch(inputs(), JOINED_FOR_MS)


def change_something(fleet):
    fleet.store.configure()
    first, second = list(fleet.store.upstreams.values())[:2]
    fleet.store.put(first._replace(is_draining=not first.is_draining))
    fleet.store.remove(second.upstream_id)


def run_until_known(fleet, limit_ms):
    """Return the nodes that lack a change after the limit."""
    end_ms = fleet.now_ms() + limit_ms
    while fleet.behind() and fleet.now_ms() < end_ms:
        fleet.run(50.0)
    return fleet.behind()


@pytest.mark.parametrize("n_instances", [7, 13, 40])
@pytest.mark.parametrize("loss", [0.0, 0.03])
def test_changes_reach_every_instance_in_time(n_instances, loss):
    fleet = StoreFleet(n_instances, loss=loss)
    fleet.run(DISCOVERY_MS)
    assert fleet.behind() == []
    for _ in range(4):
        change_something(fleet)
        assert run_until_known(fleet, PROPAGATION_LIMIT_MS) == []
        fleet.run(700.0)


def test_calls_to_the_store_do_not_grow_with_the_fleet():
    """Each instance once watched the store: 195 made 26,000 calls on a quiet day."""
    fleet = StoreFleet(60)
    fleet.run(DISCOVERY_MS)
    began_at_ms = fleet.now_ms()
    fleet.run(10_000.0)
    calm_per_s = fleet.n_calls_since(began_at_ms) / 10.0
    assert calm_per_s <= 2.0 * MIN_WATCHERS
    began_at_ms = fleet.now_ms()
    for _ in range(40):
        fleet.store.configure()
        fleet.run(100.0)
    assert fleet.n_calls_since(began_at_ms) / 4.0 <= 60.0


@pytest.mark.parametrize("is_silent", [True, False])
@pytest.mark.parametrize("n_instances", [20, 40])
def test_store_that_refuses_every_watcher_is_followed_through_others(
    n_instances, is_silent
):
    fleet = StoreFleet(n_instances)
    fleet.run(DISCOVERY_MS)
    refused = {node.name for node in fleet.nodes if node.is_wanted}
    fleet.is_silent = is_silent
    fleet.can_reach = lambda node: node.name not in refused
    # A silent store is noticed when a call times out.
    fleet.run(2_500.0 if is_silent else 500.0)
    change_something(fleet)
    assert run_until_known(fleet, PROPAGATION_LIMIT_MS) == []


def test_all_watchers_lost_at_once_are_replaced():
    fleet = StoreFleet(40)
    fleet.run(DISCOVERY_MS)
    for node in [node for node in fleet.nodes if node.is_wanted]:
        node.stop()
    fleet.run(1_000.0)
    change_something(fleet)
    assert run_until_known(fleet, PROPAGATION_LIMIT_MS) == []


def test_outage_of_the_store_keeps_calls_few_and_its_return_is_noticed():
    fleet = StoreFleet(60)
    fleet.run(DISCOVERY_MS)
    fleet.can_reach = lambda node: False
    began_at_ms = fleet.now_ms()
    fleet.run(6_000.0)
    assert fleet.n_calls_since(began_at_ms) / 6.0 < 60.0
    fleet.store.configure()
    fleet.can_reach = lambda node: True
    assert run_until_known(fleet, PROPAGATION_LIMIT_MS) == []


def test_entries_that_lapsed_in_an_outage_are_kept_by_followers_until_they_return():
    fleet = StoreFleet(30)
    fleet.run(DISCOVERY_MS)
    lapsed = list(fleet.store.upstreams.values())[:6]
    fleet.can_reach = lambda node: False
    fleet.run(5_000.0)
    for upstream in lapsed:
        fleet.store.remove(upstream.upstream_id)
    fleet.can_reach = lambda node: True
    n_upstreams = len(fleet.upstreams)
    for _ in range(15):
        fleet.run(100.0)
        known = [len(node.fleet_state.directory.all()) for node in fleet.running()]
        assert min(known) == n_upstreams
    for upstream in lapsed[:3]:
        fleet.store.put(upstream)
    fleet.run(3_000.0)
    assert fleet.behind() == []
    known = {len(node.fleet_state.directory.all()) for node in fleet.running()}
    assert known == {n_upstreams - 3}


def test_instance_that_restarts_without_the_store_gets_the_state_from_peers():
    fleet = StoreFleet(30)
    fleet.run(DISCOVERY_MS)
    fleet.can_reach = lambda node: False
    fleet.run(1_000.0)
    restarted = fleet.nodes[3:12]
    for node in restarted:
        node.stop()
    fleet.run(500.0)
    for node in restarted:
        fleet.restart(node)
    fleet.run(4_000.0)
    assert fleet.behind() == []


def test_isolated_instance_watches_the_store_itself():
    fleet = StoreFleet(20)
    fleet.run(DISCOVERY_MS)
    lonely = next(node for node in fleet.nodes if node.peers.relay)
    fleet.is_partitioned = lambda a, b: lonely in (a, b)
    fleet.run(STALE_AFTER_MS)
    change_something(fleet)
    assert run_until_known(fleet, PROPAGATION_LIMIT_MS) == []


class FollowingMachine(RuleBasedStateMachine):
    """Changes meet refusals, partitions and restarts; nothing known is forgotten."""

    N_INSTANCES = 16

    @initialize(seed=st.integers(0, 3))
    def start(self, seed):
        self.fleet = StoreFleet(self.N_INSTANCES, seed=seed, loss=0.02)
        self.fleet.run(DISCOVERY_MS)
        self.newest = {}

    @rule()
    def configure(self):
        self.fleet.store.configure()

    @rule(number=st.integers(0, 11))
    def change_an_entry(self, number):
        upstream = self.fleet.upstreams[number]
        # The number of slots rises with each change, so that a step back shows.
        slots = 1_000 + self.fleet.store.revision
        self.fleet.store.put(upstream._replace(n_slots=slots))

    @rule(refused=st.sets(st.integers(0, 15), max_size=12), is_silent=st.booleans())
    def refuse(self, refused, is_silent):
        names = {f"i{number}" for number in refused}
        self.fleet.is_silent = is_silent
        self.fleet.can_reach = lambda node: node.name not in names

    @rule(cut=st.sets(st.integers(0, 15), max_size=8))
    def partition(self, cut):
        names = {f"i{number}" for number in cut}
        self.fleet.is_partitioned = lambda a, b: (a.name in names) != (b.name in names)

    @rule(numbers=st.sets(st.integers(0, 15), max_size=8))
    def restart(self, numbers):
        for number in numbers:
            self.fleet.restart(self.fleet.nodes[number])

    @rule(duration_ms=st.sampled_from([100.0, 700.0, 3_000.0]))
    def wait(self, duration_ms):
        self.fleet.run(duration_ms)

    @rule()
    def everything_heals(self):
        self.fleet.can_reach = lambda node: True
        self.fleet.is_partitioned = lambda a, b: False
        self.fleet.run(2_000.0)
        self.fleet.store.configure()
        assert run_until_known(self.fleet, PROPAGATION_LIMIT_MS) == []

    @invariant()
    def nothing_goes_back(self):
        for node in getattr(self, "fleet", None) and self.fleet.running() or ():
            state = node.fleet_state
            known = {u.upstream_id: u.n_slots for u in state.directory.all()}
            key = node.name, node.generation
            before = self.newest.get(key, (0, 0, {}))
            assert state.configuration.version >= before[0]
            assert state.upstreams.revision >= before[1]
            for name, n_slots in before[2].items():
                assert known.get(name, n_slots) >= n_slots
            self.newest[key] = (
                state.configuration.version,
                state.upstreams.revision,
                known,
            )


FollowingMachine.TestCase.settings = settings(
    max_examples=8,
    stateful_step_count=14,
    derandomize=True,
    deadline=None,
    # A step simulates seconds of a fleet, so that shrinking takes many minutes.
    phases=(Phase.explicit, Phase.generate),
)
TestFollowing = FollowingMachine.TestCase
