"""The platform's settings file of a process."""

import tomllib
from pathlib import Path
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

#: Environment variable with the path of the settings file.
PATH_VARIABLE = "BUCKTHORNROCK_NODE_FILE"


class SettingsUnreadable(NamedTuple):
    """The settings file can't be read, or a field is missing or of a wrong type."""

    path: str
    reason: str

    code = "settings-unreadable"


class Listen(msgspec.Struct, rename="camel"):
    """IP:PORT of each listening socket."""

    front: str
    ready_addr: str
    #: Present only if the role serves the peers' address.
    control_addr: str = ""


class Limits(msgspec.Struct, rename="camel"):
    """What the machine gives to the process."""

    memory_mb: int
    max_fds: int


class Bounds(msgspec.Struct, rename="camel"):
    """Time bounds that the platform sets."""

    drain_ms: float
    grace_s: float
    config_ms: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    lease_ms: float
    #: How long requests may begin on replaced weights.
    version_ms: float


class Store(msgspec.Struct, rename="camel"):
    """The platform's key-value store."""

    addr: str
    ttl_min_ms: int


class NodeSettings(msgspec.Struct, rename="camel"):
    """The fields that the product uses; others are ignored."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seeds: list[str]
    listen: Listen
    limits: Limits
    bounds: Bounds
    platform: Store
    zones: dict[str, str] = {}
    #: Where the settings were read from.
    path: str = ""


def load_node_settings(path: str) -> Result[NodeSettings, SettingsUnreadable]:
    """Read and check the settings file."""
    try:
        document = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        return Error(SettingsUnreadable(path, str(error)))
    try:
        return Ok(msgspec.convert({**document, "path": path}, NodeSettings))
    except msgspec.ValidationError as error:
        return Error(SettingsUnreadable(path, str(error)))
