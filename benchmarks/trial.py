"""One trial: a fleet of instances under one load, measured from outside."""

import subprocess
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
import urllib3

from buckthornrock.load.mixes import ACCOUNT_SHARES, MIXES
from buckthornrock.load.results import LoadResult, merge
from buckthornrock.standins.cache_oracle import CacheNote, replay

from .deployments import (
    DEPLOYMENTS,
    N_ENGINE_GROUPS,
    N_INSTANCES,
    OPERATOR_KEY,
    SCALED_PERIODS,
    Deployment,
    caller_key,
    profile,
)
from .processes import Processes
from .settings_files import (
    free_ports,
    instance_document,
    platform_document,
    standins_document,
)

N_LOAD_PROCESSES = 2
START_LIMIT_S = 30.0
#: Beyond these shares the bench itself may be what is measured.
MAX_HARNESS_SHARE = 0.6
MAX_MACHINE_SHARE = 0.8
MAX_LATENESS_MS = 100.0


HARNESS_PREFIXES = ("standins", "platform")


class _Summary(msgspec.Struct):
    engines: dict[str, dict[str, int]]
    cache_store: dict[str, int]
    trace: list[CacheNote]


class Trial(NamedTuple):
    """What one trial does.

    Parameters
    ----------
    extra : dict
        Settings of the instances, by section.
    rate_factor : float
        On the deployment's rate.
    periods : dict
        Periods at which the instances poll the engines, by section.
    """

    deployment: str
    label: str
    extra: dict
    seed: int = 1
    duration_ms: float = 15_000.0
    rate_factor: float = 1.0
    floods: tuple[dict, ...] = ()
    deferred_share: float = 0.0
    floor: float = 0.1
    n_instances: int = N_INSTANCES
    periods: dict = SCALED_PERIODS


class TrialResult(msgspec.Struct):
    """What one trial gave; ``objections`` say why it must not be compared."""

    deployment: str
    label: str
    seed: int
    scale: float
    load: LoadResult
    standins: dict
    shares: dict[str, float]
    memory_mb: dict[str, float]
    objections: list[str]


class World(NamedTuple):
    """Running processes of a trial."""

    processes: Processes
    instance_ports: list[dict[str, int]]
    standin_control_ports: list[int]
    platform_control_port: int
    http: urllib3.PoolManager


def run_trial(
    trial: Trial, during: Callable[[World], None] | None = None
) -> TrialResult:
    """Run ``trial``; ``during`` is called once the load has started."""
    deployment = DEPLOYMENTS[trial.deployment]
    processes = Processes()
    try:
        world = start_world(processes, trial, deployment)
        processes.begin_watch()
        loads = _start_load(world, trial, deployment)
        if during is not None:
            during(world)
        results = _await_load(processes, loads, trial)
        shares = processes.end_watch()
        standins = _summary(world)
        names = [f"instance-{i}" for i in range(trial.n_instances)]
        memory_mb = {name: round(processes.memory_mb(name), 1) for name in names}
    finally:
        processes.stop()
    load = merge(results)
    return TrialResult(
        deployment=trial.deployment,
        label=trial.label,
        seed=trial.seed,
        scale=deployment.scale,
        load=load,
        standins=standins,
        shares=shares,
        memory_mb=memory_mb,
        objections=_objections(shares, load),
    )


def start_world(processes: Processes, trial: Trial, deployment: Deployment) -> World:
    """Start stand-ins and instances, and apply the profile everywhere."""
    standin_ports, control_ports = {}, []
    for group in range(N_ENGINE_GROUPS):
        document = standins_document(deployment, trial.seed, group)
        ports = _start_standins(processes, f"standins-{group}", document)
        control_ports.append(ports.pop("control"))
        standin_ports |= ports
    platform_ports = _start_standins(processes, "platform", platform_document())
    numbers = free_ports(3 * trial.n_instances)
    instance_ports = [
        dict(
            zip(("entry", "operator", "wire"), numbers[3 * i : 3 * i + 3], strict=True)
        )
        for i in range(trial.n_instances)
    ]
    store = f"127.0.0.1:{standin_ports['cache_store']}"
    for index in range(trial.n_instances):
        document = instance_document(
            index,
            deployment,
            standin_ports,
            platform_ports,
            instance_ports,
            _extra_settings(trial, store),
        )
        path = processes.write(f"instance-{index}.json", document)
        processes.start(f"instance-{index}", "buckthornrock", "serve", path)
    http = urllib3.PoolManager(retries=False, timeout=5.0)
    world = World(
        processes, instance_ports, control_ports, platform_ports["control"], http
    )
    _apply_profile(world, profile(trial.deployment, trial.floor))
    return world


def operate(world: World, index: int, method: str, path: str, body: object = None):
    """Call one instance's operator port; None if it does not answer."""
    url = f"http://127.0.0.1:{world.instance_ports[index]['operator']}{path}"
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    raw = msgspec.json.encode(body) if body is not None else None
    try:
        return world.http.request(method, url, body=raw, headers=headers)
    except urllib3.exceptions.HTTPError:
        return None


