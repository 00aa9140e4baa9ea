"""Choice of an engine under each policy and with each term of the estimate."""

import random

import pytest

from buckthornrock.conf.settings import RoutingSettings, RoutingTermSettings
from buckthornrock.fleet import EngineView
from buckthornrock.routing import PeerDigest, RouteQuery
from buckthornrock.routing.blocks import BlockHasher, hex_from_hashes
from buckthornrock.routing.cost import CostRouter, RoutingContext
from buckthornrock.routing.directory import LevelOwner, LevelView
from buckthornrock.routing.levels import Level
from buckthornrock.routing.policies import open_routing
from buckthornrock.upstreams.engine_messages import CacheEvent

SECRET = "a-secret-of-the-tests"
CONTRACT = b"contract" * 256
POLICIES = ["cost", "round_robin", "least_loaded", "prefix_home"]


def context(n_instances=1, **settings):
    terms = RoutingTermSettings(**settings.pop("terms", {}))
    section = RoutingSettings(terms=terms, **settings)
    rng = random.Random(7)
    return RoutingContext(SECRET, "fd-0", 64, section, rng, lambda: n_instances)


def engine(name, **changes):
    view = EngineView(
        upstream_id=name,
        address="127.0.0.1:1",
        failure_domain="fd-0",
        incarnation="i1",
        weights_version="w1",
        models=("small",),
        adapters=(),
        n_running=0,
        n_waiting=0,
        n_waiting_tokens=0,
        n_own_requests=0,
        prefill_tokens_per_s=10_000.0,
        inter_token_ms=10.0,
        report_age_ms=0.0,
        health=1.0,
    )
    return view._replace(**changes)


def query(question=b"?" * 64, **changes):
    base = RouteQuery(
        request_id="r1",
        client_account="agency",
        member="north",
        model="small",
        adapter="",
        prompt=CONTRACT + question,
        prefix_levels=(len(CONTRACT),),
        n_output_tokens=16,
        rank=0,
        excluded=frozenset(),
    )
    return base._replace(**changes)


def store(router, name, salt, prompt, now_ms=0.0):
    hashes = hex_from_hashes(BlockHasher(64).chain(salt, prompt))
    router.on_events(name, "i1", [CacheEvent(1, "stored", hashes)], now_ms)


ENGINES = [engine(f"e{i}") for i in range(4)]


def chosen(router, query_, engines=ENGINES, now_ms=0.0):
    return router.choose(query_, engines, now_ms).ok


@pytest.mark.parametrize("policy", POLICIES)
def test_excluded_other_weights_and_ejected_are_never_chosen(policy):
    router = open_routing(context(policy=policy))
    engines = [
        engine("failed"),
        engine("old", weights_version="w0"),
        engine("ejected", health=0.0),
        engine("good"),
    ]
    asked = query(excluded=frozenset({"failed"}), weights_version="w1")
    for _ in range(20):
        assert chosen(router, asked, engines).upstream_id == "good"
    refused = router.choose(asked, engines[:2], 0.0)
    assert refused.error.code == "no-engine"


def test_instances_prefer_the_same_engine_without_communication():
    picks = {chosen(CostRouter(context()), query()).upstream_id for _ in range(10)}
    assert len(picks) == 1


@pytest.mark.parametrize(("is_on", "n_hit_tokens"), [(True, 512), (False, 0)])
def test_engine_with_cached_prefix_is_chosen(is_on, n_hit_tokens):
    router = CostRouter(context(terms={"hits": is_on, "homes": False}))
    salt = chosen(router, query()).cache_salt
    store(router, "e2", salt, CONTRACT)
    choice = chosen(router, query())
    assert choice.n_hit_tokens == n_hit_tokens
    assert not is_on or choice.upstream_id == "e2"


MEMBERS = [("agency", "north", 512), ("agency", "south", 0), ("shop", "north", 0)]


