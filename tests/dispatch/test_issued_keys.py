"""Issued keys between instances: forwarded, repeated, and after the issuer is gone."""

import time
from concurrent.futures import ThreadPoolExecutor

from tests.dispatch.service_world import ServiceWorld
from tests.dispatch.switch_server import SwitchServer

PATH = "/services/orders/kilo"
WAIT_S = 15.0


def wait_for_peers(world):
    give_up_at_s = time.monotonic() + WAIT_S
    for index in range(len(world.instances)):
        while len(world.operate(index, "GET", "/statusz").json()["live"]) < 2:
            assert time.monotonic() < give_up_at_s
            time.sleep(0.05)


def issue(world, index):
    response = world.call(index, "/v1/idempotency-keys")
    assert response.status == 201
    return response.json()["key"]


def test_issuer_runs_each_key_once_and_takes_its_memory_along():
    server = SwitchServer()
    world = ServiceWorld([server.address], 2, is_wired=True)
    try:
        world.apply_profile()
        world.wait_for_profile()
        wait_for_peers(world)
        keys = [issue(world, 0) for _ in range(4)]
        world.kv.fault = "down"

        forwarded = world.call(1, PATH, b"one", Idempotency_Key=keys[0])
        repeated = world.call(0, PATH, b"one", Idempotency_Key=keys[0])
        assert forwarded.data == repeated.data == b"run 1 of one"
        other = world.call(1, PATH, b"other", Idempotency_Key=keys[0])
        assert other.json()["code"] == "key-reused"

        server.delay_s = 0.3
        with ThreadPoolExecutor(8) as pool:
            calls = [
                pool.submit(world.call, n % 2, PATH, b"two", Idempotency_Key=keys[1])
                for n in range(8)
            ]
            assert {call.result().data for call in calls} == {b"run 1 of two"}
        server.delay_s = 0.0

        server.pause()
        unreached = world.call(1, PATH, b"three", Idempotency_Key=keys[2])
        assert (unreached.status, unreached.json()["not_run"]) == (503, True)
        server.resume()
        again = world.call(1, PATH, b"three", Idempotency_Key=keys[2])
        assert again.data == b"run 1 of three"

        world.instances[0].stop()
        for key in (keys[0], keys[3]):
            gone = world.call(
                1, PATH, b"one", X_Deadline_Ms="2000", Idempotency_Key=key
            )
            assert gone.json()["not_run"] == "unknown"
        assert server.runs == {b"one": 1, b"two": 1, b"three": 1}
    finally:
        world.kv.fault = ""
        world.instances[1].stop()
        world.stop_platform()
        server.stop()
