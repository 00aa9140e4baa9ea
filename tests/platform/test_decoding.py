"""Values of the platform are decoded into the product's types, or rejected."""

import math

import msgspec
import pytest

from buckthornrock.admission.quota_limits import AccountLimit
from buckthornrock.catalog.configuration import RouteKind
from buckthornrock.catalog.upstream_notices import Notice
from buckthornrock.gateway.ports import UpstreamRequestFields
from buckthornrock.platform.configuration import decode_configuration
from buckthornrock.platform.headers import (
    decode_notice,
    decode_request,
    decode_response,
    encode_request,
    encode_response,
)
from buckthornrock.platform.settings import load_node_settings
from buckthornrock.platform.upstream_entries import decode_upstream, decode_weights
from tests.scheduling.world import engine

ENTRY = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "born": 1_700_000_000_000,
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "sequence": 4,
}
DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r1", "host": "h", "pathPrefix": "/a/", "routeKind": "streaming",
            "timeoutMs": 12000, "sloMs": 1500, "priority": 2, "attempts": 1,
            "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
            "sticky": True, "resumable": True, "gapSloMs": 400, "new": 1,
        },
        {"name": "r2", "host": "h", "pathPrefix": "/b/", "routeKind": "unheard",
         "timeoutMs": 800, "service": "t"},
    ],
    "services": [
        {"name": "s", "maxConns": 230,
         "engine": {"slots": 32, "kvCapacity": 9, "kvBytes": 8, "linkMbps": 1.5}},
        {"name": "t", "maxConns": 100},
        {"name": "k", "kvStoreAddr": "10.9.0.1:1", "zone": "b", "kvCapacity": 5},
    ],
    "limits": {"maxHeaderBytes": 1, "maxBodyBytes": 2, "headerTimeoutMs": 3,
               "idleTimeoutMs": 4},
    "tenants": [{"name": "one", "apiKeys": ["k1", "k2"], "priority": 0,
                 "isolated": True}, {"name": "two", "apiKeys": ["k3"]},
                {"name": "keyless", "isolated": True}],
}  # fmt: skip


def test_configuration_is_decoded():
    configuration = decode_configuration(msgspec.json.encode(DOCUMENT)).ok
    first, second = configuration.routes
    assert (first.kind, first.is_resumable) == (RouteKind.STREAM, True)
    assert [share.weight for share in first.shares] == [90, 10]
    # An unknown kind is treated as the one that is retried least.
    assert second.kind is RouteKind.NON_IDEMPOTENT
    assert (second.n_attempts, second.objective_ms) == (1, 800)
    assert set(configuration.services) == {"s", "t"}
    assert configuration.prompt_stores[0].capacity_tokens == 5
    assert {key: a.name for key, a in configuration.accounts.items()} == {
        "k1": "one",
        "k2": "one",
        "k3": "two",
    }
    # An account stays isolated while it has no key.
    assert configuration.isolated_accounts == {"one", "keyless"}
    assert configuration.limits.idle_timeout_ms == 4


@pytest.mark.parametrize(
    ("fields", "limit"),
    [
        ({}, None),
        ({"ratePerS": 0, "burst": 9}, None),
        ({"ratePerS": -1, "burst": 9}, None),
        ({"ratePerS": "9", "burst": 9}, None),
        ({"ratePerS": True}, None),
        ({"ratePerS": None, "burst": None, "unit": None}, None),
        ({"ratePerS": 2.5, "burst": 9}, AccountLimit(2.5, 9)),
        ({"ratePerS": 2, "unit": "calls"}, AccountLimit(2, 0)),
        ({"ratePerS": 2, "burst": [], "unit": 5}, AccountLimit(2, 0)),
        ({"ratePerS": 1e300, "burst": -2}, AccountLimit(1e9, 0)),
        ({"ratePerS": 5e4, "burst": 1e5, "unit": "token_meter", "plainTokens": 70},
         AccountLimit(5e4, 1e5, True, 70)),
        ({"ratePerS": 5e4, "burst": 1e5, "unit": "token_meter", "plainTokens": "x"},
         AccountLimit(5e4, 1e5, True, 0)),
    ],
)  # fmt: skip
def test_limit_of_an_account_is_decoded(fields, limit):
    """A value that is no number is no reason to keep an older configuration."""
    tenants = [{"name": "one", "apiKeys": ["k1"], **fields}]
    value = msgspec.json.encode({**DOCUMENT, "tenants": tenants})
    assert decode_configuration(value).ok.accounts["k1"].limit == limit


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b'{"version": "7"}'])
def test_malformed_configuration_is_rejected(value):
    assert decode_configuration(value).is_error()


