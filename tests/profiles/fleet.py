"""Instances without client ports, around one stand-in for the key-value service."""

import time

import msgspec

from benchmarks.settings_files import free_ports
from buckthornrock.commands.demo_world import demo_profile
from buckthornrock.compose.core import build_core
from buckthornrock.compose.membership import build_membership
from buckthornrock.compose.profiles import build_profiles
from buckthornrock.conf import parse_settings
from buckthornrock.standins.kv import KvStandin, start_kv

SECRET = "a-secret-of-enough-bytes"
#: Specified time limit until a change is in force everywhere, under faults.
IN_FORCE_LIMIT_S = 6.0


def profile(floor=0.1):
    return {**demo_profile(), "deferrable_floor": floor}


class Node:
    """The key-value client, membership and profiles of one instance."""

    def __init__(self, document):
        self.core = build_core(parse_settings(msgspec.json.encode(document)).ok, None)
        self.membership = build_membership(self.core)
        self.profiles = build_profiles(self.core, self.membership)

    def record(self, name="default"):
        return self.profiles.current(name).ok

    def stop(self):
        for loop in self.core.loops:
            loop.stop()
        self.core.timer.stop()
        for close in reversed(self.core.closers[1:]):
            close()


class Fleet:
    """Starts, restarts and stops nodes."""

    def __init__(self, n_nodes):
        self.kv = KvStandin(seed=1)
        self._kv_server = start_kv(self.kv)
        self.ports = free_ports(n_nodes)
        self.nodes = [self._start(index) for index in range(n_nodes)]

    def restart(self, index):
        self.nodes[index].stop()
        self.nodes[index] = self._start(index)

    def wait_until(self, condition, limit_s=IN_FORCE_LIMIT_S):
        started_at_s = time.monotonic()
        while not condition():
            assert time.monotonic() - started_at_s < limit_s
            time.sleep(0.01)

    def wait_joined(self):
        n_nodes = len(self.nodes)
        self.wait_until(
            lambda: all(len(n.membership.live()) == n_nodes for n in self.nodes), 15.0
        )

    def wait_in_force(self, version, nodes=None):
        nodes = self.nodes if nodes is None else nodes
        self.wait_until(lambda: all(n.record().version == version for n in nodes))

    def stop(self):
        for node in self.nodes:
            node.stop()
        self._kv_server.stop()

    def _start(self, index):
        peers = [
            {"id": f"i{other}", "address": f"127.0.0.1:{port}"}
            for other, port in enumerate(self.ports)
        ]
        url = f"http://127.0.0.1:{self._kv_server.port}"
        return Node(
            {
                "instance_id": f"i{index}",
                "failure_domain": f"fd-{index % 3}",
                "isolation_secret": SECRET,
                "entry": {"port": 0, "drain_grace_ms": 50},
                "operator": {"port": 0, "keys_sha256": []},
                "platform": {"kv": {"url": url, "timeout_ms": 500}},
                "upstreams": {"servers": []},
                "caller_keys": [],
                "wire": {
                    "port": self.ports[index],
                    "shared_secret": SECRET,
                    "peers": [peer for peer in peers if peer["id"] != f"i{index}"],
                },
            }
        )
