"""Quotas of client accounts in fleets whose digests pass through relays."""

import msgspec
import pytest

from buckthornrock.admission.quota_limits import AccountLimit
from buckthornrock.scheduling.loads import Work
from buckthornrock.wire.digests import (
    Digest,
    QuotaCounters,
    Scope,
    decode_digest,
    encode_digest,
)
from buckthornrock.wire.numeric_ids import account_number
from tests.gateway.fleet import QUOTA_BOUND, Fleet
from tests.gateway.test_peers import digest

ACCOUNT = account_number("a")
LIMIT = AccountLimit(50_000.0, 100_000.0, True)
COSTS = (400, 3_000, 17_000, 30_000)
DISCOVERY_MS = 16_000.0
WINDOW_MS = QUOTA_BOUND.window_ms
MAX_DATAGRAM_BYTES = 65_507
N_FIELDS_WITHOUT_QUOTA = [field.name for field in msgspec.structs.fields(Digest)].index(
    "quota"
)


class Demand:
    """Random requests of one account, and what was decided on them."""

    def __init__(self, fleet):
        self.decided: list[tuple[float, int, bool]] = []
        self.n_per_s = 0.0
        self.nodes = fleet.nodes
        self._fleet = fleet
        self._arrive()

    def ask_for(self, factor):
        """Ask for ``factor`` times the account's rate from now on."""
        mean = sum(COSTS) / len(COSTS)
        self.n_per_s = factor * LIMIT.rate_per_s / mean

    def _arrive(self):
        fleet = self._fleet
        node = fleet.rng.choice(self.nodes)
        if self.n_per_s and node.is_running:
            cost = fleet.rng.choice(COSTS)
            decision = node.quota.charge(ACCOUNT, cost, fleet.now_ms())
            self.decided.append((fleet.now_ms(), cost, decision.is_ok()))
        delay_ms = fleet.rng.expovariate((self.n_per_s or 20.0) / 1_000.0)
        fleet.after(delay_ms, self._arrive)

    def largest_window(self):
        largest = total = first = 0
        admitted = [(at_ms, cost) for at_ms, cost, is_ok in self.decided if is_ok]
        for at_ms, cost in admitted:
            total += cost
            while admitted[first][0] < at_ms - WINDOW_MS:
                total -= admitted[first][1]
                first += 1
            largest = max(largest, total)
        return largest

    def admitted_share(self):
        """Return the admitted part of what one token bucket would admit."""
        level, last_ms, within = LIMIT.burst, 0.0, 0
        for at_ms, cost, _ in self.decided:
            earned = LIMIT.rate_per_s * (at_ms - last_ms) / 1_000.0
            level, last_ms = min(LIMIT.burst, level + earned), at_ms
            if cost <= level:
                level -= cost
                within += cost
        return sum(cost for _, cost, is_ok in self.decided if is_ok) / within


def allowed():
    earned = LIMIT.rate_per_s * WINDOW_MS / 1_000.0
    return (earned + LIMIT.burst) * (1.0 + QUOTA_BOUND.overage) + QUOTA_BOUND.slack


def start_fleet(n_instances):
    fleet = Fleet(n_instances, limits={"a": LIMIT}, loss=0.02)
    demand = Demand(fleet)
    fleet.run(DISCOVERY_MS)
    return fleet, demand


def restart_all(fleet):
    for node in fleet.nodes:
        node.start()


def isolate_all(fleet):
    fleet.is_partitioned = lambda a, b: True


def cut_domain(fleet):
    fleet.is_partitioned = lambda a, b: (
        (a.failure_domain == "a") != (b.failure_domain == "a")
    )


def stop_relays(fleet):
    for node in fleet.nodes:
        node.is_running = bool(node.peers.relay)


def restart_relays(fleet):
    for node in fleet.nodes:
        if not node.peers.relay:
            node.start()


