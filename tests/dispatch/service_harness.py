"""Starts instances, a key-value service and a profile for tests of service calls."""

import hashlib
import time

import msgspec
import urllib3

from benchmarks.settings_files import free_ports
from buckthornrock.commands.demo_world import demo_profile
from buckthornrock.compose.instance import start_instance
from buckthornrock.conf import parse_settings
from buckthornrock.standins.kv import KvStandin, start_kv

CALLERS = {"key-a": ("paddock", "shop"), "key-b": ("paddock", "shed")}
OPERATOR_KEY = "operator-key"
SECRET = "a-secret-of-enough-bytes"


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


class ServiceHarness:
    """Starts a key-value service and ``n_instances`` instances, and stops them.

    ``sections`` changes the settings of all instances; ``is_wired`` makes them peers.
    """

    def __init__(self, addresses, n_instances=1, is_wired=False, **sections):
        self.kv = KvStandin()
        self._kv_server = start_kv(self.kv)
        self.http = urllib3.PoolManager(retries=False, maxsize=64)
        self.addresses = addresses
        self.sections = sections
        self._wire_ports = free_ports(n_instances) if is_wired else []
        self.instances = [self.start(index) for index in range(n_instances)]

    def start(self, index, **changes):
        document = {
            "instance_id": f"i{index}",
            "failure_domain": "fd-0",
            "isolation_secret": SECRET,
            "entry": {
                "port": 0,
                "n_threads": 24,
                "drain_grace_ms": 50,
                "drain_limit_ms": 5_000,
            },
            "operator": {"port": 0, "keys_sha256": [digest(OPERATOR_KEY)]},
            "platform": {
                "kv": {
                    "url": f"http://127.0.0.1:{self._kv_server.port}",
                    "timeout_ms": 500,
                }
            },
            "upstreams": {
                "servers": [
                    {
                        "id": f"orders-{number}",
                        "kind": "service",
                        "address": address,
                        "failure_domain": "fd-0",
                        "service": "orders",
                    }
                    for number, address in enumerate(self.addresses)
                ]
            },
            "caller_keys": [
                {"sha256": digest(key), "client_account": account, "member": member}
                for key, (account, member) in CALLERS.items()
            ],
        }
        if self._wire_ports:
            document["wire"] = self._wire_section(index)
        for name, section in {**self.sections, **changes}.items():
            document[name] = {**document.get(name, {}), **section}
        return start_instance(parse_settings(msgspec.json.encode(document)).ok)

    def _wire_section(self, index):
        return {
            "port": self._wire_ports[index],
            "shared_secret": SECRET,
            "peers": [
                {"id": f"i{n}", "address": f"127.0.0.1:{port}"}
                for n, port in enumerate(self._wire_ports)
                if n != index
            ],
        }

    def apply_profile(self, version=0, **changes):
        profile = {**demo_profile(), **changes}
        body = {"expected_version": version, "profile": profile}
        answer = self.operate(0, "PUT", "/v1/profiles/default", body)
        assert answer.status == 200, answer.data

    def wait_for_profile(self, version=1):
        deadline_at_s = time.monotonic() + 10
        for index in range(len(self.instances)):
            while time.monotonic() < deadline_at_s:
                status = self.operate(index, "GET", "/statusz").json()
                if status["profiles"]["default"]["version"] >= version:
                    break
                time.sleep(0.02)

    def wait_for_kv(self):
        """Wait until all instances reach the key-value service again."""
        deadline_at_s = time.monotonic() + 10
        for index in range(len(self.instances)):
            while self.operate(index, "GET", "/statusz").json()["kv"] != "answering":
                assert time.monotonic() < deadline_at_s
                time.sleep(0.02)

    def operate(self, index, method, path, body=None):
        port = self.instances[index].operator.port
        return self.http.request(
            method,
            f"http://127.0.0.1:{port}{path}",
            body=msgspec.json.encode(body),
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        )

    def call(self, index, path, body=b"bale", method="POST", caller="key-a", **headers):
        """Send a call; ``_`` in names of headers becomes ``-``."""
        head = {name.replace("_", "-"): value for name, value in headers.items()}
        port = self.instances[index].entry.port
        return self.http.request(
            method,
            f"http://127.0.0.1:{port}{path}",
            body=body,
            headers={"Authorization": f"Bearer {caller}", **head},
            preload_content=True,
            decode_content=False,
        )

    def stop(self):
        for instance in self.instances:
            instance.stop()
        self.stop_platform()

    def stop_platform(self):
        self._kv_server.stop()
