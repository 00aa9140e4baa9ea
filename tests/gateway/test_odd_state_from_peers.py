"""Odd entries that a peer forwards, and bytes that are no digest, do no harm."""

import asyncio
import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.gateway.peer_settings import PeerSettings
from buckthornrock.gateway.peers import PeerExchange
from buckthornrock.gateway.pool import ConnectionPool
from buckthornrock.gateway.state_sync import StateSnapshot, StateSync
from buckthornrock.platform.configuration import decode_configuration
from buckthornrock.platform.headers import open_header_codec
from buckthornrock.scheduling.weights import WeightsView
from buckthornrock.telemetry import Telemetry, open_metrics
from buckthornrock.wire.digests import (
    EntryChange,
    Peer,
    UpstreamEntry,
    decode_digest,
    encode_digest,
)
from tests.gateway.test_peers import UPSTREAM, digest

ODD_UPSTREAMS = {
    "port": UPSTREAM._replace(address="10.0.0.1:99999"),
    "host": UPSTREAM._replace(address="\x00:80"),
    "slots": UPSTREAM._replace(n_slots=2**63),
    "born": UPSTREAM._replace(started_ms=2**64 - 1),
    "version": UPSTREAM._replace(weights_versions={"m": 2**64 - 1}),
    "negative": UPSTREAM._replace(n_slots=-1),
}
DEEP = b"\x91" * 100_000
OTHER = UPSTREAM._replace(upstream_id="u2")


class Instance:
    """An instance's state and peer exchange on a transport that records."""

    def __init__(self):
        self.logged, self.sent = [], []
        self.now_ms = 100_000.0
        telemetry = Telemetry(self._log, open_metrics("", 0, ""))
        self.state = FleetState("a", WeightsView(20_000.0), self._now, telemetry)
        self.state.upstreams.replace([UPSTREAM], 5)
        settings = PeerSettings("i1", "a", "10.0.0.1:1", (), 1)
        self.peers = PeerExchange(settings, self.state, self._now)
        self.peers.connection_made(self)
        self.sync = StateSync(
            "10.0.0.1:1", self.state, decode_configuration, telemetry, self._now
        )

    def _now(self):
        return self.now_ms

    def _log(self, event, **fields):
        self.logged.append((event.name, fields))

    def sendto(self, data, address):
        self.sent.append((decode_digest(data).ok, address))

    def receive(self, data):
        self.peers.datagram_received(data, ("10.0.0.2", 1))
        self.now_ms += 20.0
        self.peers.send()

    def known(self):
        return {upstream.upstream_id for upstream in self.state.directory.all()}


@pytest.mark.parametrize("name", ODD_UPSTREAMS)
def test_odd_entry_in_a_digest_names_no_upstream(name):
    instance = Instance()
    changes = [
        EntryChange(6, "u1", UpstreamEntry(*ODD_UPSTREAMS[name])),
        EntryChange(7, "u2", UpstreamEntry(*OTHER)),
    ]
    instance.receive(
        encode_digest(digest(revision=7, base_revision=5, changes=changes))
    )
    assert instance.known() == {"u2"}
    assert instance.state.upstreams.revision == 7
    forwarded, _ = instance.sent[-1]
    assert [change.entry and change.upstream_id for change in forwarded.changes] == [
        None,
        "u2",
    ]
    assert [f["what"] for n, f in instance.logged if n == "gateway.undecodable"] == [
        "u1"
    ]


@pytest.mark.parametrize("name", ODD_UPSTREAMS)
def test_odd_entry_in_a_snapshot_names_no_upstream(name):
    instance = Instance()
    upstreams = [ODD_UPSTREAMS[name], OTHER]
    snapshot = StateSnapshot(b"", 9, upstreams, {}, 10)
    instance.sync.apply(zlib.compress(msgspec.msgpack.encode(snapshot)), "peer")
    assert instance.known() == {"u2"}


@pytest.mark.parametrize(
    "changes",
    [
        {"weights": {"m": (2, 2**64 - 1)}},
        {"weights": {"m": (2, -(2**63))}},
        {"peers": [Peer("i3", "10.0.0.3:99999", "a", 1, 0)]},
        {"peers": [Peer("i3", "nowhere", "a", 1, 0)]},
        {"peers": [Peer("i3", "10.0.0.3:1", "a", 1, -(2**63))]},
        {"address": "10.0.0.2:99999"},
        {"address": "\x00:1"},
    ],
    ids=str,
)
def test_odd_digest_does_not_stop_own_digests(changes):
    """An exception in ``send`` came again with each digest."""
    instance = Instance()
    instance.receive(encode_digest(digest("i2")))
    instance.receive(encode_digest(digest("i2", number=2, **changes)))
    n_sent = len(instance.sent)
    instance.receive(encode_digest(digest("i2", number=3)))
    assert len(instance.sent) > n_sent


@pytest.mark.parametrize("data", [DEEP, b"", b"\xdd\xff\xff\xff\xff", b"\xa2\xff\xff"])
def test_bytes_that_are_no_digest_are_logged(data):
    instance = Instance()
    for _ in range(3):
        instance.receive(data)
    names = [name for name, _ in instance.logged]
    assert names.count("gateway.undecodable") == 1


@pytest.mark.parametrize(
    "data", [DEEP, zlib.compress(DEEP), zlib.compress(b""), zlib.compress(b"\xdd")]
)
def test_bytes_that_are_no_snapshot_are_logged(data):
    instance = Instance()
    instance.sync.apply(data, "peer")
    instance.sync._respond(data)
    names = [name for name, _ in instance.logged]
    assert names.count("gateway.undecodable") == 2
    assert instance.known() == {"u1"}


@given(st.binary(max_size=200))
def test_any_datagram_is_decoded_or_refused(data):
    decoded = decode_digest(data)
    assert decoded.is_ok() != decoded.is_error()


ANY = st.recursive(
    st.integers(-(2**63), 2**64 - 1) | st.text(max_size=4) | st.booleans() | st.none(),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=6,
)


@given(st.lists(st.tuples(st.integers(0, 20), ANY), max_size=2))
def test_digest_of_nearly_right_shape_does_no_harm(changes):
    fields = msgspec.msgpack.decode(encode_digest(digest()))
    for index, value in changes:
        fields[index] = value
    instance = Instance()
    instance.receive(msgspec.msgpack.encode(fields))
    instance.receive(encode_digest(digest("i9")))
    assert instance.sent


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:99999",
        "\x00:80",
        "a..b:80",
        "a" * 70 + ".b:80",
        "x:",
        "1:" + "9" * 5000,
    ],
)
def test_connecting_to_an_odd_address_fails_typed(address):
    pool = ConnectionPool(open_header_codec(), lambda: 0.0)
    upstream = Upstream("u", "s", address, "a", False, 1, 8, {})
    acquired = asyncio.run(pool.acquire(upstream, 500.0))
    assert acquired.is_error()
    assert acquired.error.code == "not-reached"
