"""Settings of the router processes that the benchmarks of unrepeatable calls start."""

import hashlib

CALLER_KEY = "bench-caller"
OPERATOR_KEY = "bench-operator"
SECRET = "bench-secret-of-enough-bytes"


def service_document(address: str) -> dict:
    """Return the settings of one server of a plain service."""
    return {
        "id": "orders-0",
        "kind": "service",
        "address": address,
        "failure_domain": "fd-0",
        "service": "orders",
    }


def instance_document(
    index: int,
    ports: list[list[int]],
    kv_port: int,
    servers: list[dict],
    **sections: dict,
) -> dict:
    """Return the settings of instance ``index``.

    ``ports`` holds the entry, operator and wire port of every instance.
    """
    entry, operator, wire = ports[index]
    document = {
        "instance_id": f"i{index}",
        "failure_domain": f"fd-{index % 3}",
        "isolation_secret": SECRET,
        "entry": {"port": entry, "n_threads": 40, "drain_grace_ms": 100},
        "operator": {"port": operator, "keys_sha256": [_digest(OPERATOR_KEY)]},
        "platform": {"kv": {"url": f"http://127.0.0.1:{kv_port}", "timeout_ms": 400}},
        "upstreams": {"servers": servers},
        "caller_keys": [
            {"sha256": _digest(CALLER_KEY), "client_account": "a", "member": "m"}
        ],
        "telemetry": {"log_path": "/dev/null"},
        "wire": {
            "port": wire,
            "shared_secret": SECRET,
            "peers": [
                {"id": f"i{n}", "address": f"127.0.0.1:{p[2]}"}
                for n, p in enumerate(ports)
                if n != index
            ],
        },
    }
    return document | sections


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
