"""What instances tell each other, and take from each other while the store is away."""

import asyncio
import socket
import time

import msgspec
import pytest

from benchmarks.settings_files import free_ports
from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.gateway.peer_view import PEER_EXPIRY_MS, PeerView
from buckthornrock.gateway.peers import PeerExchange, PeerSettings
from buckthornrock.gateway.state_sync import (
    PeerVersions,
    SnapshotRequest,
    StateSync,
    encode_snapshot,
)
from buckthornrock.platform.configuration import decode_configuration
from buckthornrock.scheduling.loads import Work
from buckthornrock.scheduling.weights import WeightsView
from buckthornrock.telemetry import Telemetry, open_log, open_metrics
from buckthornrock.wire.digests import Digest, Scope, decode_digest, encode_digest
from buckthornrock.wire.numbers import part_number
from tests.gateway.harness import now_ms, run
from tests.platform.test_decoding import DOCUMENT

TELEMETRY = Telemetry(open_log(None), open_metrics("", 0, ""))
PART = part_number("salt", "part")
UPSTREAM = Upstream("u1", "s", "10.0.0.1:80", "a", False, 5, 8, {"m": 1})


def digest(instance_id="i2", incarnation=1, number=1, **changes):
    fields = {
        "address": "10.0.0.2:1", "failure_domain": "a", "scope": Scope.GROUP,
        "relay": "", "age_ms": 0, "configuration_version": 0, "revision": 0,
        "weights": {}, "works": [], "loading": [], "loaded": [], "readings": [],
        "peers": [],
    }  # fmt: skip
    return Digest(
        instance_id, incarnation=incarnation, number=number, **fields | changes
    )


def fleet_state(version=0):
    known = FleetState("a", WeightsView(20_000.0), now_ms, TELEMETRY)
    if version:
        encoded = msgspec.json.encode({**DOCUMENT, "version": version})
        known.on_configuration(decode_configuration(encoded).ok, encoded, "test")
    return known


def view(instance_id="i1"):
    return PeerView(instance_id, "a")


def domains(known, at_ms):
    members = known.members(at_ms)
    return {name: member.failure_domain for name, member in members.items()}


@pytest.mark.parametrize(
    ("first", "second", "is_accepted"),
    [((1, 5), (1, 6), True), ((1, 5), (1, 5), False), ((1, 5), (1, 4), False),
     ((1, 5), (2, 1), True), ((2, 1), (1, 9), False)],
)  # fmt: skip
def test_only_newer_digests_count(first, second, is_accepted):
    known = view()
    assert known.accept(digest("i2", *first), 0.0)
    assert known.accept(digest("i2", *second), 1.0) == is_accepted


def test_own_digest_is_no_peers():
    assert not view("i1").accept(digest("i1"), 0.0)


def test_silent_and_stopping_instances_are_no_members():
    known = view()
    known.accept(digest("i2", failure_domain="b"), 0.0)
    known.accept(digest("i3"), 0.0)
    assert domains(known, 1.0) == {"i1": "a", "i2": "b", "i3": "a"}
    known.accept(digest("i3", number=2, is_stopping=True), 2.0)
    assert domains(known, 2.0) == {"i1": "a", "i2": "b"}
    assert [peer.instance_id for peer in known.next_peers(9, 2.0)] == ["i2"]
    assert domains(known, PEER_EXPIRY_MS + 3.0) == {"i1": "a"}


def test_instance_that_starts_again_is_a_member_whoever_tells():
    known, other = view(), view("i2")
    known.accept(digest("i3", 1, 5, is_stopping=True), 0.0)
    other.accept(digest("i3", 2, 1, address="10.0.0.9:1"), 1.0)
    known.accept(digest("i2", peers=other.next_peers(9, 2.0)), 2.0)
    assert "i3" in known.members(2.0)
    assert known.address("i3") == "10.0.0.9:1"


def test_instances_are_learnt_from_others():
    known, other = view("i1"), view("i2")
    other.accept(digest("i3", address="10.0.0.3:1", failure_domain="c"), 0.0)
    known.accept(digest("i2", peers=other.next_peers(9, 50_000.0)), 50_000.0)
    assert known.address("i3") == "10.0.0.3:1"
    assert domains(known, 50_000.0)["i3"] == "c"
    assert "i3" not in known.members(PEER_EXPIRY_MS + 1.0), (
        "hearsay makes nobody younger"
    )


def test_names_are_told_in_turn():
    known = view()
    for number in range(2, 9):
        known.accept(digest(f"i{number}"), 0.0)
    reported = [peer.instance_id for _ in range(4) for peer in known.next_peers(2, 1.0)]
    assert set(reported[:7]) == {f"i{number}" for number in range(2, 9)}


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b"\x91\x01", encode_digest(digest())[:-4]]
)
def test_unreadable_datagrams_are_refused(data):
    assert decode_digest(data).is_error()


