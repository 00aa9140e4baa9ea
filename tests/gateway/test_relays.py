"""With whom an instance exchanges digests."""

import pytest

from buckthornrock.gateway.gossip_queue import (
    MAX_BATCH,
    N_TRANSMISSIONS,
    REPEAT_AFTER_MS,
    GossipQueue,
    PartUpdate,
)
from buckthornrock.gateway.peer_view import Member
from buckthornrock.gateway.relays import (
    CONTACT_LIFETIME_MS,
    MAX_DIRECT_FLEET,
    MIN_PERIOD_MS,
    N_SILENT_PERIODS,
    RELAY_COOLDOWN_MS,
    Contact,
    RelayTopology,
    digest_period_ms,
    plan_relays,
)
from buckthornrock.wire.digests import LoadedWeights, Scope

SILENT_MS = N_SILENT_PERIODS * digest_period_ms(100) + 1.0


def fleet(n_instances, n_domains=3):
    return {f"i{n}": f"d{n % n_domains}" for n in range(n_instances)}


def members(domains, seen_at_ms=0.0):
    return {name: Member(domain, seen_at_ms) for name, domain in domains.items()}


def topology(instance_id, n_instances, now_ms=0.0):
    domains = fleet(n_instances)
    found = RelayTopology(instance_id, domains[instance_id])
    found.update(members(domains), now_ms)
    return found


def relays_of(domains):
    return {relay for relays in plan_relays(domains).values() for relay in relays}


@pytest.mark.parametrize("n_instances", [1, 2, 7, MAX_DIRECT_FLEET])
def test_small_fleet_needs_no_relays(n_instances):
    domains = fleet(n_instances)
    assert relays_of(domains) == set(domains)


@pytest.mark.parametrize("n_domains", [1, 3, 6])
@pytest.mark.parametrize("n_instances", [13, 30, 88, 340, 1_000])
def test_cost_of_an_instance_hardly_grows_with_the_fleet(n_instances, n_domains):
    """Each instance told every other one, so that 88 of them filled their links."""
    domains = fleet(n_instances, n_domains)
    plan = plan_relays(domains)
    assert all(plan[domain] for domain in domains.values())
    n_relays = len(relays_of(domains))
    n_followers = n_instances / n_relays
    n_contacts = n_relays + n_followers
    assert n_contacts <= 2.0 * n_instances**0.5 + n_domains
    per_s = n_contacts * 1_000.0 / digest_period_ms(n_instances)
    small_per_s = MAX_DIRECT_FLEET * 1_000.0 / MIN_PERIOD_MS
    assert per_s <= 1.2 * small_per_s


def test_instance_that_joins_or_leaves_moves_few_relays():
    before = relays_of(fleet(88))
    assert len(before - relays_of(fleet(87))) <= 1
    assert len(before - relays_of(fleet(89))) <= 1


def test_instance_that_is_followed_acts_as_a_relay():
    domains = fleet(88)
    name = next(n for n in domains if n not in relays_of(domains))
    found = topology(name, 88)
    assert found.relay in plan_relays(domains)[domains[name]]
    assert found.contacts(0.0) == [Contact(found.relay, Scope.OWN)]
    found.on_digest("i99", Scope.OWN, name, 10.0)
    found.update(members(domains), 10.0)
    assert found.relay == ""
    assert Contact("i99", Scope.OTHERS) in found.contacts(10.0)
    found.update(members(domains), 11.0 + CONTACT_LIFETIME_MS)
    assert found.relay != ""


@pytest.mark.parametrize(
    ("seen_later_ms", "is_followed_again"), [(-1.0, False), (1.0, True)]
)
def test_silent_relay_is_given_up_until_heard_later(seen_later_ms, is_followed_again):
    domains = fleet(88)
    name = next(n for n in domains if n not in relays_of(domains))
    found = topology(name, 88)
    first = found.relay
    found.contacts(0.0)
    found.update(members(domains), SILENT_MS)
    assert found.relay != first
    seen_at_ms = SILENT_MS + RELAY_COOLDOWN_MS + seen_later_ms
    others = {other for other in domains if other not in (first, name)}
    domain = [other for other in others if domains[other] == domains[name]]
    left = {first: Member(domains[first], seen_at_ms), name: Member(domains[name], 0.0)}
    left |= {other: Member("elsewhere", 0.0) for other in domain}
    found.update(left, seen_at_ms)
    assert (found.relay == first) == is_followed_again


def test_all_relays_of_a_domain_silent_leaves_others_in_turn():
    """Planned relays that are gone were tried in turn for minutes."""
    domains = fleet(88)
    name = next(n for n in domains if n not in relays_of(domains))
    found, now_ms, tried = topology(name, 88), 0.0, []
    for _ in range(5):
        tried.append(found.relay)
        found.contacts(now_ms)
        now_ms += SILENT_MS
        found.update(members(domains), now_ms)
    assert len(set(tried)) == len(tried)


def test_instance_taken_for_a_relay_names_the_one_it_follows():
    domains = fleet(88)
    relay, other = sorted(relays_of(domains))[:2]
    found = topology(relay, 88)
    found.on_digest(other, Scope.NAMES, "i77", 5.0)
    assert Contact("i77", Scope.GROUP) in found.contacts(5.0)


def test_work_of_the_fleet_comes_from_the_relay_or_from_all_groups():
    domains = fleet(88)
    relays = sorted(relays_of(domains))
    name = next(n for n in domains if n not in relays)
    follower, relay = topology(name, 88), topology(relays[0], 88)
    follower.on_digest(follower.relay, Scope.OTHERS, "", 1.0)
    follower.on_digest(relays[0], Scope.GROUP, "", 1.0)
    assert follower.sources() == {follower.relay}
    relay.on_digest(name, Scope.OWN, relays[0], 1.0)
    relay.on_digest(relays[1], Scope.GROUP, "", 1.0)
    relay.on_digest(relays[2], Scope.OTHERS, "", 1.0)
    assert relay.sources() == {name, relays[1]}


def test_news_is_told_several_times_and_again_only_later():
    queue = GossipQueue()
    item = LoadedWeights(1, "m", 2)
    queue.add(item, 0.0)
    queue.add(item, 500.0)
    assert [queue.next_batch() for _ in range(N_TRANSMISSIONS + 1)] == [[item]] * 3 + [
        []
    ]
    queue.add(item, REPEAT_AFTER_MS)
    assert queue.next_batch() == [item]


def test_news_beyond_one_digest_waits_for_the_next():
    queue = GossipQueue()
    updates = [PartUpdate(1, part, 900, 0.0) for part in range(MAX_BATCH + 5)]
    for update in updates:
        queue.add(update, 0.0)
    batches = [queue.next_batch() for _ in range(N_TRANSMISSIONS * 2)]
    assert all(len(batch) <= MAX_BATCH for batch in batches)
    assert {update for batch in batches for update in batch} == set(updates)
