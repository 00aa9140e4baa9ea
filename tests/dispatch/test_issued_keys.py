"""Issued keys: calls forwarded to the issuer, repeated, and after the issuer ends."""

import time
from concurrent.futures import ThreadPoolExecutor

from tests.dispatch.service_harness import ServiceHarness
from tests.dispatch.switch_server import SwitchServer

PATH = "/services/orders/kilo"
WAIT_S = 15.0


def wait_for_peers(harness):
    deadline_at_s = time.monotonic() + WAIT_S
    for index in range(len(harness.instances)):
        while len(harness.operate(index, "GET", "/statusz").json()["live"]) < 2:
            assert time.monotonic() < deadline_at_s
            time.sleep(0.05)


def issue(harness, index):
    response = harness.call(index, "/v1/idempotency-keys")
    assert response.status == 201
    return response.json()["key"]


def test_issued_key_runs_once_and_is_unknown_after_its_issuer_stops():
    server = SwitchServer()
    harness = ServiceHarness([server.address], 2, is_wired=True)
    try:
        harness.apply_profile()
        harness.wait_for_profile()
        wait_for_peers(harness)
        keys = [issue(harness, 0) for _ in range(4)]
        harness.kv.fault = "down"

        forwarded = harness.call(1, PATH, b"one", Idempotency_Key=keys[0])
        repeated = harness.call(0, PATH, b"one", Idempotency_Key=keys[0])
        assert forwarded.data == repeated.data == b"run 1 of one"
        other = harness.call(1, PATH, b"other", Idempotency_Key=keys[0])
        assert other.json()["code"] == "key-reused"

        server.delay_s = 0.3
        with ThreadPoolExecutor(8) as pool:
            calls = [
                pool.submit(harness.call, n % 2, PATH, b"two", Idempotency_Key=keys[1])
                for n in range(8)
            ]
            assert {call.result().data for call in calls} == {b"run 1 of two"}
        server.delay_s = 0.0

        server.pause()
        unreached = harness.call(1, PATH, b"three", Idempotency_Key=keys[2])
        assert (unreached.status, unreached.json()["not_run"]) == (503, True)
        server.resume()
        again = harness.call(1, PATH, b"three", Idempotency_Key=keys[2])
        assert again.data == b"run 1 of three"

        harness.instances[0].stop()
        for key in (keys[0], keys[3]):
            gone = harness.call(
                1, PATH, b"one", X_Deadline_Ms="2000", Idempotency_Key=key
            )
            assert gone.json()["not_run"] == "unknown"
        assert server.runs == {b"one": 1, b"two": 1, b"three": 1}
    finally:
        harness.kv.fault = ""
        harness.instances[1].stop()
        harness.stop_platform()
        server.stop()
