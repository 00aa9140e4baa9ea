"""Settings files: every problem is reported at once, with its id and path."""

import msgspec
import pytest

from buckthornrock.conf import parse_settings

GOOD = {
    "instance_id": "a",
    "failure_domain": "fd",
    "isolation_secret": "sixteen-bytes-or-more",
    "entry": {"port": 0},
    "operator": {"port": 0, "keys_sha256": ["0" * 64]},
    "platform": {"kv": {"url": "http://127.0.0.1:1"}},
    "upstreams": {"servers": []},
    "caller_keys": [],
}
CALLER = {"client_account": "a", "member": "m", "sha256": "1" * 64}
ENGINE = {"id": "e", "kind": "engine", "address": "x", "failure_domain": "f"}

CASES = [
    ({"instance_id": 3}, {("SET-E003", "$.instance_id")}),
    ({"colour": 1}, {("SET-E001", "$.colour")}),
    ({"entry": {}}, {("SET-E002", "$.entry.port")}),
    ({"entry": {"port": 70000}}, {("SET-E010", "$.entry.port")}),
    (
        {
            "admission": {"urgent_headroom": 2.0, "window_tokens": 0},
            "deferred": {"kv_write_share": -1.0},
        },
        {
            ("SET-E030", "$.admission.urgent_headroom"),
            ("SET-E030", "$.deferred.kv_write_share"),
            ("SET-E011", "$.deferred.kv_write_share"),
            ("SET-E011", "$.admission.window_tokens"),
        },
    ),
    (
        {"orders": {"load_time_ms": 60_000}},
        {("SET-E040", "$.orders.load_time_ms")},
    ),
    (
        {
            "entry": {"port": 0, "max_connections": 1, "body_timeout_ms": 10},
            "operator": {
                "port": 0,
                "keys_sha256": ["0" * 64],
                "send_timeout_ms": 4_000_000,
            },
        },
        {
            ("SET-E031", "$.entry.max_connections"),
            ("SET-E031", "$.entry.body_timeout_ms"),
            ("SET-E031", "$.operator.send_timeout_ms"),
        },
    ),
    (
        {"entry": {"port": 0, "max_body_bytes": 100_000_000}},
        {("SET-E031", "$.entry.max_held_bytes")},
    ),
    ({"isolation_secret": "short"}, {("SET-E015", "$.isolation_secret")}),
    (
        {"caller_keys": [CALLER, CALLER | {"client_account": "b"}]},
        {("SET-E014", "$.caller_keys[1].sha256")},
    ),
    (
        {"caller_keys": [CALLER | {"sha256": "0" * 64}]},
        {("SET-E014", "$.operator.keys_sha256[0]")},
    ),
    (
        {"upstreams": {"servers": [ENGINE, ENGINE]}},
        {
            ("SET-E012", "$.upstreams.servers[0].address"),
            ("SET-E012", "$.upstreams.servers[1].address"),
            ("SET-E014", "$.upstreams.servers[1].id"),
            ("SET-E017", "$.upstreams.servers[0].models"),
            ("SET-E017", "$.upstreams.servers[1].models"),
        },
    ),
]


def test_good_settings_are_accepted():
    assert parse_settings(msgspec.json.encode(GOOD)).is_ok()


@pytest.mark.parametrize(("change", "expected"), CASES)
def test_every_problem_is_reported(change, expected):
    result = parse_settings(msgspec.json.encode(GOOD | change))
    assert {(problem.id, problem.path) for problem in result.error} == expected


def test_problem_does_not_show_secret():
    result = parse_settings(msgspec.json.encode(GOOD | {"isolation_secret": "hush"}))
    assert "hush" not in str(result.error)
