"""The file that says which stand-ins run in one process."""

from pathlib import Path
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..conf.decoding import Problem, decode
from .cache_store import CacheStoreParameters
from .engine_parameters import EngineParameters


class EngineRow(NamedTuple):
    """One engine; port 0 takes a free one."""

    id: str
    port: int = 0
    parameters: EngineParameters = EngineParameters()


class ServiceRow(NamedTuple):
    """One server of a plain service."""

    id: str
    service: str
    port: int = 0


class StandinParameters(NamedTuple):
    """All stand-ins of a process; a negative port leaves a part out."""

    engines: tuple[EngineRow, ...] = ()
    services: tuple[ServiceRow, ...] = ()
    kv_port: int = -1
    instance_list_port: int = -1
    cache_store_port: int = -1
    cache_store: CacheStoreParameters = CacheStoreParameters()
    control_port: int = 0


def load_parameters(path: str) -> Result[StandinParameters, list[Problem]]:
    """Return the parameters in the JSON file at ``path``, or all its problems."""
    problems: list[Problem] = []
    document = msgspec.json.decode(Path(path).read_bytes())
    parameters = decode(document, StandinParameters, "$", problems)
    return Error(problems) if problems else Ok(parameters)
