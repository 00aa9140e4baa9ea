"""An instance without a key-value service or peers still serves urgent work."""

import hashlib
import time

import msgspec
import pytest
import urllib3

from buckthornrock.compose.instance import start_instance
from buckthornrock.conf import parse_settings
from buckthornrock.standins.engine import (
    EngineParameters,
    EngineStandin,
    output_token,
    start_engine,
)

KEY = "caller"
WAIT_S = 10.0


@pytest.fixture(scope="module")
def entry_url():
    engine = start_engine(EngineStandin(EngineParameters()))
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    server = {"id": "e", "kind": "engine", "failure_domain": "fd", "models": ["small"]}
    document = {
        "instance_id": "alone",
        "failure_domain": "fd",
        "isolation_secret": "sixteen-bytes-or-more",
        "entry": {"port": 0, "n_threads": 8, "drain_grace_ms": 50},
        "operator": {"port": 0, "keys_sha256": ["0" * 64]},
        "platform": {"kv": {"url": "http://127.0.0.1:9"}},
        "upstreams": {"servers": [server | {"address": f"127.0.0.1:{engine.port}"}]},
        "caller_keys": [{"sha256": digest, "client_account": "a"}],
    }
    instance = start_instance(parse_settings(msgspec.json.encode(document)).ok)
    yield f"http://127.0.0.1:{instance.entry.port}"
    instance.stop()
    engine.stop()


def post(entry_url, path, **headers):
    body = {"model": "small", "prompt": "cold", "max_tokens": 3}
    head = {"Authorization": f"Bearer {KEY}", **headers}
    http = urllib3.PoolManager(retries=False)
    raw = msgspec.json.encode(body)
    return http.request("POST", entry_url + path, body=raw, headers=head)


def test_urgent_work_is_served(entry_url):
    deadline_at_s = time.monotonic() + WAIT_S
    response = post(entry_url, "/v1/completions")
    while response.status != 200 and time.monotonic() < deadline_at_s:
        response = post(entry_url, "/v1/completions")
    text = "".join(output_token("w1", "cold", index) for index in range(3))
    assert response.json()["choices"][0]["text"] == text


REFUSED = [
    ("/v1/completions", {"Prefer": "respond-async"}),
    ("/services/orders/kilo", {}),
]


@pytest.mark.parametrize(("path", "headers"), REFUSED)
def test_deferred_work_and_calls_that_may_not_be_repeated_are_refused(
    entry_url, path, headers
):
    response = post(entry_url, path, **headers)
    assert response.status >= 400
    assert response.json()["not_run"] is True
