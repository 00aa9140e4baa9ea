"""Costs of calls that may not be repeated, and times to reload engines.

Run with ``python -m benchmarks.once_measure``. Prints one JSON object.
"""

import math
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import click
import msgspec
import urllib3

from buckthornrock.commands.demo_world import demo_profile
from buckthornrock.runtime import system_clock
from buckthornrock.standins.engine import (
    EngineParameters,
    EngineStandin,
    Served,
    start_engine,
)
from buckthornrock.standins.engine_orders import EngineOrders, LoadGate
from buckthornrock.standins.kv import KvStandin, start_kv
from buckthornrock.standins.service import ServiceStandin, start_service

from .once_settings import (
    CALLER_KEY,
    OPERATOR_KEY,
    instance_document,
    service_document,
)
from .processes import Processes
from .settings_files import free_ports

N_INSTANCES = 3
PATH = "/services/orders/kilo"
LOAD_TIME_S = 2.5
POLL_S = 0.02
READY_TIMEOUT_S = 20.0


class Fleet:
    """Router processes before stand-ins in this process."""

    def __init__(self, servers: list[dict], **sections: dict) -> None:
        self.kv = KvStandin()
        self._kv_server = start_kv(self.kv)
        self.processes = Processes()
        self.http = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=64)
        ports = free_ports(3 * N_INSTANCES)
        self.ports = [ports[3 * i : 3 * i + 3] for i in range(N_INSTANCES)]
        for index in range(N_INSTANCES):
            document = instance_document(
                index, self.ports, self._kv_server.port, servers, **sections
            )
            path = self.processes.write(f"i{index}.json", document)
            self.processes.start(f"i{index}", "buckthornrock", "serve", path)
        self._wait(lambda i: self.operate(i, "GET", "/statusz").status == 200)

    def apply_profile(self) -> None:
        """Put a profile in force everywhere."""
        body = {"expected_version": 0, "profile": demo_profile()}
        self.operate(0, "PUT", "/v1/profiles/default", body)
        self._wait(
            lambda i: (
                self.operate(i, "GET", "/statusz").json()["profiles"]["default"][
                    "version"
                ]
                == 1
            )
        )

    def operate(self, index: int, method: str, path: str, body: object = None):
        """Send an operator's request."""
        url = f"http://127.0.0.1:{self.ports[index][1]}{path}"
        head = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        raw = msgspec.json.encode(body)
        return self.http.request(method, url, body=raw, headers=head)

    def call(self, index: int, body: bytes, key: str = ""):
        """Send a caller's request."""
        url = f"http://127.0.0.1:{self.ports[index][0]}{PATH}"
        head = {"Authorization": f"Bearer {CALLER_KEY}"}
        if key:
            head["Idempotency-Key"] = key
        return self.http.request("POST", url, body=body, headers=head)

    def issue(self, index: int) -> str:
        """Return an issued key."""
        url = f"http://127.0.0.1:{self.ports[index][0]}/v1/idempotency-keys"
        head = {"Authorization": f"Bearer {CALLER_KEY}"}
        return self.http.request("POST", url, headers=head).json()["key"]

    def stop(self) -> None:
        """Stop everything."""
        self.processes.stop()
        self._kv_server.stop()

    def _wait(self, is_done: Callable[[int], bool]) -> None:
        give_up_at_s = time.monotonic() + READY_TIMEOUT_S
        for index in range(N_INSTANCES):
            while not _holds(is_done, index):
                if time.monotonic() > give_up_at_s:
                    raise TimeoutError
                time.sleep(POLL_S)


def _holds(is_done: Callable[[int], bool], index: int) -> bool:
    try:
        return is_done(index)
    except (urllib3.exceptions.HTTPError, KeyError):
        return False


