"""Digests between peers, and snapshots from peers while the store is unreachable."""

import asyncio
import contextlib
import os
import socket
import time

import msgspec
import pytest

from benchmarks.settings_files import free_ports
from buckthornrock.catalog.upstream_notices import Notice
from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.gateway import state_sync
from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.gateway.peer_settings import PeerSettings
from buckthornrock.gateway.peer_view import PEER_EXPIRY_MS, PeerView
from buckthornrock.gateway.peers import PeerExchange
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
from buckthornrock.wire.numeric_ids import part_number
from tests.gateway.harness import now_ms, run
from tests.platform.test_decoding import DOCUMENT

TELEMETRY = Telemetry(open_log(None), open_metrics("", 0, ""))
PART = part_number("salt", "part")
UPSTREAM = Upstream("u1", "s", "10.0.0.1:80", "a", False, 5, 8, {"m": 1})


def digest(instance_id="i2", incarnation=1, number=1, **changes):
    fields = {
        "address": "10.0.0.2:1", "failure_domain": "a", "scope": Scope.GROUP,
        "relay": "", "age_ms": 0, "configuration_version": 0, "revision": 0,
        "weights": {}, "works": [], "loading": [], "loaded": [], "cached_parts": [],
        "peers": [],
    }  # fmt: skip
    return Digest(
        instance_id, incarnation=incarnation, number=number, **fields | changes
    )


def fleet_state(version=0):
    state = FleetState("a", WeightsView(20_000.0), now_ms, TELEMETRY)
    if version:
        encoded = msgspec.json.encode({**DOCUMENT, "version": version})
        state.on_configuration(decode_configuration(encoded).ok, encoded, "test")
    return state


def view(instance_id="i1"):
    return PeerView(instance_id, "a")


def domains(own_view, at_ms):
    members = own_view.members(at_ms)
    return {name: member.failure_domain for name, member in members.items()}


@pytest.mark.parametrize(
    ("first", "second", "is_accepted"),
    [((1, 5), (1, 6), True), ((1, 5), (1, 5), False), ((1, 5), (1, 4), False),
     ((1, 5), (2, 1), True), ((2, 1), (1, 9), False)],
)  # fmt: skip
def test_only_newer_digests_are_accepted(first, second, is_accepted):
    own_view = view()
    assert own_view.accept(digest("i2", *first), 0.0)
    assert own_view.accept(digest("i2", *second), 1.0) == is_accepted


def test_digest_without_leaving_upstreams_is_one_byte_longer():
    plain = encode_digest(digest())
    older = msgspec.msgpack.encode(msgspec.msgpack.decode(plain)[:-1])
    assert len(plain) - len(older) == 1
    assert decode_digest(older).ok == digest()


def test_quiet_time_is_not_told_to_peers():
    state = fleet_state(version=1)
    state.upstreams.replace([UPSTREAM], 1)
    told = []
    state.set_observers(told.append, told.append, told.append, lambda: told.append(""))
    state.notices.on_notice(UPSTREAM, Notice(False, True, 1_000.0))
    assert not told
    state.notices.on_notice(UPSTREAM, Notice(is_leaving=True))
    assert told == [UPSTREAM.incarnation, ""]


def test_own_digest_is_rejected():
    assert not view("i1").accept(digest("i1"), 0.0)


def test_silent_and_stopping_instances_are_not_members():
    own_view = view()
    own_view.accept(digest("i2", failure_domain="b"), 0.0)
    own_view.accept(digest("i3"), 0.0)
    assert domains(own_view, 1.0) == {"i1": "a", "i2": "b", "i3": "a"}
    own_view.accept(digest("i3", number=2, is_stopping=True), 2.0)
    assert domains(own_view, 2.0) == {"i1": "a", "i2": "b"}
    assert [peer.instance_id for peer in own_view.next_peers(9, 2.0)] == ["i2"]
    assert domains(own_view, PEER_EXPIRY_MS + 3.0) == {"i1": "a"}


def test_restarted_instance_reported_by_a_peer_is_a_member():
    own_view, other_view = view(), view("i2")
    own_view.accept(digest("i3", 1, 5, is_stopping=True), 0.0)
    other_view.accept(digest("i3", 2, 1, address="10.0.0.9:1"), 1.0)
    own_view.accept(digest("i2", peers=other_view.next_peers(9, 2.0)), 2.0)
    assert "i3" in own_view.members(2.0)
    assert own_view.address("i3") == "10.0.0.9:1"


def test_instances_are_discovered_through_peers():
    own_view, other_view = view("i1"), view("i2")
    other_view.accept(digest("i3", address="10.0.0.3:1", failure_domain="c"), 0.0)
    own_view.accept(digest("i2", peers=other_view.next_peers(9, 50_000.0)), 50_000.0)
    assert own_view.address("i3") == "10.0.0.3:1"
    assert domains(own_view, 50_000.0)["i3"] == "c"
    assert "i3" not in own_view.members(PEER_EXPIRY_MS + 1.0), (
        "a peer's report must not renew the time an instance was last seen"
    )