def test_news_of_one_instance_reach_the_other():
    async def main():
        loop = asyncio.get_running_loop()
        sides = []
        addresses = [f"127.0.0.1:{port}" for port in free_ports(2)]
        for number, address in enumerate(addresses):
            known = fleet_state(version=1)
            known.replace_upstreams([UPSTREAM], 1)
            settings = PeerSettings(f"i{number}", "a", address, (addresses[0],), 1)
            peers = PeerExchange(settings, known, now_ms, TELEMETRY)
            host, _, port = address.rpartition(":")
            await loop.create_datagram_endpoint(
                lambda peers=peers: peers, local_addr=(host, int(port))
            )
            sides.append((known, peers, asyncio.create_task(peers.run())))
        (one, _, _), (two, peers_two, _) = sides
        one.loads.of(UPSTREAM.incarnation).own = Work(2, 120.0, 5_000)
        one.on_weights("m", 2, "test", age_ms=9_000.0)
        one.on_loading(UPSTREAM, "m", 2, 5_000.0)
        one.on_part_cached(UPSTREAM.incarnation, PART, 900, 0.0)
        load = two.loads.of(UPSTREAM.incarnation)
        while not (
            two.loads.total(UPSTREAM.incarnation, now_ms()).n_requests == 2
            and load.loading_until_ms > now_ms()
            and load.parts.holds(PART)
        ):
            await asyncio.sleep(0.01)
        wanted = two.weights.wanted("m")
        assert wanted.version == 2
        assert now_ms() - wanted.known_at_ms >= 9_000.0
        one.on_loaded(UPSTREAM, "m", 2)
        while two.weights.loaded(UPSTREAM, "m") != 2:
            await asyncio.sleep(0.01)
        assert load.loading_until_ms == 0.0
        assert peers_two.n_instances() == 2

    run(main)


@pytest.mark.parametrize(
    ("mine", "theirs", "expected"), [(0, 7, 7), (3, 7, 7), (9, 7, 9)]
)
def test_newer_configuration_is_taken_from_a_peer(mine, theirs, expected):
    async def main():
        ahead, behind = fleet_state(version=theirs), fleet_state(version=mine)
        ahead.replace_upstreams([UPSTREAM], 40)
        address = f"127.0.0.1:{free_ports(1)[0]}"
        serving = StateSync(address, ahead, decode_configuration, TELEMETRY, now_ms)
        task = asyncio.create_task(serving.run())
        asking = StateSync("", behind, decode_configuration, TELEMETRY, now_ms)
        give_up_at_s = time.monotonic() + 10.0
        while not behind.is_complete and time.monotonic() < give_up_at_s:
            asking.on_peer_versions(PeerVersions(address, theirs, 40))
            await asyncio.sleep(0.05)
        assert behind.configuration_version == expected
        assert behind.directory.get("u1") == UPSTREAM
        task.cancel()

    run(main)


def test_instance_cut_off_from_the_store_fetches_the_same_again_and_again():
    """Each change of an upstream had it fetch the whole configuration from its peer."""
    change_period_ms, duration_ms = 40.0, 2_000.0

    async def main():
        ahead, behind = fleet_state(version=7), fleet_state(version=7)
        ahead.replace_upstreams([UPSTREAM], 40)
        behind.replace_upstreams([], 1)
        behind.on_store_lost("p/", "gone")
        address = f"127.0.0.1:{free_ports(1)[0]}"
        serving = StateSync(address, ahead, decode_configuration, TELEMETRY, now_ms)
        asking = StateSync("", behind, decode_configuration, TELEMETRY, now_ms)
        task = asyncio.create_task(serving.run())
        began_at_ms, revision = now_ms(), 40
        while now_ms() - began_at_ms < duration_ms:
            revision += 1
            ahead.change_upstreams([UPSTREAM], [], revision)
            asking.on_peer_versions(PeerVersions(address, 7, revision))
            await asyncio.sleep(change_period_ms / 1000.0)
        assert behind.directory.get("u1") == UPSTREAM
        assert revision - behind.revision < 1_500.0 / change_period_ms
        n_bytes = serving.n_bytes_sent
        assert serving.n_snapshots_sent <= duration_ms / 500.0
        assert n_bytes < serving.n_snapshots_sent * len(ahead.encoded_configuration)
        task.cancel()

    run(main)


@pytest.mark.parametrize("n_routes", [50, 1_000])
def test_copies_of_a_large_configuration_fill_no_narrow_link(n_routes):
    """A relay passes it to some ten followers within the time for a change."""
    routes = [
        {**DOCUMENT["routes"][0], "name": f"r{n}", "pathPrefix": f"/r{n:x}/{n * n:x}/"}
        for n in range(n_routes)
    ]
    ahead = fleet_state()
    encoded = msgspec.json.encode({**DOCUMENT, "version": 9, "routes": routes})
    ahead.on_configuration(decode_configuration(encoded).ok, encoded, "test")
    snapshot = encode_snapshot(ahead, SnapshotRequest(8, 0))
    narrow_link_bytes_per_s = 625_000
    assert 10 * len(snapshot) < narrow_link_bytes_per_s


def test_upstreams_are_not_taken_from_peers_while_the_store_answers():
    async def main():
        behind = fleet_state(version=7)
        behind.replace_upstreams([], 1)
        asking = StateSync("", behind, decode_configuration, TELEMETRY, now_ms)
        asking.on_peer_versions(PeerVersions("127.0.0.1:1", 7, 40))
        assert asking._request_task is None
        behind.on_store_lost("p/", "gone")
        asking.on_peer_versions(PeerVersions("127.0.0.1:1", 7, 40))
        assert asking._request_task is not None

    run(main)


def test_ports_of_the_tests_are_free_for_datagrams_too(monkeypatch):
    """Seen once: the port of a digest's socket was another program's UDP port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        taken = other.getsockname()[1]
        bind, offers = socket.socket.bind, [taken, 0, 0]

        def offer(self, address):
            is_tcp_probe = self.type == socket.SOCK_STREAM and address[1] == 0
            port = offers.pop(0) if is_tcp_probe else address[1]
            bind(self, (address[0], port))

        monkeypatch.setattr(socket.socket, "bind", offer)
        ports = free_ports(2)
    assert taken not in ports
    assert len(set(ports)) == 2
