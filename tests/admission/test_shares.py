"""Shares of fleet-wide limits over several instances and an unreliable network."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from buckthornrock.admission.buckets import Rates
from buckthornrock.admission.live_view import LiveView
from buckthornrock.admission.share_client import VALID_PERIODS, ShareClient
from buckthornrock.admission.share_owner import ShareOwner, max_min_shares
from buckthornrock.runtime import rendezvous

PERIOD_MS = 1_000.0
VALID_MS = VALID_PERIODS * PERIOD_MS
HOLD_MS = 10_000.0
LIMIT = Rates(100.0, 10_000.0)
KEY = ("p", "acct")
TOLERANCE = 1.000001


class Node:
    """The share client and share owner of one instance, without I/O."""

    def __init__(self, node_id, first_seq=0):
        self.id = node_id
        self.view = LiveView(HOLD_MS)
        self.client = ShareClient(self.view, PERIOD_MS, first_seq)
        self.owner = ShareOwner(self.view, PERIOD_MS, lambda key: LIMIT)


class Fleet:
    """Instances and the messages between them, under one simulated clock."""

    def __init__(self, n_nodes):
        self.now_ms = 0.0
        self.nodes = {f"n{i}": Node(f"n{i}") for i in range(n_nodes)}
        self.messages = []
        self.n_over_ms = 0.0
        self.update_views()

    def update_views(self, views=None):
        for node in self.nodes.values():
            ids = (views or {}).get(node.id, tuple(self.nodes))
            node.view.update(ids, self.now_ms)

    def demand(self, node_id, n_requests):
        for _ in range(n_requests):
            self.nodes[node_id].client.note_demand(KEY, 100.0)

    def report(self):
        for node in self.nodes.values():
            node.owner.expire(self.now_ms)
            for owner_id, report in node.client.make_reports(self.now_ms).items():
                self.messages.append((node.id, owner_id, report))

    def deliver(self, message):
        sender_id, receiver_id, body = message
        node = self.nodes.get(receiver_id)
        if node is None:
            return
        if hasattr(body, "demands"):
            grant = node.owner.on_report(sender_id, body, self.now_ms)
            self.messages.append((receiver_id, sender_id, grant))
            return
        node.client.on_grant(sender_id, body, self.now_ms)

    def deliver_all(self):
        while self.messages:
            self.deliver(self.messages.pop(0))

    def total(self):
        rates = [n.client.rates(KEY, LIMIT, self.now_ms) for n in self.nodes.values()]
        return Rates(*(sum(column) for column in zip(*rates, strict=True)))

    def used(self):
        """Return what the instances that have demand may admit together."""
        rates = [
            node.client.rates(KEY, LIMIT, self.now_ms)
            for node in self.nodes.values()
            if KEY in node.client._demands
        ]
        return Rates(*(sum(column) for column in zip((0.0, 0.0), *rates, strict=True)))

    def held(self):
        """Return the sum of all shares that have not expired."""
        shares = [
            node.client._shares[KEY].rates
            for node in self.nodes.values()
            if KEY in node.client._shares
            and node.client._shares[KEY].expires_at_ms > self.now_ms
        ]
        return Rates(*(sum(column) for column in zip((0.0, 0.0), *shares, strict=True)))

    def is_over(self):
        pairs = zip(self.used(), LIMIT, strict=True)
        return any(total > limit * TOLERANCE for total, limit in pairs)

    def advance(self, step_ms):
        self.now_ms += step_ms
        self.n_over_ms = self.n_over_ms + step_ms if self.is_over() else 0.0

    def run(self, n_periods, demands, views=None):
        for _ in range(n_periods):
            for node_id, n_requests in demands.items():
                if node_id in self.nodes:
                    self.demand(node_id, n_requests)
            self.update_views(views)
            self.report()
            self.deliver_all()
            self.advance(PERIOD_MS)


DEMANDS = [
    {f"n{i}": 50 for i in range(7)},
    {"n0": 500, "n1": 1},
    {"n3": 1000},
    {f"n{i}": i for i in range(7)},
]


@pytest.mark.parametrize("demands", DEMANDS)
def test_shares_follow_demand_within_the_limit(demands):
    fleet = Fleet(7)
    fleet.run(20, demands)
    assert not fleet.is_over()
    total = sum(demands.values())
    for node_id, n_requests in demands.items():
        rates = fleet.nodes[node_id].client.rates(KEY, LIMIT, fleet.now_ms)
        wanted = min(n_requests, LIMIT.requests_per_s * n_requests / total)
        # An idle instance may use its fixed part; the rest is divided by demand.
        assert rates.requests_per_s >= min(wanted, LIMIT.requests_per_s / 7) * 0.9
    busiest = max(demands, key=demands.get)
    rates = fleet.nodes[busiest].client.rates(KEY, LIMIT, fleet.now_ms)
    assert rates.requests_per_s >= min(demands[busiest], 100.0) / len(demands)


def test_one_busy_instance_gets_nearly_the_whole_limit():
    fleet = Fleet(7)
    fleet.run(20, {"n2": 1000})
    rates = fleet.nodes["n2"].client.rates(KEY, LIMIT, fleet.now_ms)
    assert rates.requests_per_s >= 0.95 * LIMIT.requests_per_s


def test_new_demand_exceeds_the_limit_for_at_most_one_share_lifetime():
    fleet = Fleet(7)
    fleet.run(20, {"n2": 1000})
    everyone = {node_id: 1000 for node_id in fleet.nodes}
    worst_ms = 0.0
    for _ in range(20):
        fleet.run(1, everyone)
        worst_ms = max(worst_ms, fleet.n_over_ms)
    assert worst_ms <= VALID_MS
    assert fleet.used().requests_per_s >= 0.95 * LIMIT.requests_per_s


def test_instance_without_peers_uses_its_fixed_part():
    fleet = Fleet(7)
    for _ in range(10):
        fleet.demand("n0", 100)
        fleet.report()
        fleet.messages.clear()
        fleet.advance(PERIOD_MS)
    rates = fleet.nodes["n0"].client.rates(KEY, LIMIT, fleet.now_ms)
    assert rates.requests_per_s == pytest.approx(LIMIT.requests_per_s / 7)
    assert not fleet.is_over()


def owner_of(fleet):
    return rendezvous.owner(KEY[1].encode(), tuple(fleet.nodes))


def test_replaced_owner_exceeds_the_limit_for_at_most_one_share_lifetime():
    fleet = Fleet(7)
    demands = {f"n{i}": 10 + 50 * i for i in range(7)}
    fleet.run(10, demands)
    del fleet.nodes[owner_of(fleet)]
    worst_ms = 0.0
    for _ in range(30):
        fleet.run(1, demands)
        worst_ms = max(worst_ms, fleet.n_over_ms)
    assert worst_ms <= VALID_MS
    assert fleet.total().requests_per_s >= 0.9 * LIMIT.requests_per_s


def test_partitioned_fleet_keeps_the_limit_while_lost_instances_count():
    fleet = Fleet(6)
    demands = {f"n{i}": 50 for i in range(6)}
    fleet.run(10, demands)
    halves = (("n0", "n1", "n2"), ("n3", "n4", "n5"))
    views = {node_id: half for half in halves for node_id in half}
    worst_ms = 0.0
    for _ in range(int(HOLD_MS / PERIOD_MS) - 1):
        fleet.run(1, demands, views)
        worst_ms = max(worst_ms, fleet.n_over_ms)
    assert worst_ms <= VALID_MS
    # After the hold time, each half considers the other one dead.
    fleet.run(20, demands, views)
    assert fleet.total().requests_per_s <= 2 * LIMIT.requests_per_s * TOLERANCE
    fleet.run(int((HOLD_MS + 2 * VALID_MS) / PERIOD_MS), demands)
    assert not fleet.is_over()


def test_repeated_report_and_grant_of_another_sender_are_ignored():
    fleet = Fleet(3)
    fleet.run(10, {"n0": 50, "n1": 50})
    owner = fleet.nodes[owner_of(fleet)]
    node = fleet.nodes["n0"]
    fleet.demand("n0", 50)
    report = node.client.make_reports(fleet.now_ms)[owner.id]
    grant = owner.owner.on_report("n0", report, fleet.now_ms)
    assert grant.shares
    assert owner.owner.on_report("n0", report, fleet.now_ms).shares == ()
    before = node.client.rates(KEY, LIMIT, fleet.now_ms)
    node.client.on_grant("stranger", grant, fleet.now_ms)
    assert node.client.rates(KEY, LIMIT, fleet.now_ms) == before


@pytest.mark.parametrize("is_owner_killed", [False, True])
@pytest.mark.parametrize("grant_delay_ms", [0.0, VALID_MS - 100.0])
def test_shares_of_an_unreachable_holder_are_not_granted_again(
    is_owner_killed, grant_delay_ms
):
    fleet = Fleet(5)
    owner_id = owner_of(fleet)
    holder_id, *others = (id_ for id_ in fleet.nodes if id_ != owner_id)
    fleet.run(10, {holder_id: 1000})
    fleet.demand(holder_id, 1000)
    fleet.report()
    fleet.deliver(fleet.messages.pop())
    late_grant = fleet.messages.pop()
    late_at_ms = fleet.now_ms + grant_delay_ms
    if is_owner_killed:
        del fleet.nodes[owner_id]
    for _ in range(100):
        for node_id in others:
            fleet.demand(node_id, 100)
        fleet.update_views()
        if fleet.now_ms % PERIOD_MS == 0:
            fleet.report()
        fleet.messages = [m for m in fleet.messages if holder_id not in m[:2]]
        fleet.deliver_all()
        if late_grant and fleet.now_ms >= late_at_ms:
            fleet.deliver(late_grant)
            late_grant = None
        held = fleet.held().requests_per_s
        assert held <= LIMIT.requests_per_s * TOLERANCE
        fleet.advance(100.0)
    assert held >= 0.5 * LIMIT.requests_per_s


def test_reporter_with_another_view_gets_no_share():
    fleet = Fleet(3)
    fleet.run(10, {"n0": 50, "n1": 50})
    owner = fleet.nodes[owner_of(fleet)]
    reporter = next(node for node in fleet.nodes.values() if node is not owner)
    live = tuple(id_ for id_ in fleet.nodes if id_ != owner.id)
    reporter.view.update(live, fleet.now_ms)
    fleet.demand(reporter.id, 50)
    for report in reporter.client.make_reports(fleet.now_ms).values():
        for node in fleet.nodes.values():
            if node is not reporter:
                grant = node.owner.on_report(reporter.id, report, fleet.now_ms)
                assert grant.shares == ()


def test_late_grant_does_not_extend_a_share():
    fleet = Fleet(1)
    fleet.run(5, {"n0": 50})
    node = fleet.nodes["n0"]
    fleet.demand("n0", 50)
    report = node.client.make_reports(fleet.now_ms)["n0"]
    grant = node.owner.on_report("n0", report, fleet.now_ms)
    late_ms = fleet.now_ms + VALID_MS
    node.client.on_grant("n0", grant, late_ms)
    fixed = node.client.rates(KEY, LIMIT, late_ms)
    assert fixed == LIMIT


@given(st.floats(0.0, 1e4), st.lists(st.floats(0.0, 1e4), min_size=1, max_size=20))
def test_max_min_shares_add_up_and_meet_small_demands(total, demands):
    shares = max_min_shares(total, demands)
    assert sum(shares) == pytest.approx(total)
    fair = total / len(demands)
    for share, demand in zip(shares, demands, strict=True):
        assert share >= min(demand, fair) * 0.999999 - 1e-9


class Shares(RuleBasedStateMachine):
    """Lost, late and repeated messages, dead instances and differing views."""

    @initialize(n_nodes=st.integers(2, 6))
    def start(self, n_nodes):
        self.fleet = Fleet(n_nodes)
        self.was_suspected = False
        self.fleet.run(6, {f"n{i}": 100 * i for i in range(6)})

    @rule(index=st.integers(0, 5), n_requests=st.integers(1, 300))
    def add_demand(self, index, n_requests):
        ids = list(self.fleet.nodes)
        self.fleet.demand(ids[index % len(ids)], n_requests)

    @rule()
    def report(self):
        self.fleet.report()

    @precondition(lambda self: self.fleet.messages)
    @rule(data=st.data(), outcome=st.sampled_from(["deliver", "lose", "repeat"]))
    def network(self, data, outcome):
        index = data.draw(st.integers(0, len(self.fleet.messages) - 1))
        message = self.fleet.messages.pop(index)
        if outcome != "lose":
            self.fleet.deliver(message)
        if outcome == "repeat":
            self.fleet.deliver(message)

    @rule(n_requests=st.lists(st.integers(0, 300), min_size=6, max_size=6))
    def whole_period(self, n_requests):
        demands = {f"n{i}": n for i, n in enumerate(n_requests)}
        self.fleet.run(1, demands)

    @rule()
    def deliver_all(self):
        self.fleet.deliver_all()

    @rule(step_ms=st.sampled_from([100.0, PERIOD_MS, VALID_MS]))
    def wait(self, step_ms):
        self.fleet.advance(step_ms)
        self.fleet.update_views()

    @precondition(lambda self: len(self.fleet.nodes) > 1)
    @rule(index=st.integers(0, 5))
    def kill(self, index):
        ids = list(self.fleet.nodes)
        del self.fleet.nodes[ids[index % len(ids)]]
        self.fleet.update_views()

    @rule(index=st.integers(0, 5), other=st.integers(0, 5))
    def suspect(self, index, other):
        ids = list(self.fleet.nodes)
        node = self.fleet.nodes[ids[index % len(ids)]]
        suspected = ids[other % len(ids)]
        live = [id_ for id_ in ids if id_ != suspected or id_ == node.id]
        node.view.update(live, self.fleet.now_ms)
        self.was_suspected = True

    @invariant()
    def total_is_bounded_by_the_number_of_views(self):
        total = self.fleet.total()
        n_views = len({node.view.digest for node in self.fleet.nodes.values()})
        bound = 1 + n_views
        for used, limit in zip(total, LIMIT, strict=True):
            assert used <= bound * limit * TOLERANCE

    @invariant()
    def shares_never_add_up_to_more_than_the_limit(self):
        if self.was_suspected:
            return
        for held, limit in zip(self.fleet.held(), LIMIT, strict=True):
            assert held <= limit * TOLERANCE

    def teardown(self):
        """After the faults end, the limit holds from one share lifetime on."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.messages.clear()
        busy = {node_id: 40 * (i + 1) for i, node_id in enumerate(fleet.nodes)}
        fleet.run(VALID_PERIODS + 1, busy)
        for _ in range(2 * VALID_PERIODS):
            fleet.run(1, busy)
            assert not fleet.is_over()


TestShares = Shares.TestCase
TestShares.settings = settings(max_examples=60, stateful_step_count=40)