def test_peers_are_listed_in_rotation():
    own_view = view()
    for number in range(2, 9):
        own_view.accept(digest(f"i{number}"), 0.0)
    listed = [
        peer.instance_id for _ in range(4) for peer in own_view.next_peers(2, 1.0)
    ]
    assert set(listed[:7]) == {f"i{number}" for number in range(2, 9)}


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b"\x91\x01", encode_digest(digest())[:-4]]
)
def test_undecodable_datagrams_are_rejected(data):
    assert decode_digest(data).is_error()


def test_updates_of_one_instance_reach_the_other():
    async def main():
        loop = asyncio.get_running_loop()
        instances = []
        addresses = [f"127.0.0.1:{port}" for port in free_ports(2)]
        for number, address in enumerate(addresses):
            state = fleet_state(version=1)
            state.upstreams.replace([UPSTREAM], 1)
            settings = PeerSettings(f"i{number}", "a", address, (addresses[0],), 1)
            peers = PeerExchange(settings, state, now_ms)
            host, _, port = address.rpartition(":")
            await loop.create_datagram_endpoint(
                lambda peers=peers: peers, local_addr=(host, int(port))
            )
            instances.append((state, peers, asyncio.create_task(peers.run())))
        (one, _, _), (two, peers_two, _) = instances
        one.loads.of(UPSTREAM.incarnation).own = Work(2, 120.0, 5_000)
        one.wanted_versions.on_wanted("m", 2, "test", age_ms=9_000.0)
        one.weights_loads.on_loading(UPSTREAM, "m", 2, 5_000.0)
        one.cached_parts.on_part_cached(UPSTREAM.incarnation, PART, 900, 0.0)
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
        one.weights_loads.on_loaded(UPSTREAM, "m", 2)
        while two.weights.loaded(UPSTREAM, "m") != 2:
            await asyncio.sleep(0.01)
        assert load.loading_until_ms == 0.0
        one.notices.on_notice(UPSTREAM, Notice(is_leaving=True))
        while two.directory.usable("s"):
            await asyncio.sleep(0.01)
        assert peers_two.n_instances() == 2

    run(main)


@pytest.mark.parametrize(
    ("mine", "theirs", "expected"), [(0, 7, 7), (3, 7, 7), (9, 7, 9)]
)
def test_only_a_newer_configuration_is_taken_from_a_peer(mine, theirs, expected):
    async def main():
        ahead, behind = fleet_state(version=theirs), fleet_state(version=mine)
        ahead.upstreams.replace([UPSTREAM], 40)
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = StateSync(address, ahead, decode_configuration, TELEMETRY, now_ms)
        task = asyncio.create_task(server.run())
        client = StateSync("", behind, decode_configuration, TELEMETRY, now_ms)
        deadline_s = time.monotonic() + 10.0
        while not behind.is_complete and time.monotonic() < deadline_s:
            client.on_peer_versions(PeerVersions(address, theirs, 40))
            await asyncio.sleep(0.05)
        assert behind.configuration.version == expected
        assert behind.directory.get("u1") == UPSTREAM
        task.cancel()

    run(main)


def test_unchanged_configuration_is_not_fetched_with_each_upstream_change():
    """Without the store, every upstream change once fetched the whole configuration."""
    change_period_ms, duration_ms = 40.0, 2_000.0

    async def main():
        ahead, behind = fleet_state(version=7), fleet_state(version=7)
        ahead.upstreams.replace([UPSTREAM], 40)
        behind.upstreams.replace([], 1)
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = StateSync(address, ahead, decode_configuration, TELEMETRY, now_ms)
        client = StateSync("", behind, decode_configuration, TELEMETRY, now_ms)
        task = asyncio.create_task(server.run())
        began_at_ms, revision = now_ms(), 40
        while now_ms() - began_at_ms < duration_ms:
            revision += 1
            ahead.upstreams.change([UPSTREAM], [], revision)
            client.on_peer_versions(PeerVersions(address, 7, revision))
            await asyncio.sleep(change_period_ms / 1000.0)
        assert behind.directory.get("u1") == UPSTREAM
        assert revision - behind.upstreams.revision < 1_500.0 / change_period_ms
        n_bytes = server.n_bytes_sent
        assert server.n_snapshots_sent <= duration_ms / 500.0
        assert n_bytes < server.n_snapshots_sent * len(ahead.configuration.encoded)
        task.cancel()

    run(main)


