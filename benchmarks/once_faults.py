"""Calls that may not be repeated, over sockets, with faults on every side.

Three router processes stand before one server of a plain service. Each schedule is one
call with one key and a few requests for it, one after another or two at once, through
any instance, while the server breaks off, the key-value service is down or loses
answers, and instances are killed and paused.

Run with ``python -m benchmarks.once_faults --n 500 --seed 0``. Prints one JSON object
and exits with 1 if a call ran twice or "not run" was said of one that ran.
"""

import random
import signal
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import click
import msgspec
import urllib3

from buckthornrock.commands.demo_world import demo_profile
from buckthornrock.standins.kv import KvStandin, start_kv
from tests.upstreams import raw_server
from tests.upstreams.raw_server import RawServer, make_response

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
KILL_SHARE = 0.06
PAUSE_SHARE = 0.06
READY_TIMEOUT_S = 20.0


class FaultyServer(RawServer):
    """Counts runs by body; breaks off as the schedule says."""

    def __init__(self) -> None:
        self.runs: Counter[bytes] = Counter()
        self.script = "whole"
        self.delay_s = 0.0
        self._count_lock = threading.Lock()
        super().__init__(_serve)

    def count(self, body: bytes) -> int:
        """Count one run."""
        with self._count_lock:
            self.runs[body] += 1
            return self.runs[body]


def _serve(server: FaultyServer, connection) -> None:
    script = server.script
    if script == "close_before":
        raw_server.close_at_once(server, connection)
        return
    if script == "close_during":
        raw_server.close_in_request(server, connection)
        return
    while server.read_request(connection):
        body = server.requests.pop().partition(b"\r\n\r\n")[2]
        n_runs = server.count(body)
        time.sleep(server.delay_s)
        if script == "close_after":
            return
        header = b"X-Request-Id: other\r\n" if script == "crossed" else b""
        whole = make_response(b"run %d of " % n_runs + body, header)
        connection.sendall(whole[:-3] if script == "cut" else whole)
        if script == "cut":
            return


SCRIPTS = (
    "whole",
    "whole",
    "whole",
    "close_before",
    "close_during",
    "close_after",
    "crossed",
    "cut",
    "refuse",
)
KV_FAULTS = ("", "", "", "", "down", "lose_answers")


class World:
    """The processes, the stand-ins and what was seen."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.kv = KvStandin()
        self.kv_server = start_kv(self.kv)
        self.server = FaultyServer()
        self.processes = Processes()
        self.http = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=16)
        ports = free_ports(3 * N_INSTANCES)
        self.ports = [ports[3 * i : 3 * i + 3] for i in range(N_INSTANCES)]
        try:
            self.started = [self.start(index) for index in range(N_INSTANCES)]
            self.wait_ready(range(N_INSTANCES))
            self._apply_profile()
            self.wait_ready(range(N_INSTANCES))
        except BaseException:
            self.stop()
            raise
        self.counts: Counter[str] = Counter()
        self.problems: list[list[object]] = []

    def start(self, index: int):
        """Start the process of an instance."""
        document = instance_document(
            index,
            self.ports,
            self.kv_server.port,
            [service_document(self.server.address)],
        )
        path = self.processes.write(f"instance-{index}.json", document)
        return self.processes.start(f"i{index}", "buckthornrock", "serve", path)

    def _apply_profile(self) -> None:
        body = {"expected_version": 0, "profile": demo_profile()}
        self.operate(0, "PUT", "/v1/profiles/default", body)

    def operate(self, index: int, method: str, path: str, body: object = None):
        """Send an operator's request."""
        url = f"http://127.0.0.1:{self.ports[index][1]}{path}"
        head = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        raw = msgspec.json.encode(body)
        return self.http.request(method, url, body=raw, headers=head)

    def wait_ready(self, indexes) -> None:
        """Wait until instances serve (with the profile, once it is applied)."""
        give_up_at_s = time.monotonic() + READY_TIMEOUT_S
        for index in indexes:
            while not self._is_ready(index):
                if time.monotonic() > give_up_at_s:
                    raise TimeoutError(f"instance {index}")
                time.sleep(0.02)

    def _is_ready(self, index: int) -> bool:
        try:
            status = self.operate(index, "GET", "/statusz").json()
        except urllib3.exceptions.HTTPError:
            return False
        has_profile = status["profiles"]["default"]["trust"] != "start"
        return has_profile or not hasattr(self, "counts")

    def call(self, index: int, body: bytes, key: str) -> tuple[str, object]:
        """Return how a request ended: the answer's text or a code, and not_run."""
        url = f"http://127.0.0.1:{self.ports[index][0]}{PATH}"
        head = {
            "Authorization": f"Bearer {CALLER_KEY}",
            "Idempotency-Key": key,
            "X-Deadline-Ms": "1500",
        }
        try:
            response = self.http.request("POST", url, body=body, headers=head)
        except urllib3.exceptions.HTTPError:
            return "connection-lost", "unknown"
        if response.status == 200:
            return response.data.decode(), False
        problem = response.json()
        return problem["code"], problem["not_run"]

    def issue(self, index: int) -> str | None:
        """Return an issued key."""
        url = f"http://127.0.0.1:{self.ports[index][0]}/v1/idempotency-keys"
        head = {"Authorization": f"Bearer {CALLER_KEY}"}
        try:
            response = self.http.request("POST", url, headers=head)
        except urllib3.exceptions.HTTPError:
            return None
        return response.json()["key"] if response.status == 201 else None

    def stop(self) -> None:
        """Stop the processes and the stand-ins."""
        self.processes.stop()
        self.kv_server.stop()
        self.server.stop()


