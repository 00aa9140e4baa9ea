"""Odd entries that another writer leaves in the store are dropped, the others kept."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.gateway.isolation_recorder import RecordedAccounts
from buckthornrock.gateway.undecodable_log import MAX_LINES_PER_PERIOD
from buckthornrock.platform.configuration import decode_configuration
from buckthornrock.platform.engine_control import open_engine_control
from buckthornrock.platform.store_listeners import store_listener
from buckthornrock.platform.upstream_entries import decode_upstream, decode_weights
from buckthornrock.rollout.plan import Order
from buckthornrock.rollout.port import FencingToken
from buckthornrock.scheduling.weights import WeightsView
from buckthornrock.store.kv_port import KvEntry, Snapshot, WatchBatch
from buckthornrock.telemetry import Telemetry, open_metrics
from buckthornrock.wire.digests import EntryChange, UpstreamEntry, encode_digest
from tests.gateway.test_peers import digest
from tests.platform.test_decoding import DOCUMENT, ENTRY

N_DEEP = 100_000
HUGE = 10**400


def deep_json(entry: dict, opening: bytes = b"[", closing: bytes = b"]") -> bytes:
    """Return an object with one more field, which is nested very deeply."""
    nested = opening * N_DEEP + closing * N_DEEP
    return msgspec.json.encode(entry)[:-1] + b',"more":' + nested + b"}"


def with_number(entry: dict, field: str, digits: str) -> bytes:
    """Return an object with a number that the encoder would refuse."""
    encoded = msgspec.json.encode({**entry, field: "@"})
    return encoded.replace(b'"@"', digits.encode())


def addressed(address: str) -> bytes:
    return msgspec.json.encode({**ENTRY, "addr": address})


ODD_ENTRIES = {
    "deep-list": deep_json(ENTRY),
    "deep-object": deep_json(ENTRY, b'{"a":', b"}")[: 6 * N_DEEP],
    "unclosed": b"[" * N_DEEP,
    "port-0": addressed("10.0.0.1:0"),
    "port-65536": addressed("10.0.0.1:65536"),
    "port-99999": addressed("10.0.0.1:99999"),
    "port-of-5000-digits": addressed("10.0.0.1:" + "9" * 5_000),
    "port-superscript": addressed("10.0.0.1:8²"),
    "port-other-digits": addressed("10.0.0.1:٨٠"),
    "port-negative": addressed("10.0.0.1:-80"),
    "host-nul": addressed("\x00:80"),
    "host-empty-label": addressed("a..b:80"),
    "host-long": addressed("a" * 70 + ".b:80"),
    "host-wildcard": addressed("0.0.0.0:80"),
    "host-broadcast": addressed("255.255.255.255:80"),
    "host-multicast": addressed("224.0.0.1:80"),
    "host-path": addressed("10.0.0.1/../x:80"),
    "host-lines": addressed("10.0.0.1\r\nX: 1:80"),
    "slots-of-400-digits": with_number(ENTRY, "slots", str(HUGE)),
    "slots-negative": with_number(ENTRY, "slots", "-1"),
    "slots-of-19-digits": with_number(ENTRY, "slots", str(2**63 - 1)),
    "born-of-400-digits": with_number(ENTRY, "born", str(HUGE)),
    "born-2**64": with_number(ENTRY, "born", str(2**64)),
    "born-negative": with_number(ENTRY, "born", "-1"),
    "born-exponent": with_number(ENTRY, "born", "1e999"),
    "version-of-400-digits": with_number(
        {**ENTRY, "models": [{"name": "m", "version": 0}]}, "x", "1"
    ).replace(b'"version":0', b'"version":%d' % HUGE),
    "not-utf8": b'{"service":"\xff"}',
    "lone-surrogate": b'{"service":"\\ud800"}',
}
ODD_IDS = list(ODD_ENTRIES)


@pytest.mark.parametrize("name", ODD_IDS)
def test_odd_entry_names_no_upstream(name):
    assert decode_upstream("servers/i-1", ODD_ENTRIES[name]).is_error()


@pytest.mark.parametrize(
    "upstream_id", ["", "a b", "a\r\nX: 1", "\x00", "ä", "x" * 999]
)
def test_id_that_no_header_can_hold_names_no_upstream(upstream_id):
    value = msgspec.json.encode(ENTRY)
    assert decode_upstream(f"servers/{upstream_id}", value).is_error()


@pytest.mark.parametrize(
    "value",
    [
        deep_json({"model": "m", "version": 2}),
        with_number({"model": "m"}, "version", str(HUGE)),
        with_number({"model": "m"}, "version", str(2**64)),
        b"[" * N_DEEP,
    ],
    ids=["deep", "400-digits", "2**64", "unclosed"],
)
def test_odd_version_is_not_wanted(value):
    assert decode_weights("op/version/m", value).is_error()


def engine_number(field: str) -> bytes:
    document = msgspec.json.encode(DOCUMENT)
    found = DOCUMENT["services"][0]["engine"][field]
    return document.replace(f'"{field}":{found}'.encode(), f'"{field}":{HUGE}'.encode())


@pytest.mark.parametrize(
    "value",
    [
        deep_json(DOCUMENT),
        with_number(DOCUMENT, "version", str(HUGE)),
        with_number(DOCUMENT, "version", str(2**64)),
        engine_number("kvCapacity"),
        engine_number("slots"),
        b"[" * N_DEEP,
    ],
    ids=["deep", "version", "version-2**64", "kvCapacity", "slots", "unclosed"],
)
def test_odd_configuration_is_rejected(value):
    assert decode_configuration(value).is_error()


@pytest.mark.parametrize("address", ["10.9.0.1:0", "10.9.0.1:99999", "\x00:1", "k:1"])
def test_prompt_store_at_an_odd_address_is_left_out(address):
    stores = [
        {"name": "odd", "kvStoreAddr": address, "zone": "b", "kvCapacity": 5},
        *DOCUMENT["services"],
    ]
    value = msgspec.json.encode({**DOCUMENT, "services": stores})
    configuration = decode_configuration(value).ok
    assert [store.name for store in configuration.prompt_stores] == ["k"]
    assert set(configuration.services) == {"s", "t"}


@pytest.mark.parametrize(
    ("link", "link_mbps"),
    [("120000", 120_000.0), ("1.5", 1.5), ("1e9", 1e9), ("0", 0.0), ("-1", 0.0),
     ("null", 0.0), ("true", 0.0), ('"9"', 0.0), ("[1]", 0.0), ("1e10", 0.0),
     ("1e999", 0.0), ("9" * 400, 0.0), ("9" * 5_000, 0.0)],
    ids=lambda value: str(value)[:9],
)  # fmt: skip
def test_odd_link_of_a_prompt_store_counts_as_absent(link, link_mbps):
    """Guards against a configuration that one odd figure of a cache rejects."""
    store = {"name": "odd", "kvStoreAddr": "10.9.0.2:1", "zone": "b", "kvCapacity": 5}
    store["linkMbps"] = 77_777
    services = [store, *DOCUMENT["services"]]
    encoded = msgspec.json.encode({**DOCUMENT, "services": services})
    decoded = decode_configuration(encoded.replace(b"77777", link.encode()))
    rates = [store.link_mbps for store in decoded.ok.prompt_stores]
    assert rates == [link_mbps, 0.0]


class Listening:
    """A store listener on a loop that runs its callbacks when it is told to."""

    def __init__(self):
        self.logged = []
        telemetry = Telemetry(self._log, open_metrics("", 0, ""))
        self.state = FleetState("a", WeightsView(20_000.0), lambda: 5_000.0, telemetry)
        self.listener = store_listener(
            self.state, self, lambda: 0, RecordedAccounts(lambda names: None)
        )

    def _log(self, event, **fields):
        self.logged.append((event.name, fields))

    def call_soon_threadsafe(self, call, *arguments):
        call(*arguments)

    def known(self):
        return {upstream.upstream_id for upstream in self.state.directory.all()}

    def undecodable(self):
        return [f["what"] for name, f in self.logged if name == "gateway.undecodable"]


def entries(**values):
    good = msgspec.json.encode(ENTRY)
    return tuple(
        KvEntry(f"servers/{name}", good if value is None else value, 1, 0, b"")
        for name, value in values.items()
    )


@pytest.mark.parametrize("name", ODD_IDS)
def test_other_entries_of_a_listing_hold(name):
    world = Listening()
    listing = entries(a=None, odd=ODD_ENTRIES[name], b=None)
    world.listener.on_snapshot(Snapshot(5, listing))
    assert world.known() == {"a", "b"}
    assert world.state.upstreams.revision == 5
    # The next listing has the same odd entry.
    world.listener.on_snapshot(Snapshot(6, listing))
    assert world.undecodable() == ["servers/odd"]


@pytest.mark.parametrize("name", ODD_IDS)
def test_upstream_is_gone_once_an_odd_entry_overwrites_its_own(name):
    world = Listening()
    world.listener.on_snapshot(Snapshot(5, entries(a=None, b=None)))
    odd = entries(a=ODD_ENTRIES[name])
    world.listener.on_change(WatchBatch(6, odd, ()))
    assert world.known() == {"b"}
    world.listener.on_change(WatchBatch(7, entries(a=None), ()))
    assert world.known() == {"a", "b"}
    # What it tells its peers can be encoded.
    window = world.state.upstreams.recent_changes(60_000.0, 20)
    listed = [
        EntryChange(
            c.revision, c.upstream_id, c.upstream and UpstreamEntry(*c.upstream)
        )
        for c in window.changes
    ]
    encode_digest(digest(changes=listed, base_revision=window.base_revision))


def test_log_lines_about_odd_entries_are_bounded():
    world = Listening()
    many = entries(**{f"odd{number}": b"{" for number in range(500)})
    for revision in range(5, 9):
        world.listener.on_snapshot(Snapshot(revision, many))
    assert len(world.undecodable()) == MAX_LINES_PER_PERIOD
    long = entries(**{"x" * 9_999: b"{"})
    world = Listening()
    world.listener.on_snapshot(Snapshot(5, long))
    assert len(str(world.logged)) < 1_000


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.sampled_from(["10.0.0.1:80", "ready", "m", "a:99999", "\x00:1"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=8,
)


def near(document: dict) -> st.SearchStrategy[bytes]:
    """Return encodings of ``document`` with some fields replaced by any value."""
    changes = st.dictionaries(st.sampled_from(sorted(document)), JSON, max_size=3)
    return changes.map(lambda changed: _encode({**document, **changed}))


def _encode(document: dict) -> bytes:
    """Return JSON with whole numbers of any size."""
    return json.dumps(document).encode()


DECODERS = [
    lambda value: decode_upstream("servers/i-1", value),
    lambda value: decode_weights("op/version/m", value),
    decode_configuration,
]


@given(
    st.binary(max_size=64)
    | near(ENTRY)
    | near(DOCUMENT)
    | near({"model": "m", "version": 3})
)
def test_decoders_return_a_result_for_any_bytes(value):
    for decode in DECODERS:
        result = decode(value)
        assert result.is_ok() != result.is_error()
    upstream = DECODERS[0](value)
    if upstream.is_ok():
        change = EntryChange(1, "i-1", UpstreamEntry(*upstream.ok))
        encode_digest(digest(changes=[change]))


ODD_ADDRESSES = [
    "10.0.0.1:99999",
    "\x00:80",
    "a..b:80",
    "a" * 70 + ".b:80",
    "x:",
    "x:y",
]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
@pytest.mark.parametrize("upstream_id", ["i-1", "a\r\nX: 1"])
def test_engine_at_an_odd_address_gives_no_report(address, upstream_id):
    engine = Upstream(upstream_id, "s", address, "a", False, 1, 8, {"m": 1})
    control = open_engine_control()
    assert control.report(engine).is_error()
    order = Order(engine, "m", 2)
    assert control.order(order, FencingToken("i1", 1, 0)).is_error()