@pytest.mark.parametrize("n_routes", [50, 1_000])
def test_snapshots_of_a_large_configuration_fit_a_narrow_link(n_routes):
    """A relay sends it to about ten followers within the limit for a change."""
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
    """This instance watches the store itself and learns them there."""

    async def main():
        behind = fleet_state(version=7)
        behind.is_watching_store = True
        behind.store_contact.on_call_answered()
        behind.upstreams.replace([], 1)
        client = StateSync("", behind, decode_configuration, TELEMETRY, now_ms)
        client.on_peer_versions(PeerVersions("127.0.0.1:1", 7, 40))
        assert client._request_task is None
        behind.upstreams.on_store_failed("gone")
        client.on_peer_versions(PeerVersions("127.0.0.1:1", 7, 40))
        assert client._request_task is not None

    run(main)


def _hold_port(sockets):
    """Return a port that ``sockets`` keep: UDP for good, TCP open to a second bind."""
    while True:
        tcp = sockets.enter_context(socket.socket())
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        tcp.bind(("127.0.0.1", 0))
        port = tcp.getsockname()[1]
        udp = sockets.enter_context(socket.socket(type=socket.SOCK_DGRAM))
        with contextlib.suppress(OSError):
            udp.bind(("127.0.0.1", port))
            return port


def test_free_ports_are_free_for_udp_too(monkeypatch):
    """Once another program held the UDP port that a digest socket was to use."""
    with contextlib.ExitStack() as sockets:
        taken = _hold_port(sockets)
        bind, offers = socket.socket.bind, [taken, 0, 0]

        def offer(self, address):
            is_tcp_probe = self.type == socket.SOCK_STREAM and address[1] == 0
            if is_tcp_probe:
                self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            port = offers.pop(0) if is_tcp_probe else address[1]
            bind(self, (address[0], port))

        monkeypatch.setattr(socket.socket, "bind", offer)
        ports = free_ports(2)
    assert taken not in ports
    assert len(set(ports)) == 2
    assert not offers


def logged_telemetry():
    """Return telemetry that keeps its events, and their names with fields."""
    logged = []
    telemetry = TELEMETRY._replace(
        log=lambda event, **fields: logged.append((event.name, fields))
    )
    return telemetry, logged


OVERSIZE = [
    # Limit as a share of the whole snapshot -> whether it is logged, upstreams arrive.
    (1.0, False, True),
    (0.95, True, True),
    (0.6, True, False),
]


@pytest.mark.parametrize(("share", "is_logged", "has_upstreams"), OVERSIZE)
def test_peer_gets_the_parts_that_fit_of_a_snapshot_over_the_limit(
    monkeypatch, share, is_logged, has_upstreams
):
    """It was cut off at the receiver and logged as a peer that does not respond."""
    telemetry, logged = logged_telemetry()
    ahead, behind = fleet_state(version=7), fleet_state()
    names = [os.urandom(20).hex() for _ in range(60)]
    upstreams = [UPSTREAM._replace(upstream_id=name) for name in names]
    ahead.upstreams.replace(upstreams, 40)
    n_bytes = len(encode_snapshot(ahead, SnapshotRequest(0, 0)))
    monkeypatch.setattr(state_sync, "MAX_SNAPSHOT_BYTES", int(share * n_bytes))
    server = StateSync("", ahead, decode_configuration, telemetry, now_ms)
    client = StateSync("", behind, decode_configuration, telemetry, now_ms)
    for _ in range(2):
        snapshot = server._respond(msgspec.msgpack.encode(client.begin_request()))
        assert len(snapshot) <= int(share * n_bytes)
        client.apply(snapshot, "peer")
    assert behind.configuration.version == 7
    assert (behind.upstreams.revision == 40) == has_upstreams
    assert {name for name, _ in logged} == (
        {"gateway.snapshot_too_large"} if is_logged else set()
    )


def test_snapshot_over_the_decompressed_limit_is_logged_as_undecodable(monkeypatch):
    monkeypatch.setattr(state_sync, "MAX_DECOMPRESSED_BYTES", 200)
    telemetry, logged = logged_telemetry()
    ahead = fleet_state(version=7)
    behind = FleetState("a", WeightsView(20_000.0), now_ms, telemetry)
    client = StateSync("", behind, decode_configuration, telemetry, now_ms)
    client.apply(encode_snapshot(ahead, SnapshotRequest(0, 0)), "peer")
    assert behind.configuration.version == 0
    ((name, fields),) = logged
    assert (name, fields["what"]) == ("gateway.undecodable", "copy")


def test_snapshot_tells_earlier_versions_of_weights():
    """A peer that has just started learns the newest version from the store alone."""
    one, two = fleet_state(version=1), fleet_state(version=1)
    one.wanted_versions.on_wanted("m", 2, "store", age_ms=9_000.0)
    one.wanted_versions.on_wanted("m", 3, "store", age_ms=1_000.0)
    two.wanted_versions.on_wanted("m", 3, "store")
    sync = StateSync("", two, decode_configuration, TELEMETRY, now_ms)
    sync.apply(encode_snapshot(one, SnapshotRequest(1, 0)), "i1")
    assert two.weights.lag_ms(UPSTREAM, "m", now_ms()) >= 9_000.0