def measure_calls(n_calls: int) -> dict:
    """Return latency and key-value calls of each kind of call."""
    service = ServiceStandin("orders")
    server = start_service(service)
    fleet = Fleet([service_document(f"127.0.0.1:{server.port}")])
    try:
        fleet.apply_profile()
        kinds = {
            "keyless": lambda n: fleet.call(0, b"a%d" % n),
            "claimed": lambda n: fleet.call(0, b"b%d" % n, f"b{n}"),
            "replayed_elsewhere": lambda n: fleet.call(1, b"b%d" % n, f"b{n}"),
            "issued_here": lambda n: fleet.call(0, b"c%d" % n, local[n]),
            "issued_elsewhere": lambda n: fleet.call(0, b"d%d" % n, remote[n]),
        }
        local = [fleet.issue(0) for _ in range(n_calls)]
        remote = [fleet.issue(1) for _ in range(n_calls)]
        background_per_s = _background(fleet)
        report: dict = {"kv_calls_per_s_idle": round(background_per_s, 1)}
        for name, call in kinds.items():
            report[name] = _timed(fleet, call, n_calls, background_per_s)
        report["concurrent_claims"] = _concurrent(fleet, background_per_s)
        report["herd"] = _herd(fleet, service, background_per_s)
        report["outage"] = _outage(fleet, n_calls)
        return report
    finally:
        fleet.stop()
        server.stop()


def _background(fleet: Fleet) -> float:
    before = fleet.kv.n_calls
    time.sleep(3.0)
    return (fleet.kv.n_calls - before) / 3.0


def _timed(fleet: Fleet, call, n_calls: int, background_per_s: float) -> dict:
    before, started_at_s = fleet.kv.n_calls, time.monotonic()
    times_ms = []
    for number in range(n_calls):
        call_at_s = time.monotonic()
        assert call(number).status == 200
        times_ms.append((time.monotonic() - call_at_s) * 1000.0)
    time.sleep(0.3)
    passed_s = time.monotonic() - started_at_s
    n_kv = fleet.kv.n_calls - before - background_per_s * passed_s
    return {
        "n_calls": n_calls,
        "p50_ms": round(statistics.median(times_ms), 2),
        "p95_ms": round(statistics.quantiles(times_ms, n=20)[-1], 2),
        "kv_calls_per_call": round(max(0.0, n_kv) / n_calls, 2),
    }


def _concurrent(fleet: Fleet, background_per_s: float) -> dict:
    n_calls, n_threads = 600, 24
    before, started_at_s = fleet.kv.n_calls, time.monotonic()
    with ThreadPoolExecutor(n_threads) as pool:
        calls = pool.map(
            lambda n: fleet.call(n % N_INSTANCES, b"e%d" % n, f"e{n}").status,
            range(n_calls),
        )
        assert set(calls) == {200}
    passed_s = time.monotonic() - started_at_s
    time.sleep(0.5)
    n_kv = fleet.kv.n_calls - before - background_per_s * (passed_s + 0.5)
    return {
        "n_calls": n_calls,
        "n_at_once": n_threads,
        "calls_per_s": round(n_calls / passed_s, 1),
        "kv_calls_per_call": round(n_kv / n_calls, 2),
    }


def _herd(fleet: Fleet, service: ServiceStandin, background_per_s: float) -> dict:
    n_requests = 64
    before, started_at_s = fleet.kv.n_calls, time.monotonic()
    with ThreadPoolExecutor(n_requests) as pool:
        answers = list(
            pool.map(
                lambda n: fleet.call(n % N_INSTANCES, b"herd", "herd").status,
                range(n_requests),
            )
        )
    passed_s = time.monotonic() - started_at_s
    n_kv = fleet.kv.n_calls - before - background_per_s * passed_s
    return {
        "n_requests": n_requests,
        "n_answered": answers.count(200),
        "n_runs": service.runs[b"herd"],
        "duration_ms": round(passed_s * 1000.0, 1),
        "kv_calls": round(max(0.0, n_kv), 1),
    }


