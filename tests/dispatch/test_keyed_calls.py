"""Calls with idempotency keys over sockets: claims, retries and a store outage."""

import http.client
import os
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.dispatch.service_harness import ServiceHarness
from tests.dispatch.switch_server import SwitchServer
from tests.upstreams import raw_server
from tests.upstreams.raw_server import make_response

PATH = "/services/orders/kilo"


@pytest.fixture(scope="module")
def started_harness():
    server = SwitchServer()
    harness = ServiceHarness([server.address], 2)
    harness.apply_profile()
    harness.wait_for_profile()
    yield harness, server
    harness.stop()
    server.stop()


@pytest.fixture
def harness_and_server(started_harness):
    harness, server = started_harness
    harness.kv.fault = ""
    harness.wait_for_kv()
    server.reset()
    yield harness, server
    harness.kv.fault = ""


@pytest.fixture
def key():
    return os.urandom(8).hex()


def test_repeated_key_gets_the_recorded_response_at_any_instance(
    harness_and_server, key
):
    harness, server = harness_and_server
    first = harness.call(0, PATH, Idempotency_Key=key)
    again = harness.call(0, PATH, Idempotency_Key=key)
    elsewhere = harness.call(1, PATH, Idempotency_Key=key)
    assert [r.status for r in (first, again, elsewhere)] == [200, 200, 200]
    assert {r.data for r in (first, again, elsewhere)} == {b"run 1 of bale"}
    assert elsewhere.headers["Idempotency-Replayed"] == "true"
    assert server.runs == {b"bale": 1}


def test_key_is_scoped_to_member_and_call(harness_and_server, key):
    harness, server = harness_and_server
    assert harness.call(0, PATH, Idempotency_Key=key).status == 200
    other_body = harness.call(1, PATH, b"other", Idempotency_Key=key)
    assert (other_body.status, other_body.json()["code"]) == (422, "key-reused")
    other_path = harness.call(1, PATH + "/2", Idempotency_Key=key)
    assert other_path.json()["code"] == "key-reused"
    other_member = harness.call(1, PATH, caller="key-b", Idempotency_Key=key)
    assert other_member.data == b"run 2 of bale"


def test_concurrent_duplicates_run_once(harness_and_server, key):
    harness, server = harness_and_server
    server.delay_s = 0.2
    with ThreadPoolExecutor(16) as pool:
        calls = [
            pool.submit(harness.call, n % 2, PATH, Idempotency_Key=key)
            for n in range(16)
        ]
        responses = [call.result() for call in calls]
    assert {a.data for a in responses} == {b"run 1 of bale"}
    assert server.runs == {b"bale": 1}


@pytest.mark.parametrize(
    "script",
    [
        raw_server.close_at_once,
        raw_server.close_in_request,
        raw_server.close_after_request,
        raw_server.respond_with_wrong_id,
    ],
    ids=lambda s: s.__name__,
)
@pytest.mark.parametrize("is_keyed", [False, True])
def test_broken_call_is_unknown_and_never_repeated(
    harness_and_server, key, script, is_keyed
):
    harness, server = harness_and_server
    server.script = script
    headers = {"Idempotency_Key": key} if is_keyed else {}
    for index in (0, 1) if is_keyed else (0,):
        response = harness.call(index, PATH, **headers)
        assert response.json()["code"] == "outcome-unknown"
        assert response.json()["not_run"] == "unknown"
    assert server.n_connections == 1


def test_call_past_its_deadline_is_unknown_and_not_repeated(harness_and_server, key):
    harness, server = harness_and_server
    server.delay_s = 0.6
    late = harness.call(0, PATH, Idempotency_Key=key, X_Deadline_Ms="200")
    assert late.json()["not_run"] == "unknown"
    again = harness.call(1, PATH, Idempotency_Key=key)
    assert again.json()["code"] == "outcome-unknown"
    assert server.runs == {b"bale": 1}


def test_retry_at_another_instance_waits_for_the_first_call(harness_and_server, key):
    harness, server = harness_and_server
    server.delay_s = 0.5
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(harness.call, 0, PATH, Idempotency_Key=key)
        time.sleep(0.1)
        second = harness.call(1, PATH, Idempotency_Key=key)
    assert second.data == first.result().data == b"run 1 of bale"
    assert server.runs == {b"bale": 1}