def restart_with_an_older_incarnation(fleet):
    """The wall clock, which incarnations come from, stepped back before a restart."""
    node = fleet.nodes[-1]
    node._n_starts = -5
    node.start()


@pytest.mark.parametrize("n_instances", [12, 30])
@pytest.mark.parametrize(
    "fail",
    [
        restart_all,
        isolate_all,
        cut_domain,
        stop_relays,
        restart_relays,
        restart_with_an_older_incarnation,
    ],
)
def test_no_window_exceeds_the_bound_around_a_failure(fail, n_instances):
    """One account asks for four times its rate before, during and after a failure."""
    fleet, demand = start_fleet(n_instances)
    demand.ask_for(4.0)
    fleet.run(3_000.0)
    fail(fleet)
    fleet.run(6_000.0)
    fleet.is_partitioned = lambda a, b: False
    fleet.run(6_000.0)
    assert demand.largest_window() <= allowed()


@pytest.mark.parametrize("n_instances", [1, 12, 40])
def test_calm_fleet_admits_what_a_bucket_admits(n_instances):
    """All demand is at one instance at first, then everywhere, then too much."""
    fleet, demand = start_fleet(n_instances)
    demand.nodes = fleet.nodes[-1:]
    for factor in (0.9, 0.0, 1.0):
        demand.ask_for(factor)
        fleet.run(6_000.0)
    demand.nodes = fleet.nodes
    for factor in (0.95, 3.0):
        demand.ask_for(factor)
        fleet.run(8_000.0)
    assert demand.admitted_share() >= 0.97
    assert demand.largest_window() <= allowed()
    shares = {node.quota.coverage.recent_share for node in fleet.nodes}
    assert shares == {1.0}


def test_digests_without_account_limits_have_no_new_field():
    """Deployments without limits send what they sent before."""
    sent = []
    fleet = Fleet(13)
    original = fleet.send
    fleet.send = lambda *arguments: (sent.append(arguments[1]), original(*arguments))
    fleet.run(2_000.0)
    assert sent
    n_fields = {len(msgspec.msgpack.decode(data)) for data in sent}
    assert n_fields == {N_FIELDS_WITHOUT_QUOTA}


def test_digest_with_counters_is_decoded_by_older_builds():
    counters = QuotaCounters({1: 5, 2**32 - 1: -(2**53)}, 9_000, 4, 81)
    encoded = encode_digest(digest(quota=counters))
    assert decode_digest(encoded).ok.quota == counters
    older = msgspec.msgpack.encode(
        msgspec.msgpack.decode(encoded)[:N_FIELDS_WITHOUT_QUOTA]
    )
    assert older == encode_digest(digest())


@pytest.mark.parametrize("value", [2**53 + 1, -(2**63), 1.5, "5", None])
def test_counter_that_is_no_bounded_integer_makes_a_digest_undecodable(value):
    fields = msgspec.msgpack.decode(encode_digest(digest()))
    data = msgspec.msgpack.encode([*fields, [{1: value}, 0, 1, 1]])
    assert decode_digest(data).is_error()


def test_digest_with_140_accounts_fits_into_a_datagram():
    limits = {f"account-{number}": LIMIT for number in range(140)}
    fleet = Fleet(20, limits=limits)
    for number, node in enumerate(fleet.nodes):
        for upstream in fleet.upstreams:
            fleet_work = Work(1 + number, 120.0, 17_000)
            node.fleet_state.loads.of(upstream.incarnation).own = fleet_work
    fleet.run(3_000.0)
    for node in fleet.nodes:
        for name in limits:
            node.quota.refund(account_number(name), 40_000, fleet.now_ms())
    sent = []
    fleet.send = lambda sender, data, address: sent.append(data)
    fleet.run(200.0)
    largest = max(sent, key=len)
    assert decode_digest(largest).ok.scope in (Scope.OTHERS, Scope.GROUP)
    assert len(decode_digest(largest).ok.quota.charges) == 140
    assert len(largest) < MAX_DATAGRAM_BYTES / 4
