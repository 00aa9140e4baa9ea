"""Relay topology of the digest exchange, and the queue of gossip updates."""

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


def domains_of_fleet(n_instances, n_domains=3):
    return {f"i{n}": f"d{n % n_domains}" for n in range(n_instances)}


def members(domains, seen_at_ms=0.0):
    return {name: Member(domain, seen_at_ms) for name, domain in domains.items()}


def topology(instance_id, n_instances, now_ms=0.0):
    domains = domains_of_fleet(n_instances)
    instance = RelayTopology(instance_id, domains[instance_id])
    instance.update(members(domains), now_ms)
    return instance


def relays_of(domains):
    return {relay for relays in plan_relays(domains).values() for relay in relays}


@pytest.mark.parametrize("n_instances", [1, 2, 7, MAX_DIRECT_FLEET])
def test_every_instance_of_a_small_fleet_is_a_relay(n_instances):
    domains = domains_of_fleet(n_instances)
    assert relays_of(domains) == set(domains)


@pytest.mark.parametrize("n_domains", [1, 3, 6])
@pytest.mark.parametrize("n_instances", [13, 30, 88, 340, 1_000])
def test_traffic_of_an_instance_hardly_grows_with_the_fleet(n_instances, n_domains):
    """Every instance once sent to all others, and 88 of them filled their links."""
    domains = domains_of_fleet(n_instances, n_domains)
    plan = plan_relays(domains)
    assert all(plan[domain] for domain in domains.values())
    n_relays = len(relays_of(domains))
    n_followers = n_instances / n_relays
    n_contacts = n_relays + n_followers
    assert n_contacts <= 2.0 * n_instances**0.5 + n_domains
    per_s = n_contacts * 1_000.0 / digest_period_ms(n_instances)
    small_per_s = MAX_DIRECT_FLEET * 1_000.0 / MIN_PERIOD_MS
    assert per_s <= 1.2 * small_per_s


def test_joining_or_leaving_instance_changes_few_relays():
    before = relays_of(domains_of_fleet(88))
    assert len(before - relays_of(domains_of_fleet(87))) <= 1
    assert len(before - relays_of(domains_of_fleet(89))) <= 1


def test_instance_with_followers_acts_as_a_relay():
    domains = domains_of_fleet(88)
    name = next(n for n in domains if n not in relays_of(domains))
    instance = topology(name, 88)
    assert instance.relay in plan_relays(domains)[domains[name]]
    assert instance.contacts(0.0) == [Contact(instance.relay, Scope.OWN)]
    instance.on_digest("i99", Scope.OWN, name, 10.0)
    instance.update(members(domains), 10.0)
    assert instance.relay == ""
    assert Contact("i99", Scope.OTHERS) in instance.contacts(10.0)
    instance.update(members(domains), 11.0 + CONTACT_LIFETIME_MS)
    assert instance.relay != ""


@pytest.mark.parametrize(
    ("seen_later_ms", "is_followed_again"), [(-1.0, False), (1.0, True)]
)
def test_silent_relay_is_avoided_until_seen_after_cooldown(
    seen_later_ms, is_followed_again
):
    domains = domains_of_fleet(88)
    name = next(n for n in domains if n not in relays_of(domains))
    instance = topology(name, 88)
    first = instance.relay
    instance.contacts(0.0)
    instance.update(members(domains), SILENT_MS)
    assert instance.relay != first
    seen_at_ms = SILENT_MS + RELAY_COOLDOWN_MS + seen_later_ms
    others = {other for other in domains if other not in (first, name)}
    same_domain = [other for other in others if domains[other] == domains[name]]
    members_left = {
        first: Member(domains[first], seen_at_ms),
        name: Member(domains[name], 0.0),
    }
    members_left |= {other: Member("elsewhere", 0.0) for other in same_domain}
    instance.update(members_left, seen_at_ms)
    assert (instance.relay == first) == is_followed_again


def test_silent_relays_are_not_retried_while_others_are_left():
    """Planned relays that were gone were once tried in rotation for minutes."""
    domains = domains_of_fleet(88)
    name = next(n for n in domains if n not in relays_of(domains))
    instance, now_ms, tried = topology(name, 88), 0.0, []
    for _ in range(5):
        tried.append(instance.relay)
        instance.contacts(now_ms)
        now_ms += SILENT_MS
        instance.update(members(domains), now_ms)
    assert len(set(tried)) == len(tried)


def test_relay_reported_by_a_mistaken_relay_becomes_a_contact():
    domains = domains_of_fleet(88)
    relay, other = sorted(relays_of(domains))[:2]
    instance = topology(relay, 88)
    instance.on_digest(other, Scope.PEER_LIST, "i77", 5.0)
    assert Contact("i77", Scope.GROUP) in instance.contacts(5.0)


def test_followers_take_work_from_their_relay_and_relays_from_groups():
    domains = domains_of_fleet(88)
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


def test_update_is_sent_several_times_and_repeated_only_later():
    queue = GossipQueue()
    item = LoadedWeights(1, "m", 2)
    queue.add(item, 0.0)
    queue.add(item, 500.0)
    assert [queue.next_batch() for _ in range(N_TRANSMISSIONS + 1)] == [[item]] * 3 + [
        []
    ]
    queue.add(item, REPEAT_AFTER_MS)
    assert queue.next_batch() == [item]


def test_updates_beyond_one_digest_wait_for_the_next():
    queue = GossipQueue()
    updates = [PartUpdate(1, part, 900, 0.0) for part in range(MAX_BATCH + 5)]
    for update in updates:
        queue.add(update, 0.0)
    batches = [queue.next_batch() for _ in range(N_TRANSMISSIONS * 2)]
    assert all(len(batch) <= MAX_BATCH for batch in batches)
    assert {update for batch in batches for update in batch} == set(updates)