@pytest.mark.parametrize(("client_account", "member", "n_hit_tokens"), MEMBERS)
def test_cache_hits_are_limited_to_one_member(client_account, member, n_hit_tokens):
    router = CostRouter(context(terms={"homes": False}))
    store(router, "e2", chosen(router, query()).cache_salt, CONTRACT)
    asked = query(client_account=client_account, member=member)
    assert chosen(router, asked).n_hit_tokens == n_hit_tokens


COSTLY_CHANGES = [
    ("queue", {"n_waiting_tokens": 5_000}),
    ("transit", {"failure_domain": "fd-1"}),
]


@pytest.mark.parametrize("is_on", [True, False])
@pytest.mark.parametrize(("term", "changes"), COSTLY_CHANGES)
def test_term_affects_choice_unless_switched_off(term, changes, is_on):
    terms = {"homes": False, "random_ties": False, term: is_on}
    router = CostRouter(context(terms=terms, cross_domain_ms=5.0))
    engines = [engine("a", **changes), engine("b")]
    assert chosen(router, query(), engines).upstream_id == ("b" if is_on else "a")


@pytest.mark.parametrize("is_on", [True, False])
@pytest.mark.parametrize("term", ["own_sends", "peers"])
def test_unreported_sends_affect_the_choice(term, is_on):
    terms = {"homes": False, "random_ties": False, "expected": False, term: is_on}
    router = CostRouter(context(terms=terms))
    first = chosen(router, query(), ENGINES[:2])
    if term == "own_sends":
        router.on_sent(query(), first, 0.0)
    else:
        digest = PeerDigest({first.upstream_id: 5_000}, ())
        router.on_peer_digest("peer", digest, 0.0)
    second = chosen(router, query(request_id="r2"), ENGINES[:2], 1.0)
    assert (second.upstream_id != first.upstream_id) == is_on


@pytest.mark.parametrize("is_on", [True, False])
def test_burst_goes_to_the_engine_that_computes_its_prefix(is_on):
    terms = {"homes": False, "own_sends": False, "expected": is_on}
    router = CostRouter(context(terms=terms))
    first = chosen(router, query())
    router.on_sent(query(), first, 0.0)
    picks = {chosen(router, query(), now_ms=1.0).upstream_id for _ in range(20)}
    assert (picks == {first.upstream_id}) == is_on


def test_prefix_of_a_failed_attempt_is_not_expected():
    router = CostRouter(context())
    first = chosen(router, query())
    router.on_sent(query(), first, 0.0)
    router.on_failed(query(), first, 1.0)
    assert chosen(router, query(), now_ms=2.0).n_hit_tokens == 0


def send_for_a_while(router, name="r"):
    for at_ms in range(0, 4_000, 40):
        asked = query(request_id=f"{name}{at_ms}", n_output_tokens=200)
        router.on_sent(asked, chosen(router, asked, now_ms=at_ms), at_ms)


@pytest.mark.parametrize("is_on", [True, False])
def test_hot_prefix_gets_more_preferred_engines_and_loses_them(is_on):
    router = CostRouter(context(n_instances=7, terms={"widening": is_on}))
    send_for_a_while(router)
    chain = BlockHasher(64).chain(chosen(router, query()).cache_salt, CONTRACT)
    level = Level(len(chain), chain[-1])
    assert (router._n_preferred(level, 4_000.0) > 1) == is_on
    assert router._n_preferred(level, 60_000.0) == 1


def test_owner_of_a_level_sums_the_demand_of_all_instances():
    owner = CostRouter(context())
    routers = [CostRouter(context(n_instances=3)) for _ in range(3)]
    for number, router in enumerate(routers):
        send_for_a_while(router, f"r{number}-")
        sends = router.take_level_sends()
        views = owner.on_level_sends(sends, 4_000.0)
    alone = LevelOwner().report(sends, 4_000.0)
    assert views[0].n_engines == pytest.approx(3 * alone[0].n_engines)
    assert set(views[0].recent_upstreams) <= {engine.upstream_id for engine in ENGINES}


