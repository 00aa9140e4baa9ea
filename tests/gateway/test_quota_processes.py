"""Quotas of client accounts between real processes, wired as on the platform."""

import asyncio
import contextlib
import os
import random
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import msgspec
import pytest

from benchmarks.settings_files import free_ports
from buckthornrock.platform.settings import PATH_VARIABLE
from buckthornrock.platform.upstream_entries import (
    CONFIGURATION_KEY,
    UPSTREAMS_PREFIX,
)
from tests.gateway.harness import (
    HOST,
    KEY,
    ScriptedUpstream,
    ask,
    request,
    response_bytes,
    run,
)
from tests.platform.store_server import StoreServer
from tests.platform.test_settings import VALID

ROOT = Path(__file__).parents[2]
N_INSTANCES = 3
BURST = 6
#: Ends a test that would hang.
WAIT_LIMIT_S = 15.0
QUOTA_FIELDS = "quotaWindowS = 8\nquotaOverage = 0.1\nquotaSlack = 190000\n"


class Machine:
    """A running instance at a loopback address of its own."""

    def __init__(self, folder, ip, ports, seeds, store_address):
        front, ready, peers, metrics = ports
        self.front, self.ready = f"{ip}:{front}", f"{ip}:{ready}"
        self._metrics = f"{ip}:{metrics}"
        text = VALID.replace("[bounds]\n", "[bounds]\n" + QUOTA_FIELDS)
        for old, new in (
            ('"edge-1"', f'"edge-{ip}"'),
            ('ip = "10.0.0.1"', f'ip = "{ip}"'),
            ("[9000, 9010]", f"[{peers}, {peers}]"),
            ('["10.0.0.2:9000"]', msgspec.json.encode(seeds).decode()),
            ('"10.0.0.1:80"', f'"{self.front}"'),
            ('"10.0.0.1:81"', f'"{self.ready}"'),
            ('"10.9.0.1:1"', f'"{store_address}"'),
        ):
            assert old in text
            text = text.replace(old, new)
        path = folder / f"{ip}.toml"
        path.write_text(text)
        with open(folder / f"{ip}.log", "w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "buckthornrock", "serve"]
                + ["--metrics-port", str(metrics)],
                cwd=ROOT,
                env={**os.environ, PATH_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )

    async def metric(self, name):
        """Return a metric, None while there is none or no process listens."""
        url = f"http://{self._metrics}/metrics"
        with contextlib.suppress(OSError):
            page = await asyncio.to_thread(_read, url)
            for line in page.splitlines():
                if line.startswith(f"buckthornrock_{name}{{"):
                    return float(line.rpartition(" ")[2])
        return None


def _read(url):
    with urllib.request.urlopen(url, timeout=5.0) as response:
        return response.read().decode()


def configuration(version, rate_per_s):
    return msgspec.json.encode(
        {
            "version": version,
            "routes": [
                {"name": "read", "host": HOST, "pathPrefix": "/read/",
                 "routeKind": "idempotent", "timeoutMs": 5_000, "service": "till"},
            ],
            "services": [{"name": "till", "maxConns": 100}],
            "tenants": [{"name": "shop", "apiKeys": [KEY], "ratePerS": rate_per_s,
                         "burst": BURST}],
        }
    )  # fmt: skip


async def all_have(machines, name, is_wanted):
    """Wait until a metric of all instances is as wanted."""
    ends_at_s = time.monotonic() + WAIT_LIMIT_S
    while True:
        values = [await machine.metric(name) for machine in machines]
        if None not in values and all(is_wanted(value) for value in values):
            return
        assert time.monotonic() < ends_at_s, (name, values)
        await asyncio.sleep(0.05)


@pytest.fixture
def store():
    server = StoreServer()
    yield server
    server.close()


@pytest.fixture
def machines(store, tmp_path):
    subnet = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
    ips = [f"{subnet}.{number + 2}" for number in range(N_INSTANCES)]
    ports = free_ports(4)
    seeds = [f"{ip}:{ports[2]}" for ip in ips]
    started = [Machine(tmp_path, ip, ports, seeds, store.address) for ip in ips]
    yield started
    for machine in started:
        machine.process.kill()
        machine.process.wait()


def test_account_has_one_bucket_at_all_instances(store, machines):
    """Guards against wiring that leaves each instance with a bucket of its own."""

    async def completed(received):
        await received.send(response_bytes(received.request_id, b"ok"))

    async def main():
        upstream = ScriptedUpstream(completed)
        await upstream.start()
        entry = {
            "service": "till", "addr": upstream.address, "zone": "a", "slots": 8,
            "state": "ready", "born": 1_700_000_000_000, "models": [], "sequence": 1,
        }  # fmt: skip
        store.write(UPSTREAMS_PREFIX + "i-1", msgspec.json.encode(entry))
        store.write(CONFIGURATION_KEY, configuration(1, 1e6))
        await all_have(machines, "quota_covered_share", lambda share: share == 1.0)
        await all_have(machines, "quota_level", lambda level: level == BURST)
        # The buckets are full, and earn nothing from here on.
        store.write(CONFIGURATION_KEY, configuration(2, 0.001))
        for machine in machines:
            while await machine.metric("quota_level") != BURST:
                await asyncio.sleep(0.05)
        await all_have(machines, "configuration_version", lambda version: version == 2)
        for number in range(BURST):
            reply = await ask(machines[0].front, request("/read/1", b"r%d" % number))
            assert reply.status == 200
        await all_have(machines, "quota_level", lambda level: level < 1.0)
        for machine in machines:
            reply = await ask(machine.front, request("/read/1", b"late"))
            assert reply.status == 429
        assert len(upstream.received) == BURST

    run(main)
