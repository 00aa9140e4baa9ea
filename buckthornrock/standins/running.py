"""Starts a set of stand-ins in this process."""

from collections.abc import Callable
from typing import NamedTuple

from ..httpd import Exchange, HttpServer, start_server
from .cache_oracle import CacheTrace
from .cache_store import CacheStoreStandin, start_cache_store
from .engine import EngineStandin, start_engine
from .instance_list import InstanceListStandin, start_instance_list
from .kv import KvStandin, start_kv
from .parameters import StandinParameters
from .service import ServiceStandin, start_service


class Standins(NamedTuple):
    """Running stand-ins.

    Parameters
    ----------
    ports : dict of str to int
        Port of each part by its name or id.
    summary : callable
        Returns what was counted, as a JSON object.
    stop : callable
        Stops every server.
    """

    ports: dict[str, int]
    summary: Callable[[], dict]
    stop: Callable[[], None]


def start_standins(parameters: StandinParameters) -> Standins:
    """Start every part that ``parameters`` names.

    The control port answers ``GET /summary`` with what was counted.
    """
    trace = CacheTrace()
    kv = KvStandin()
    servers: dict[str, HttpServer] = {}
    engines: dict[str, EngineStandin] = {}
    for row in parameters.engines:
        engines[row.id] = EngineStandin(row.parameters, row.id, trace)
        servers[row.id] = start_engine(engines[row.id], row.port)
    for row in parameters.services:
        servers[row.id] = start_service(ServiceStandin(row.service), row.port)
    if parameters.kv_port >= 0:
        servers["kv"] = start_kv(kv, parameters.kv_port)
    if parameters.instance_list_port >= 0:
        standin = InstanceListStandin()
        servers["instance_list"] = start_instance_list(
            standin, parameters.instance_list_port
        )
    store = CacheStoreStandin(parameters.cache_store, trace)
    if parameters.cache_store_port >= 0:
        servers["cache_store"] = start_cache_store(store, parameters.cache_store_port)

    def summary() -> dict:
        return _summary(engines, store, trace) | {"n_kv_calls": kv.n_calls}

    def handle(exchange: Exchange) -> None:
        exchange.respond_json(200, summary())

    control = start_server("127.0.0.1", parameters.control_port, handle, n_threads=2)
    servers["control"] = control

    def stop() -> None:
        for server in servers.values():
            server.stop()

    ports = {name: server.port for name, server in servers.items()}
    return Standins(ports, summary, stop)


def _summary(
    engines: dict[str, EngineStandin], store: CacheStoreStandin, trace: CacheTrace
) -> dict:
    rows = {name: engine.counters()._asdict() for name, engine in engines.items()}
    return {
        "engines": rows,
        "cache_store": {
            "n_blocks": len(store.store),
            "n_put_blocks": store.n_put_blocks,
            "n_got_blocks": store.n_got_blocks,
            "n_refused": store.n_refused,
        },
        "trace": list(trace.notes),
        "n_dropped_notes": trace.n_dropped,
    }