def run_schedule(world: World, number: int) -> None:
    """Run one schedule and note what it broke."""
    rng = random.Random(number)
    body = b"call-%d" % number
    is_issued = rng.random() < 0.4
    key = world.issue(rng.randrange(N_INSTANCES)) if is_issued else f"key-{number}"
    if key is None:
        world.counts["no-key"] += 1
        return
    told: list[object] = []
    for _ in range(rng.randrange(2, 5)):
        if rng.random() < 0.25:
            told += _two_at_once(world, rng, body, key)
        else:
            told.append(_one(world, rng, body, key))
    _calm(world)
    told.append(world.call(rng.randrange(N_INSTANCES), body, key))
    world.counts.update(code if "run " not in code else "answered" for code, _ in told)
    _check(world, number, body, told)


def _one(world: World, rng: random.Random, body: bytes, key: str):
    index = rng.randrange(N_INSTANCES)
    _disturb(world, rng)
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(world.call, index, body, key)
        _disturb_instance(world, rng, index)
        ended = call.result()
    if ended[1] is True and world.server.runs[body]:
        world.problems.append([body.decode(), "not run, but it ran", ended[0]])
    return ended


def _two_at_once(world: World, rng: random.Random, body: bytes, key: str):
    _disturb(world, rng)
    indexes = [rng.randrange(N_INSTANCES) for _ in range(2)]
    with ThreadPoolExecutor(2) as pool:
        calls = [pool.submit(world.call, index, body, key) for index in indexes]
        return [call.result() for call in calls]


def _disturb(world: World, rng: random.Random) -> None:
    world.kv.fault = rng.choice(KV_FAULTS)
    world.server.delay_s = rng.choice((0.0, 0.0, 0.05, 0.2, 1.7))
    _set_script(world, rng.choice(SCRIPTS))


def _disturb_instance(world: World, rng: random.Random, index: int) -> None:
    draw = rng.random()
    process = world.started[index]
    time.sleep(rng.choice((0.0, 0.005, 0.05)))
    if draw < KILL_SHARE:
        process.kill()
        process.wait()
        world.counts["instance-killed"] += 1
        world.kv.fault = ""
        world.started[index] = world.start(index)
        world.wait_ready([index])
    elif draw < KILL_SHARE + PAUSE_SHARE:
        process.send_signal(signal.SIGSTOP)
        time.sleep(rng.choice((0.1, 2.0)))
        process.send_signal(signal.SIGCONT)
        world.counts["instance-paused"] += 1
    if world.server.script == "refuse":
        time.sleep(0.05)
        _set_script(world, "whole")


def _set_script(world: World, script: str) -> None:
    was_refusing = world.server.script == "refuse"
    if script == "refuse" and not was_refusing:
        world.server.pause()
    if was_refusing and script != "refuse":
        world.server.resume()
    world.server.script = script


def _calm(world: World) -> None:
    _set_script(world, "whole")
    world.server.delay_s = 0.0
    world.kv.fault = ""


def _check(world: World, number: int, body: bytes, told) -> None:
    n_runs = world.server.runs[body]
    world.counts[f"runs_{n_runs}"] += 1
    if n_runs > 1:
        world.problems.append([number, f"{n_runs} runs"])
    wanted = f"run 1 of {body.decode()}"
    for code, _ in told:
        if code.startswith("run ") and code != wanted:
            world.problems.append([number, "answer", code])


@click.command()
@click.option("--n", "n_schedules", default=500, help="Schedules.")
@click.option("--seed", default=0, help="Number of the first schedule.")
@click.option("--limit-s", default=400.0, help="Stop after this time.")
def main(n_schedules: int, seed: int, limit_s: float) -> None:
    """Run schedules over sockets."""
    started_at_s = time.monotonic()
    world = World(seed)
    n_done = 0
    try:
        for number in range(seed, seed + n_schedules):
            if time.monotonic() - started_at_s > limit_s:
                break
            run_schedule(world, number)
            n_done += 1
    finally:
        world.stop()
    report = {
        "n_schedules": n_done,
        "first_seed": seed,
        "n_broken": len(world.problems),
        "broken": world.problems[:10],
        "counts": dict(sorted(world.counts.items())),
        "duration_s": round(time.monotonic() - started_at_s, 1),
    }
    click.echo(msgspec.json.format(msgspec.json.encode(report)))
    sys.exit(bool(world.problems) or n_done < n_schedules)


if __name__ == "__main__":
    main()
