"""The demo's instance and stand-ins on loopback ports."""

import hashlib
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import urllib3

from ..compose.instance import start_instance
from ..conf import parse_settings
from ..profiles.document import Profile
from ..standins.engine import EngineParameters, EngineStandin, start_engine
from ..standins.kv import KvStandin, start_kv
from ..standins.service import ServiceStandin, start_service

CALLER_KEY = "demo-caller-key"
OPERATOR_KEY = "demo-operator-key"
N_ENGINES = 2


class World(NamedTuple):
    """What the demo's steps work with."""

    entry_url: str
    operator_url: str
    engines: tuple[EngineStandin, ...]
    orders: ServiceStandin
    kv: KvStandin
    http: urllib3.PoolManager
    stop: Callable[[], None]

    def post(self, path: str, body: object, **headers: str) -> urllib3.BaseHTTPResponse:
        """Send JSON as the demo's caller; ``x_profile`` becomes ``X-Profile``."""
        head = {name.replace("_", "-"): value for name, value in headers.items()}
        head["Authorization"] = f"Bearer {CALLER_KEY}"
        raw = msgspec.json.encode(body)
        return self.http.request("POST", self.entry_url + path, body=raw, headers=head)

    def operate(
        self, method: str, path: str, body: object = None
    ) -> urllib3.BaseHTTPResponse:
        """Send JSON as the demo's operator."""
        head = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        raw = msgspec.json.encode(body)
        url = self.operator_url + path
        return self.http.request(method, url, body=raw, headers=head)

    def get(self, path: str) -> urllib3.BaseHTTPResponse:
        """Read as the demo's caller."""
        head = {"Authorization": f"Bearer {CALLER_KEY}"}
        return self.http.request("GET", self.entry_url + path, headers=head)


def demo_profile() -> Profile:
    """Return a profile with urgent blurbs and deferrable notes."""
    limits = {"requests_per_s": 100.0, "tokens_per_s": 50_000.0, "weight": 1.0}
    return {
        "work_classes": {
            "blurb": {
                "rank": 0,
                "kind": "urgent",
                "ttft_target_ms": 1_300,
                "deadline_ms": 30_000,
                "worth": 10.0,
            },
            "notes": {
                "rank": 2,
                "kind": "deferrable",
                "ttft_target_ms": 60_000,
                "deadline_ms": 8 * 3_600_000,
                "worth": 1.0,
            },
        },
        "default_work_class": "blurb",
        "deferrable_floor": 0.1,
        "default_limits": limits,
        "client_accounts": {},
        "routes": [
            {
                "service": "orders",
                "method": "POST",
                "path_prefix": "/",
                "repeatable": False,
            }
        ],
    }


def start_world() -> World:
    """Start the stand-ins and one instance."""
    engines = tuple(EngineStandin(EngineParameters()) for _ in range(N_ENGINES))
    engine_servers = [start_engine(engine) for engine in engines]
    orders = ServiceStandin("orders")
    orders_server = start_service(orders)
    kv = KvStandin()
    kv_server = start_kv(kv)
    document = _settings_document(
        [server.port for server in engine_servers], orders_server.port, kv_server.port
    )
    instance = start_instance(parse_settings(msgspec.json.encode(document)).ok)

    def stop() -> None:
        instance.stop()
        for server in (*engine_servers, orders_server, kv_server):
            server.stop()

    return World(
        entry_url=f"http://127.0.0.1:{instance.entry.port}",
        operator_url=f"http://127.0.0.1:{instance.operator.port}",
        engines=engines,
        orders=orders,
        kv=kv,
        http=urllib3.PoolManager(retries=False),
        stop=stop,
    )


def _settings_document(engine_ports: list[int], orders_port: int, kv_port: int) -> dict:
    servers = [
        {
            "id": f"engine-{index}",
            "kind": "engine",
            "address": f"127.0.0.1:{port}",
            "failure_domain": f"fd-{index}",
            "models": ["small"],
        }
        for index, port in enumerate(engine_ports)
    ]
    servers.append(
        {
            "id": "orders-0",
            "kind": "service",
            "address": f"127.0.0.1:{orders_port}",
            "failure_domain": "fd-0",
            "service": "orders",
        }
    )
    return {
        "instance_id": "demo",
        "failure_domain": "fd-0",
        "isolation_secret": "demo-isolation-secret",
        "entry": {"port": 0, "n_threads": 32, "drain_grace_ms": 50},
        "operator": {"port": 0, "keys_sha256": [_digest(OPERATOR_KEY)]},
        "platform": {"kv": {"url": f"http://127.0.0.1:{kv_port}"}},
        "upstreams": {"servers": servers},
        "caller_keys": [
            {
                "sha256": _digest(CALLER_KEY),
                "client_account": "paddock-lane",
                "member": "shop",
            }
        ],
    }


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