def test_upstream_entry_is_decoded():
    upstream = decode_upstream("servers/i-1", msgspec.json.encode(ENTRY)).ok
    assert upstream.incarnation == ("i-1", 1_700_000_000_000)
    assert upstream.weights_versions == {"m": 3}
    assert not upstream.is_draining


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"addr": "nowhere"},
        {"addr": ":80"},
        {"addr": 5},
        {"zone": 1},
        {"slots": "8"},
        {"state": "odd"},
        {"born": None},
        {"born": 1.5},
        {"born": True},
        {"born": "1"},
        {"models": [{"name": "m"}]},
    ],
    ids=str,
)
def test_upstream_entry_with_an_invalid_field_is_rejected(change):
    value = msgspec.json.encode({**ENTRY, **change})
    assert decode_upstream("servers/i-1", value).is_error()


@pytest.mark.parametrize("field", ["service", "addr", "zone", "slots", "state", "born"])
def test_upstream_entry_without_a_required_field_is_rejected(field):
    entry = {key: value for key, value in ENTRY.items() if key != field}
    value = msgspec.json.encode(entry)
    assert decode_upstream("servers/i-1", value).is_error()


@pytest.mark.parametrize("value", [b"\xff\xfe", b"{", b"", b'"ready"'])
def test_malformed_entry_is_rejected(value):
    assert decode_upstream("servers/i-1", value).is_error()
    assert decode_weights("op/version/m", value).is_error()


PLAN = UpstreamRequestFields(engine(1), 1_234.5, "one", 2, 3, "salt", "", "", "")


@pytest.mark.parametrize(
    "name",
    [
        b"x-buckthornrock-tenant",
        b"X-Buckthornrock-Cache-Salt",
        b"x-buckthornrock-hold",
        b"x-buckthornrock-pin-ms",
        b"x-buckthornrock-kv-backup",
        b"x-buckthornrock-kv-source",
        b"x-buckthornrock-kv-target",
        b"x-buckthornrock-expect-instance",
        b"x-buckthornrock-expect-version",
        b"x-buckthornrock-priority-class",
        b"x-buckthornrock-deadline-ms",
        b"Kv-From",
        b"Authorization",
        b"Connection",
        b"Transfer-Encoding",
        b"Keep-Alive",
        b"Upgrade",
        b"Expect",
    ],
)
def test_reserved_headers_of_a_client_are_not_forwarded(name):
    sent = encode_request([(name, b"forged")], PLAN, 0)
    assert b"forged" not in [value for _, value in sent]


def test_other_headers_are_forwarded_unchanged():
    headers = [(b"host", b"h"), (b"x-other", b"1"), (b"x-other", b"2")]
    sent = encode_request(headers, PLAN, 0)
    assert [pair for pair in sent if pair in headers] == headers


def test_connection_header_removes_other_headers_but_not_the_platforms():
    headers = [
        (b"connection", b"X-Hop, X-Buckthornrock-Model, close"),
        (b"x-hop", b"1"),
        (b"x-buckthornrock-model", b"m"),
    ]
    names = [name for name, _ in encode_request(headers, PLAN, 0)]
    assert b"x-hop" not in names
    assert b"x-buckthornrock-model" in names


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, [(b"x-buckthornrock-server-stamp", b"s")], (True, False)),
        (503, [(b"x-buckthornrock-not-executed", b"1")], (False, True)),
        (503, [], (False, False)),
        (421, [], (False, True)),
    ],
)
def test_response_headers_say_whether_the_request_ran(status, headers, expected):
    fields = decode_response(status, headers)
    assert (fields.has_server_stamp, fields.is_not_executed) == expected


