"""How soon a router that has nothing answers: no key-value service, no peers.

Usage: ``python -m benchmarks.cold_start [N_RUNS]``. The time counts from the start of
the process, so it holds the interpreter and its imports.
"""

import statistics
import sys
import time

import msgspec
import urllib3

from .processes import Processes
from .relay_overhead import ENTRY_PORT, KEY, OPERATOR_PORT, router_settings

RETRY_PAUSE_S = 0.01
LIMIT_S = 10.0


def _first_answer_s(processes: Processes, path: str, name: str) -> float:
    body = {"model": "small", "prompt": "x", "max_tokens": 1, "pace_ms": 1}
    raw = msgspec.json.encode(body)
    headers = {"Authorization": f"Bearer {KEY}"}
    http = urllib3.PoolManager(retries=False)
    started_s = time.monotonic()
    processes.start(name, "buckthornrock", "serve", path)
    while time.monotonic() - started_s < LIMIT_S:
        try:
            url = f"http://127.0.0.1:{ENTRY_PORT}/v1/completions"
            if http.request("POST", url, body=raw, headers=headers).status == 200:
                return time.monotonic() - started_s
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(RETRY_PAUSE_S)
    return LIMIT_S


def main() -> None:
    """Start a router again and again and print the times to its first answer."""
    n_runs = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    times_s = []
    for run in range(n_runs):
        processes = Processes()
        try:
            engine = processes.start("engine", "benchmarks.paced_engine")
            ports = [int(engine.stdout.readline())]
            document = router_settings(ports, ENTRY_PORT, OPERATOR_PORT)
            document["entry"]["drain_grace_ms"] = 50
            path = processes.write("settings.json", document)
            times_s.append(_first_answer_s(processes, path, f"router-{run}"))
        finally:
            processes.stop()
    median_s = statistics.median(times_s)
    print(f"first answer: median {median_s:.2f} s, worst {max(times_s):.2f} s")


if __name__ == "__main__":
    main()
