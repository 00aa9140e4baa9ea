"""Deferred jobs over sockets: outage of the key-value service, a lost instance.

Three instances, two engines and one key-value service run in this process.
"""

import hashlib
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec
import pytest
import urllib3

from buckthornrock.commands.demo_world import demo_profile
from buckthornrock.compose.instance import start_instance
from buckthornrock.conf import parse_settings
from buckthornrock.standins.engine import EngineStandin, output_token, start_engine
from buckthornrock.standins.engine_parameters import EngineParameters
from buckthornrock.standins.kv import KvStandin, start_kv

N_INSTANCES = 3
N_ENGINES = 2
N_NOTES = 30
N_OUTPUT = 4
WAIT_LIMIT_S = 60.0
CALLER_KEY = "night-caller-key"
OPERATOR_KEY = "night-operator-key"
HTTP = urllib3.PoolManager(retries=False, timeout=20.0)


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


class Night(NamedTuple):
    """Running instances, each of which uses its own port of the key-value service."""

    kv: KvStandin
    kv_servers: list
    instances: list
    stop: object

    def request(self, index, method, path, body=None, **headers):
        head = {name.replace("_", "-"): value for name, value in headers.items()}
        head["Authorization"] = f"Bearer {CALLER_KEY}"
        url = f"http://127.0.0.1:{self.instances[index].entry.port}{path}"
        raw = msgspec.json.encode(body) if body is not None else None
        return HTTP.request(method, url, body=raw, headers=head)

    def submit(self, index, prompt, prefer="respond-async", **headers):
        body = {"model": "small", "prompt": prompt, "max_tokens": N_OUTPUT}
        path = "/v1/completions"
        return self.request(
            index, "POST", path, body, Prefer=prefer, X_Work_Class="notes", **headers
        )

    def answer(self, index, location):
        """Return the answer's text, or None while the job is open."""
        response = self.request(index, "GET", location)
        if response.status != 200:
            return None
        view = response.json()
        assert view["state"] in ("waiting", "running", "done")
        if view["state"] != "done":
            return None
        return view["answer"]["choices"][0]["text"]


def settings(index, kv_port, engine_ports):
    servers = [
        {
            "id": f"engine-{i}",
            "kind": "engine",
            "address": f"127.0.0.1:{port}",
            "failure_domain": "fd",
            "models": ["small"],
        }
        for i, port in enumerate(engine_ports)
    ]
    kv = {"url": f"http://127.0.0.1:{kv_port}", "lease_ttl_s": 2}
    document = {
        "instance_id": f"i{index}",
        "failure_domain": "fd",
        "isolation_secret": "a secret of the whole fleet",
        "entry": {"port": 0, "n_threads": 32, "drain_grace_ms": 50},
        "orders": {"order_timeout_ms": 200, "load_time_ms": 500},
        "operator": {"port": 0, "keys_sha256": [digest(OPERATOR_KEY)]},
        "platform": {"kv": kv},
        "upstreams": {"servers": servers},
        "deferred": {"n_workers": 2, "scan_period_ms": 300},
        "caller_keys": [
            {"sha256": digest(CALLER_KEY), "client_account": "a", "member": "m"}
        ],
    }
    return parse_settings(msgspec.json.encode(document)).ok


def until(condition):
    give_up_at_s = time.monotonic() + WAIT_LIMIT_S
    while not (value := condition()):
        assert time.monotonic() < give_up_at_s, "waited too long"
        time.sleep(0.05)
    return value


def apply_profile(night):
    body = msgspec.json.encode({"expected_version": 0, "profile": demo_profile()})
    url = f"http://127.0.0.1:{night.instances[0].operator.port}/v1/profiles/default"
    head = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    assert HTTP.request("PUT", url, body=body, headers=head).status == 200
    for index in range(N_INSTANCES):
        until(lambda i=index: night.submit(i, f"first {i}").status == 202)


def start_night():
    parameters = EngineParameters(inter_token_ms=40.0)
    engines = [start_engine(EngineStandin(parameters)) for _ in range(N_ENGINES)]
    kv = KvStandin()
    kv_servers = [start_kv(kv) for _ in range(N_INSTANCES)]
    ports = [engine.port for engine in engines]
    instances = [
        start_instance(settings(index, server.port, ports))
        for index, server in enumerate(kv_servers)
    ]

    def stop():
        kv.fault = ""
        stop_all(instances)
        stop_all((*engines, *kv_servers))

    night = Night(kv, kv_servers, instances, stop)
    apply_profile(night)
    return night


def stop_all(running):
    with ThreadPoolExecutor(len(running)) as pool:
        list(pool.map(lambda one: one.stop(), running))


@pytest.fixture
def night():
    night = start_night()
    yield night
    night.stop()


@pytest.fixture(scope="module")
def shared_night():
    night = start_night()
    yield night
    night.stop()


def expected(prompt):
    return "".join(output_token("w1", prompt, index) for index in range(N_OUTPUT))


def test_all_notes_are_back_after_outage_and_lost_instance(night):
    jobs = {}
    for index in range(N_NOTES):
        prompt = f"Sorting note for tag {index}."
        accepted = night.submit(index % N_INSTANCES, prompt)
        assert accepted.status == 202, accepted.data
        jobs[accepted.headers["Location"]] = prompt
    # The last instance never reaches the key-value service again, so the fleet has
    # lost it.
    night.kv_servers[-1].stop()
    night.kv.fault = "down"
    refused = until(lambda: (r := night.submit(0, "in the outage")).status == 503 and r)
    assert refused.json()["not_run"] in (True, "unknown")
    time.sleep(3.0)
    night.kv.fault = ""
    for location, prompt in jobs.items():
        text = until(lambda at=location: night.answer(0, at))
        assert text == expected(prompt)
        assert night.answer(1, location) == text


def test_same_idempotency_key_at_another_instance_is_same_job(shared_night):
    night = shared_night
    first = night.submit(0, "one note", Idempotency_Key="k")
    again = night.submit(1, "one note", Idempotency_Key="k")
    other = night.submit(1, "another note", Idempotency_Key="k")
    assert first.headers["Location"] == again.headers["Location"]
    assert (other.status, other.json()["code"]) == (422, "key-reused")


def test_caller_can_wait_on_its_connection_for_the_end_of_an_outage(shared_night):
    night = shared_night
    night.kv.fault = "down"
    until(lambda: night.submit(0, "refused").status == 503)

    threading.Timer(1.5, lambda: setattr(night.kv, "fault", "")).start()
    accepted = night.submit(0, "patient", prefer="respond-async, wait=15")
    assert accepted.status == 202
    location = accepted.headers["Location"]
    assert until(lambda: night.answer(1, location)) == expected("patient")