@pytest.mark.parametrize(
    ("text", "load"),
    [
        (b"3,0,8", (3, 0, 8, 100)),
        (b"3,0", None),
        (b"a,b,c", None),
        # Where servers tell how fast their machine works, all loads were ignored.
        (b"2,1,128,130", (2, 1, 128, 130)),
        (b"2, 1, 128, 70", (2, 1, 128, 70)),
        (b"2,1,128,130,9", (2, 1, 128, 130)),
        # Three figures stay valid, and an odd pace doesn't cost them.
        (b"2,1,128,", (2, 1, 128, 100)),
        (b"2,1,128,0", (2, 1, 128, 100)),
        (b"2,1,128,-5", (2, 1, 128, 100)),
        (b"2,1,128,1.5", (2, 1, 128, 100)),
        (b"2,1,128,x", (2, 1, 128, 100)),
        (b"2,1,128," + b"9" * 5_000, (2, 1, 128, 100)),
    ],
)
def test_load_of_an_upstream_is_decoded(text, load):
    assert decode_response(200, [(b"x-buckthornrock-instance-load", text)]).load == load


def test_response_keeps_the_headers_of_the_upstream():
    headers = [(b"connection", b"close"), (b"x-a", b"1"), (b"content-length", b"3")]
    assert encode_response(200, headers) == [(b"x-a", b"1")]


@pytest.mark.parametrize(
    ("status", "headers", "notice"),
    [
        (200, [(b"x-a", b"1")], Notice()),
        (200, [(b"Server-Leaving", b"1")], Notice(is_leaving=True)),
        (500, [(b"server-leaving", b" 1 ")], Notice(is_leaving=True)),
        (200, [(b"server-leaving", b"0")], Notice()),
        # Another upstream has the address; it says nothing of the one that was meant.
        (421, [(b"server-leaving", b"1")], Notice()),
        (503, [], Notice()),
        (503, [(b"retry-after", b"5")], Notice(False, True, 5_000.0)),
        (503, [(b"retry-after", b"0.25")], Notice(False, True, 250.0)),
        (503, [(b"retry-after", b"0")], Notice(False, False, 0.0)),
        (503, [(b"retry-after", b"1e400")], Notice(False, True, math.inf)),
        (503, [(b"retry-after", b"-3")], Notice(False, True, None)),
        (503, [(b"retry-after", b"soon")], Notice(False, True, None)),
        (503, [(b"retry-after", b"nan")], Notice(False, True, None)),
        (503, [(b"retry-after", b"")], Notice(False, True, None)),
        (
            503,
            [(b"retry-after", b"Sat, 05 Dec 2026 05:00:00 GMT")],
            Notice(False, True, None),
        ),
        (
            503,
            [(b"retry-after", b"2"), (b"server-leaving", b"1")],
            Notice(True, True, 2_000.0),
        ),
        (200, [(b"retry-after", b"5")], Notice()),
        (429, [(b"retry-after", b"5")], Notice()),
    ],
)
def test_notice_of_an_upstream_is_decoded(status, headers, notice):
    assert decode_notice(status, headers) == notice
    assert decode_response(status, headers).notice == notice


@pytest.mark.parametrize(
    ("status", "name", "is_kept"),
    [
        (200, b"Server-Leaving", False),
        (503, b"Server-Leaving", False),
        (503, b"Retry-After", False),
        (429, b"Retry-After", True),
        (200, b"Retry-After", True),
    ],
)
def test_notices_are_not_forwarded_where_they_mislead_clients(status, name, is_kept):
    assert bool(encode_response(status, [(name, b"1")])) == is_kept


@pytest.mark.parametrize(("text", "expected"), [(b"1500", 1500.0), (b"soon", None)])
def test_deadline_of_a_client_is_decoded(text, expected):
    fields = decode_request([(b"X-Buckthornrock-Deadline-Ms", text)])
    assert fields.deadline_ms == expected


@pytest.mark.parametrize("text", ["", "nodeName = 1", "= nonsense"])
def test_malformed_settings_are_rejected_with_a_reason(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    assert load_node_settings(str(path)).error.reason
    assert load_node_settings(str(path / "missing")).is_error()