def test_level_view_replaces_an_index_that_this_instance_lacks():
    router = CostRouter(context(terms={"homes": False, "random_ties": False}))
    chain = BlockHasher(64).chain(chosen(router, query()).cache_salt, CONTRACT)
    router.on_level_views([LevelView(chain[-1], 0.1, ("e2",))], 0.0)
    choice = chosen(router, query(), now_ms=1.0)
    assert (choice.upstream_id, choice.n_hit_tokens) == ("e2", 512)
    assert chosen(router, query(), now_ms=5_000.0).n_hit_tokens == 0
    # Events override views: after a response to an event poll, the engine holds only
    # what its events report.
    router.on_events("e2", "i1", [], 5_000.0)
    router.on_level_views([LevelView(chain[-1], 0.1, ("e2",))], 5_000.0)
    assert chosen(router, query(), now_ms=5_001.0).n_hit_tokens == 0


def test_engine_with_cached_prefix_is_chosen_in_a_large_fleet():
    router = CostRouter(context())
    engines = [engine(f"e{i}") for i in range(200)]
    salt = chosen(router, query(), engines).cache_salt
    store(router, "e77", salt, CONTRACT)
    picks = [chosen(router, query(), engines).upstream_id for _ in range(5)]
    assert picks == ["e77"] * 5


def test_request_waits_while_its_prefix_is_being_computed():
    router = CostRouter(context())
    first, second = query(request_id="r1"), query(b"!" * 64, request_id="r2")
    choice = chosen(router, first)
    assert not router.must_wait(first, choice, 0.0)
    router.on_sent(first, choice, 0.0)
    assert router.must_wait(second, chosen(router, second, now_ms=1.0), 1.0)
    router.on_first_token(first, choice, 50.0, 50.0)
    assert not router.must_wait(second, choice, 51.0)


def used_twice(router, now_ms=0.0):
    for number in range(2):
        asked = query(request_id=str(number))
        choice = chosen(router, asked, now_ms=now_ms)
        router.on_sent(asked, choice, now_ms)
        router.on_first_token(asked, choice, 10.0, now_ms)
    return choice


def test_reused_prefix_is_exported_once_and_imported_if_faster():
    router = CostRouter(context(terms={"homes": False}))
    first = used_twice(router)
    export = router.next_export(1.0)
    assert len(export.hashes) == len(CONTRACT) // 64
    assert router.next_export(1.0) is None
    router.on_exported(export, len(export.hashes), 5.0, 2.0)
    assert router.digest(3.0).kept == [export.levels[-1].block_hash]
    cold = [e for e in ENGINES if e.upstream_id != first.upstream_id]
    choice = chosen(router, query(), cold, now_ms=4.0)
    assert choice.import_hashes == export.hashes
    assert choice.n_hit_tokens == len(CONTRACT) // 4
    fast = [e._replace(prefill_tokens_per_s=1e7) for e in cold]
    assert chosen(router, query(), fast, now_ms=4.0).import_hashes == ()
    # The store has evicted it, so the next request doesn't import it again.
    router.on_imported(query(), choice, 0, 5.0, 5.0)
    assert chosen(router, query(), cold, now_ms=6.0).import_hashes == ()


def test_stored_prefix_of_another_member_is_not_imported():
    router = CostRouter(context())
    used_twice(router)
    export = router.next_export(1.0)
    router.on_exported(export, len(export.hashes), 5.0, 2.0)
    other = query(member="south")
    assert chosen(router, other, now_ms=4.0).import_hashes == ()


@pytest.mark.parametrize(
    ("now_ms", "n_hit_tokens", "is_doubtful"),
    [(1_000.0, 512, False), (3_000.0, 512, True), (6_000.0, 0, False)],
)
def test_entries_of_a_silent_engine_become_doubtful_and_then_dropped(
    now_ms, n_hit_tokens, is_doubtful
):
    router = CostRouter(context(terms={"homes": False}))
    store(router, "e2", chosen(router, query()).cache_salt, CONTRACT)
    choice = chosen(router, query(), now_ms=now_ms)
    assert choice.n_hit_tokens == n_hit_tokens
    assert (dict(choice.terms)["prefill"] > 10.0) == (is_doubtful or not n_hit_tokens)
