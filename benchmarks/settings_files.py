"""Settings files of the benchmark's processes."""

import contextlib
import hashlib
import socket

from buckthornrock.conf import Settings
from buckthornrock.load.mixes import ACCOUNT_SHARES, MIXES

from .deployments import (
    N_DOMAINS,
    N_ENGINE_GROUPS,
    OPERATOR_KEY,
    Deployment,
    caller_key,
)

SECRET = "bench-secret-of-enough-bytes"


def free_ports(n_ports: int) -> list[int]:
    """Return ports that differ and that neither TCP nor UDP used a moment ago."""
    found: list[int] = []
    with contextlib.ExitStack() as probes:
        while len(found) < n_ports:
            probe = probes.enter_context(socket.socket())
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
            datagrams = probes.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            )
            with contextlib.suppress(OSError):
                datagrams.bind(("127.0.0.1", port))
                found.append(port)
    return found


def standins_document(deployment: Deployment, seed: int, group: int) -> dict:
    """Return the parameters of one group of engines.

    The first group's process runs the cache store as well.
    """
    parameters = {
        "prefill_tokens_per_s": deployment.prefill_tokens_per_s,
        "inter_token_ms": deployment.inter_token_ms,
        "decode_growth_ms": 0.5,
        "max_batch": deployment.max_batch,
        "tokens_per_event": 8,
        "n_cache_blocks": deployment.n_cache_blocks,
        "max_step_tokens": 512,
        "event_loss": 0.01,
        "load_lag_ms": 150.0,
        "events_lag_ms": 150.0,
        "transfer_blocks_per_s": 4_000.0,
    }
    engines = [
        {"id": f"engine-{i}", "parameters": parameters | {"seed": seed * 100 + i}}
        for i in range(group, deployment.n_engines, N_ENGINE_GROUPS)
    ]
    store = {"n_blocks": 20_000, "blocks_per_s": 8_000.0}
    port = 0 if group == 0 else -1
    return {"engines": engines, "cache_store_port": port, "cache_store": store}


def platform_document() -> dict:
    """Return the parameters of the platform's services."""
    return {"kv_port": 0, "instance_list_port": 0}


def instance_document(
    index: int,
    deployment: Deployment,
    standin_ports: dict[str, int],
    platform_ports: dict[str, int],
    instance_ports: list[dict[str, int]],
    extra: dict,
) -> dict:
    """Return the settings of one instance; ``extra`` goes over its sections."""
    ports = instance_ports[index]
    document = {
        "instance_id": f"instance-{index}",
        "failure_domain": f"fd-{index % N_DOMAINS}",
        "isolation_secret": SECRET,
        "entry": {"port": ports["entry"], "n_threads": 192},
        "operator": {
            "port": ports["operator"],
            "keys_sha256": [_digest(OPERATOR_KEY)],
        },
        "platform": {"kv": {"url": _url(platform_ports["kv"])}},
        "upstreams": {"servers": _servers(deployment, standin_ports)},
        "caller_keys": _caller_keys(deployment.name),
        "telemetry": {"log_path": "/dev/null"},
        "wire": {
            "port": ports["wire"],
            "shared_secret": SECRET,
            "peers": [
                {"id": f"instance-{i}", "address": f"127.0.0.1:{p['wire']}"}
                for i, p in enumerate(instance_ports)
                if i != index
            ],
        },
    }
    # A section that this version does not know yet is left out.
    for name in extra.keys() & set(Settings._fields):
        document[name] = document.get(name, {}) | extra[name]
    return document


def _servers(deployment: Deployment, ports: dict[str, int]) -> list[dict]:
    return [
        {
            "id": f"engine-{index}",
            "kind": "engine",
            "address": f"127.0.0.1:{ports[f'engine-{index}']}",
            "failure_domain": f"fd-{index % N_DOMAINS}",
            "models": ["small"],
        }
        for index in range(deployment.n_engines)
    ]


def _caller_keys(mix_name: str) -> list[dict]:
    return [
        {
            "sha256": _digest(caller_key(account, member)),
            "client_account": account,
            "member": member,
        }
        for account in ACCOUNT_SHARES
        for member in MIXES[mix_name].members
    ]


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _url(port: int) -> str:
    return f"http://127.0.0.1:{port}"
