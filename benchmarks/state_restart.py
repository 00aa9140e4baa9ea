"""Measures how soon a restarted instance serves while the KV is down.

``python -m benchmarks.state_restart`` starts ``buckthornrock serve`` several times and
prints the seconds from the process's start, and from the end of its imports, to the
first whole answer of an engine.
"""

import hashlib
import statistics
import time

import click
import msgspec
import urllib3

from buckthornrock.standins.engine import EngineParameters, EngineStandin, start_engine

from .processes import Processes
from .settings_files import SECRET, free_ports

N_RUNS = 7
KEY = "benchmark-caller"
POLL_S = 0.005
LIMIT_S = 30.0
BODY = msgspec.json.encode({"model": "small", "prompt": "hello", "max_tokens": 2})
STARTED = 1000


def _document(entry_port: int, operator_port: int, engine_port: int) -> dict:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return {
        "instance_id": "restarted",
        "failure_domain": "fd-0",
        "isolation_secret": SECRET,
        "entry": {"port": entry_port},
        "operator": {"port": operator_port, "keys_sha256": []},
        # Nothing listens on port 1: every connection is refused.
        "platform": {"kv": {"url": "http://127.0.0.1:1"}},
        "upstreams": {
            "servers": [
                {
                    "id": "engine-0",
                    "kind": "engine",
                    "address": f"127.0.0.1:{engine_port}",
                    "failure_domain": "fd-0",
                    "models": ["small"],
                }
            ]
        },
        "caller_keys": [{"sha256": digest, "client_account": "a"}],
        "telemetry": {"log_path": "-"},
    }


def _seconds_to_answer(url: str, started_at_s: float) -> float:
    http = urllib3.PoolManager(retries=False, timeout=5.0)
    headers = {"Authorization": f"Bearer {KEY}"}
    while time.monotonic() - started_at_s < LIMIT_S:
        try:
            response = http.request("POST", url, body=BODY, headers=headers)
        except urllib3.exceptions.HTTPError:
            time.sleep(POLL_S)
            continue
        if response.status == 200:
            return time.monotonic() - started_at_s
        time.sleep(POLL_S)
    raise TimeoutError(url)


def _run(engine_port: int) -> tuple[float, float]:
    """Return the seconds to the first answer, and those of the program's own start."""
    entry_port, operator_port = free_ports(2)
    processes = Processes()
    path = processes.write(
        "settings.json", _document(entry_port, operator_port, engine_port)
    )
    started_at_s = time.monotonic()
    processes.start("serve", "buckthornrock", "serve", path)
    try:
        url = f"http://127.0.0.1:{entry_port}/v1/completions"
        seconds = _seconds_to_answer(url, started_at_s)
    finally:
        processes.stop()
    log = (processes.directory / "serve.err").read_bytes().splitlines()
    rows = [msgspec.json.decode(line) for line in log if line.startswith(b"{")]
    wiring_ms = next(r["duration_ms"] for r in rows if r.get("event") == STARTED)
    return seconds, wiring_ms / 1000.0


@click.command()
def main() -> None:
    """Restart an instance several times."""
    engine = start_engine(EngineStandin(EngineParameters()))
    try:
        results = [_run(engine.port) for _ in range(N_RUNS)]
    finally:
        engine.stop()
    for name, column in zip(
        ("process start to first answer", "of it the instance's own start"),
        zip(*results, strict=True),
        strict=True,
    ):
        median, worst = statistics.median(column), max(column)
        click.echo(f"| {name} | {median:.3f} | {worst:.3f} |")


if __name__ == "__main__":
    main()