def test_call_to_unreachable_server_is_not_run_and_releases_the_key():
    server = SwitchServer()
    harness = ServiceHarness([server.address], 1)
    try:
        harness.apply_profile()
        server.pause()
        refused = harness.call(0, PATH, Idempotency_Key="k")
        assert refused.json()["not_run"] is True
        server.resume()
        again = harness.call(0, PATH, Idempotency_Key="k")
        assert again.data == b"run 1 of bale"
    finally:
        harness.stop()
        server.stop()


def test_store_outage_refuses_callers_keys_and_serves_issued_keys(
    harness_and_server, key
):
    harness, server = harness_and_server
    harness.kv.fault = "down"
    foreign = harness.call(0, PATH, Idempotency_Key=key)
    assert (foreign.status, foreign.json()["not_run"]) == (503, "unknown")
    issued = harness.call(0, "/v1/idempotency-keys")
    assert issued.status == 201
    key = issued.json()["key"]
    responses = [harness.call(0, PATH, Idempotency_Key=key).data for _ in range(2)]
    assert responses == [b"run 1 of bale"] * 2
    for shortened in (key[:-1], key[:-2], key[:-3], "ik1."):
        forged = harness.call(0, PATH, Idempotency_Key=shortened)
        assert forged.json()["code"] == "key-not-genuine"
    stolen = harness.call(0, PATH, caller="key-b", Idempotency_Key=key)
    assert stolen.json()["code"] == "key-not-genuine"
    assert server.runs == {b"bale": 1}


def test_outcome_is_recorded_after_an_outage(harness_and_server, key):
    harness, server = harness_and_server
    server.delay_s = 0.3
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(harness.call, 0, PATH, Idempotency_Key=key)
        time.sleep(0.15)
        harness.kv.fault = "down"
        assert first.result().data == b"run 1 of bale"
    assert harness.call(0, PATH, Idempotency_Key=key).data == b"run 1 of bale"
    harness.kv.fault = ""
    assert harness.call(1, PATH, Idempotency_Key=key).data == b"run 1 of bale"
    assert server.runs == {b"bale": 1}


def test_large_response_is_forwarded_but_not_recorded(harness_and_server, key):
    body = b"z" * 400_000
    harness, server = harness_and_server
    server.full_response = make_response(body)
    assert harness.call(0, PATH, Idempotency_Key=key).data == body
    again = harness.call(1, PATH, Idempotency_Key=key)
    assert (again.status, again.json()["not_run"]) == (410, False)
    assert server.runs == {b"bale": 1}


def test_start_profile_refuses_calls_that_may_not_be_repeated():
    server = SwitchServer()
    harness = ServiceHarness([server.address])
    try:
        refused = harness.call(0, PATH)
        assert refused.json()["code"] == "profile-not-in-force"
        assert refused.json()["not_run"] is True
        assert harness.call(0, PATH, b"", method="GET").status == 200
        assert server.runs == {b"": 1}
    finally:
        harness.stop()
        server.stop()


BAD_TARGETS = [
    "/services/orders/../admin",
    "/services/orders/%2e%2e/admin",
    "/services/orders/a%0d%0aX:%20y",
    "/services/orders/a\\b",
]


@pytest.mark.parametrize("target", BAD_TARGETS)
def test_path_traversal_and_bad_characters_are_refused(harness_and_server, target):
    harness, server = harness_and_server
    connection = http.client.HTTPConnection(
        "127.0.0.1", harness.instances[0].entry.port, timeout=10
    )
    connection.putrequest("POST", target, skip_accept_encoding=True)
    connection.putheader("Authorization", "Bearer key-a")
    connection.putheader("Content-Length", "0")
    connection.endheaders()
    response = connection.getresponse()
    assert response.status in (400, 404)
    connection.close()
    assert server.runs == {}


def test_headers_and_path_are_forwarded_unchanged(harness_and_server, key):
    harness, server = harness_and_server
    response = harness.call(
        0,
        PATH + "%2Fa%20b?q=%41&q=2",
        Connection="X-Drop-Me, close",
        X_Drop_Me="1",
        X_Keep="a;b",
        Accept_Encoding="br",
    )
    assert response.status == 200
    head = server.requests[-1].partition(b"\r\n\r\n")[0].lower()
    assert head.startswith(b"post /kilo%2fa%20b?q=%41&q=2 http/1.1")
    assert b"x-keep: a;b" in head
    assert b"accept-encoding: br" in head
    assert b"x-drop-me" not in head
    assert b"key-a" not in head
