"""What the router adds to a paced stream, against the engine asked directly.

Engine, router and callers are processes of their own. Usage:
``python -m benchmarks.relay_overhead [N_STREAMS]``.
"""

import hashlib
import os
import statistics
import sys
import time
from typing import NamedTuple

import msgspec

from .processes import Processes
from .usage import Usage, read_usage

KEY = "benchmark-caller-key"
N_ENGINES = 2
N_CALLER_PROCESSES = 2
N_ROUNDS = 3
N_TOKENS = 110
PACE_MS = 36
SETTLE_S = 1.5
ENTRY_PORT = 18_080
OPERATOR_PORT = 18_081


class Run(NamedTuple):
    """One way to the engine, measured."""

    first_token_us: list[float]
    token_delay_us: list[float]
    n_broken: int
    duration_s: float


def _settings(ports: list[int], entry_port: int, operator_port: int) -> dict:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return {
        "instance_id": "bench",
        "failure_domain": "fd-0",
        "isolation_secret": "benchmark-isolation-secret",
        "entry": {"port": entry_port, "n_threads": 160},
        "operator": {"port": operator_port, "keys_sha256": []},
        "platform": {"kv": {"url": "http://127.0.0.1:9"}},
        "upstreams": {
            "servers": [
                {
                    "id": f"engine-{index}",
                    "kind": "engine",
                    "address": f"127.0.0.1:{port}",
                    "failure_domain": "fd-0",
                    "models": ["small"],
                }
                for index, port in enumerate(ports)
            ]
        },
        "caller_keys": [{"sha256": digest, "client_account": "bench"}],
        "telemetry": {"log_path": os.devnull},
    }


def _run_callers(
    processes: Processes, way: str, addresses: list[str], n_streams: int
) -> Run:
    started_s = time.monotonic()
    share = str(n_streams // N_CALLER_PROCESSES)
    shape = (share, str(N_ROUNDS), str(N_TOKENS), str(PACE_MS))
    callers = [
        processes.start(
            f"{way}-{i}",
            "benchmarks.paced_callers",
            addresses[i % len(addresses)],
            KEY,
            *shape,
        )
        for i in range(N_CALLER_PROCESSES)
    ]
    outputs = [msgspec.json.decode(caller.communicate()[0]) for caller in callers]
    return Run(
        first_token_us=sum((o["first_token_us"] for o in outputs), []),
        token_delay_us=sum((o["token_delay_us"] for o in outputs), []),
        n_broken=sum(o["n_broken"] for o in outputs),
        duration_s=time.monotonic() - started_s,
    )


def _percentile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _report(name: str, run: Run) -> None:
    for title, values in (
        ("first token", run.first_token_us),
        ("token delay", run.token_delay_us),
    ):
        median = statistics.median(values)
        p99 = _percentile(values, 0.99)
        print(f"{name:8} {title}: median {median:8.0f} us   p99 {p99:8.0f} us")
    print(f"{name:8} broken streams: {run.n_broken}")


def _report_router(before: Usage, after: Usage, run: Run) -> None:
    cpu_s = after.cpu_s - before.cpu_s
    n_chunks = len(run.token_delay_us)
    print(f"router   chunks a second: {n_chunks / run.duration_s:.0f}")
    print(f"router   processor time a chunk: {1e6 * cpu_s / n_chunks:.0f} us")
    print(f"router   share of a core: {cpu_s / run.duration_s:.1%}")
    print(f"router   resident idle: {before.resident_bytes / 1e6:.1f} MB")
    print(f"router   resident after: {after.resident_bytes / 1e6:.1f} MB")
    print(f"router   threads: {after.n_threads}")


def main() -> None:
    """Measure the direct way and the way through one router."""
    n_streams = int(sys.argv[1]) if len(sys.argv) > 1 else 120
    processes = Processes()
    try:
        engines = [
            processes.start(f"engine-{index}", "benchmarks.paced_engine")
            for index in range(N_ENGINES)
        ]
        ports = [int(engine.stdout.readline()) for engine in engines]
        document = _settings(ports, ENTRY_PORT, OPERATOR_PORT)
        path = processes.write("settings.json", document)
        router = processes.start("router", "buckthornrock", "serve", path)
        time.sleep(SETTLE_S)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        direct = _run_callers(processes, "direct", addresses, n_streams)
        before = read_usage(router.pid)
        address = f"127.0.0.1:{ENTRY_PORT}"
        routed = _run_callers(processes, "routed", [address], n_streams)
        after = read_usage(router.pid)
    finally:
        processes.stop()
    _report("direct", direct)
    _report("routed", routed)
    _report_router(before, after, routed)


if __name__ == "__main__":
    main()