def _outage(fleet: Fleet, n_calls: int) -> dict:
    fleet.kv.fault = "down"
    try:
        claimed = [fleet.call(0, b"f%d" % n, f"f{n}").status for n in range(20)]
        issued = []
        for number in range(n_calls):
            key = fleet.issue(number % N_INSTANCES)
            answer = fleet.call((number + 1) % N_INSTANCES, b"g%d" % number, key)
            issued.append(answer.status)
    finally:
        fleet.kv.fault = ""
    return {
        "claimed_answered": claimed.count(200) / len(claimed),
        "issued_answered": issued.count(200) / len(issued),
    }


def measure_reload(n_engines: int, n_slots: int) -> dict:
    """Return how long engines take to load, all at first and then one domain."""
    clock = system_clock()
    gate = LoadGate(n_slots)
    orders = [
        EngineOrders(gate, Served((), ""), True, clock.now_ms) for _ in range(n_engines)
    ]
    servers = [
        start_engine(EngineStandin(EngineParameters(), orders=o)) for o in orders
    ]
    documents = [
        {
            "id": f"engine-{i}",
            "kind": "engine",
            "address": f"127.0.0.1:{server.port}",
            "failure_domain": f"fd-{i % 3}",
            "models": ["small"],
        }
        for i, server in enumerate(servers)
    ]
    fleet = Fleet(documents, orders={"n_load_slots": n_slots})
    try:
        time.sleep(2.0)
        all_s = _reload(fleet, orders, clock, range(n_engines))
        domain = range(0, n_engines, 3)
        for index in domain:
            orders[index].restart(clock.now_ms())
        domain_s = _time_until_loaded(orders, clock, "w1")
        fleet.operate(0, "PUT", "/v1/placement", _placement(1, "w2"))
        roll_s = _time_until_loaded(orders, clock, "w2")
    finally:
        fleet.stop()
        for server in servers:
            server.stop()
    n_domain = len(domain)
    return {
        "n_engines": n_engines,
        "n_slots": n_slots,
        "n_most_at_once": gate.n_most,
        "all_cold_s": round(all_s, 2),
        "all_cold_ideal_s": math.ceil(n_engines / n_slots) * LOAD_TIME_S,
        "one_domain_s": round(domain_s, 2),
        "one_domain_ideal_s": math.ceil(n_domain / n_slots) * LOAD_TIME_S,
        "roll_s": round(roll_s, 2),
        "roll_ideal_s": 3 * math.ceil(n_domain / n_slots) * LOAD_TIME_S,
    }


def _reload(fleet: Fleet, orders, clock, indexes) -> float:
    fleet.operate(0, "PUT", "/v1/placement", _placement(0, "w1"))
    return _time_until_loaded(orders, clock, "w1")


def _placement(version: int, weights: str) -> dict:
    wanted = {
        "model": "small",
        "weights_version": weights,
        "adapters": [],
        "role": "",
    }
    return {
        "expected_version": version,
        "placement": {
            "min_serving_share": 0.5,
            "failure_domains": {"*": wanted},
            "upstreams": {},
        },
    }


def _time_until_loaded(orders, clock, weights: str) -> float:
    started_at_s = time.monotonic()
    while time.monotonic() - started_at_s < 90.0:
        states = [o.state(clock.now_ms()) for o in orders]
        if all(s.weights_version == weights and not s.loading for s in states):
            return time.monotonic() - started_at_s
        time.sleep(POLL_S)
    raise TimeoutError(weights)


@click.command()
@click.option("--n", "n_calls", default=200, help="Calls of each kind.")
def main(n_calls: int) -> None:
    """Measure calls and reloads."""
    report = {
        "calls": measure_calls(n_calls),
        "reload_queensland": measure_reload(9, 3),
        "reload_mazowsze": measure_reload(6, 2),
    }
    click.echo(msgspec.json.format(msgspec.json.encode(report)))


if __name__ == "__main__":
    main()