def _extra_settings(trial: Trial, store: str) -> dict:
    """Join periods and extra settings; "CACHE_STORE" becomes the store's address."""
    names = trial.periods.keys() | trial.extra.keys()
    joined = {
        name: trial.periods.get(name, {}) | trial.extra.get(name, {}) for name in names
    }
    return {
        name: {k: store if v == "CACHE_STORE" else v for k, v in section.items()}
        for name, section in joined.items()
    }


def _start_standins(processes: Processes, name: str, document: dict) -> dict:
    path = processes.write(f"{name}.json", document)
    process = processes.start(name, "buckthornrock.standins", path)
    return msgspec.json.decode(process.stdout.readline())


def _apply_profile(world: World, document: dict) -> None:
    give_up_at_s = time.monotonic() + START_LIMIT_S
    body = {"expected_version": 0, "profile": document}
    path = "/v1/profiles/default"
    _wait(lambda: _is_ready(world, 0), give_up_at_s, world, "instance 0 is not up")
    _wait(
        lambda: operate(world, 0, "PUT", path, body).status in (200, 409),
        give_up_at_s,
        world,
        "the profile was not accepted",
    )
    for index in range(len(world.instance_ports)):
        _wait(
            lambda i=index: _has_profile(world, i),
            give_up_at_s,
            world,
            f"the profile is not in force at instance {index}",
        )


def _is_ready(world: World, index: int) -> bool:
    response = operate(world, index, "GET", "/readyz")
    return response is not None and response.status == 200


def _has_profile(world: World, index: int) -> bool:
    response = operate(world, index, "GET", "/statusz")
    if response is None or response.status != 200:
        return False
    return response.json()["profiles"].get("default", {}).get("version", 0) >= 1


def _wait(
    condition: Callable[[], bool], give_up_at_s: float, world: World, what: str
) -> None:
    while not condition():
        if time.monotonic() > give_up_at_s:
            logs = sorted(world.processes.directory.glob("*.err"))
            tails = "\n".join(log.read_text()[-500:] for log in logs)
            raise TimeoutError(f"{what}\n{tails}")
        time.sleep(0.1)


def _start_load(
    world: World, trial: Trial, deployment: Deployment
) -> list[subprocess.Popen]:
    members = MIXES[deployment.name].members
    document = {
        "targets": [f"http://127.0.0.1:{p['entry']}" for p in world.instance_ports],
        "mix": deployment.name,
        "rate_per_s": deployment.rate_per_s * trial.rate_factor,
        "duration_ms": trial.duration_ms,
        "keys": {f"{a}/{m}": caller_key(a, m) for a in ACCOUNT_SHARES for m in members},
        "seed": trial.seed,
        "floods": trial.floods,
        "deferred_share": trial.deferred_share,
        "n_shards": N_LOAD_PROCESSES,
        "start_at_wall_ms": int(time.time() * 1000) + 1_500,
        "note": trial.label,
    }
    path = world.processes.write("load.json", document)
    return [
        world.processes.start(
            f"load-{shard}",
            *("buckthornrock", "load", "run", path, "--quiet"),
            *("--shard", str(shard), "--out", _result_path(world.processes, shard)),
        )
        for shard in range(N_LOAD_PROCESSES)
    ]


def _result_path(processes: Processes, shard: int) -> str:
    return str(processes.directory / f"result-{shard}.json")


def _await_load(
    processes: Processes, loads: list[subprocess.Popen], trial: Trial
) -> list[LoadResult]:
    for load in loads:
        load.communicate(timeout=trial.duration_ms / 1000.0 + 60.0)
    paths = [Path(_result_path(processes, i)) for i in range(len(loads))]
    return [msgspec.json.decode(p.read_bytes(), type=LoadResult) for p in paths]


def _summary(world: World) -> dict:
    engines, traces, store = {}, [], {}
    for port in world.standin_control_ports:
        url = f"http://127.0.0.1:{port}/summary"
        raw = world.http.request("GET", url, timeout=20.0).data
        part = msgspec.json.decode(raw, type=_Summary)
        engines |= part.engines
        traces.append(part.trace)
        store = store or part.cache_store
    oracle = replay(traces)
    return {
        "engines": engines,
        "cache_store": store,
        "oracle": oracle.total._asdict(),
        "ideal_ttfts_ms": sorted(oracle.ideal_ttfts_ms),
    }


def _objections(shares: dict[str, float], load: LoadResult) -> list[str]:
    harness = {n: s for n, s in shares.items() if n.startswith(HARNESS_PREFIXES)}
    harness["load"] = load.processor_share
    objections = [
        f"{name} used {share:.2f} of a core"
        for name, share in harness.items()
        if share > MAX_HARNESS_SHARE
    ]
    if shares["machine"] > MAX_MACHINE_SHARE:
        objections.append(f"the machine was {shares['machine']:.0%} busy")
    if load.worst_lateness_ms > MAX_LATENESS_MS:
        objections.append(f"a request was sent {load.worst_lateness_ms:.0f} ms late")
    if load.n_skipped:
        objections.append(f"the load tool skipped {load.n_skipped} requests")
    return objections
