"""Loads the platform's settings file of a process."""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..conf.decoding import MISSING_KEY, WRONG_TYPE, Problem
from ..conf.loading import UNREADABLE

#: Environment variable with the path of the settings file.
PATH_VARIABLE = "BUCKTHORNROCK_NODE_FILE"


class SettingsUnreadable(NamedTuple):
    """The settings file has problems; all of them are listed."""

    path: str
    problems: tuple[Problem, ...]

    code = "settings-unreadable"

    @property
    def reason(self) -> str:
        """All problems in one line."""
        return "; ".join(
            f"{problem.path}: {problem.found}, {problem.hint}"
            for problem in self.problems
        )


class Listen(msgspec.Struct, rename="camel"):
    """IP:PORT of each listening socket."""

    front: str
    ready_addr: str
    #: Set only if the role of the process listens for peers.
    control_addr: str = ""


class Bounds(msgspec.Struct, rename="camel", omit_defaults=True):
    """Time bounds that the platform sets."""

    drain_ms: float
    grace_s: float
    config_ms: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    lease_ms: float
    #: Time for which requests may still start on replaced weights.
    version_ms: float
    #: Window, relative and absolute excess of the bound on client accounts. Without a
    #: window no quota is in force.
    quota_window_s: float = 0.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0


class Store(msgspec.Struct, rename="camel"):
    """The platform's key-value store."""

    addr: str
    ttl_min_ms: int


class NodeSettings(msgspec.Struct, rename="camel"):
    """The fields that the router uses; all others are ignored."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seeds: list[str]
    listen: Listen
    bounds: Bounds
    platform: Store
    zones: dict[str, str] = {}
    #: Path of the file that the settings were read from.
    path: str = ""
    #: Names of the fields in the file that the router doesn't know.
    ignored_fields: tuple[str, ...] = ()


#: Fields that are not in the file but added when it is loaded.
_ADDED = {"path", "ignoredFields"}


def load_node_settings(path: str) -> Result[NodeSettings, SettingsUnreadable]:
    """Read and check the settings file."""
    try:
        document = tomllib.loads(Path(path).read_text())
    except OSError as error:
        problem = Problem(UNREADABLE, "$", str(error), "give a readable file")
        return Error(SettingsUnreadable(path, (problem,)))
    except ValueError as error:
        problem = Problem(UNREADABLE, "$", str(error), "write valid TOML")
        return Error(SettingsUnreadable(path, (problem,)))
    problems = tuple(_problems(document, NodeSettings, "$"))
    if problems:
        return Error(SettingsUnreadable(path, problems))
    known = {field.encode_name for field in msgspec.structs.fields(NodeSettings)}
    ignored = tuple(sorted(document.keys() - (known - _ADDED)))
    added = {"path": path, "ignoredFields": ignored}
    return Ok(msgspec.convert({**document, **added}, NodeSettings))


def _problems(value: object, shape: type, path: str) -> Iterator[Problem]:
    """Yield a problem for every field that is missing or has a wrong type."""
    if not isinstance(value, dict):
        yield Problem(WRONG_TYPE, path, type(value).__name__, "a table is expected")
        return
    for field in msgspec.structs.fields(shape):
        name = field.encode_name
        if name not in value:
            if field.required:
                hint = "this key is required"
                yield Problem(MISSING_KEY, f"{path}.{name}", "nothing", hint)
            continue
        yield from _field_problems(value[name], field.type, f"{path}.{name}")


def _field_problems(value: object, shape: type, path: str) -> Iterator[Problem]:
    if isinstance(shape, type) and issubclass(shape, msgspec.Struct):
        yield from _problems(value, shape, path)
        return
    try:
        msgspec.convert(value, shape)
    except msgspec.ValidationError as error:
        yield Problem(WRONG_TYPE, path, str(error), "see the platform's page")
