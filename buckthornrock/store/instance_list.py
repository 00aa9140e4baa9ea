"""Reads the platform's list of live and leaving instances, which lags behind."""

from collections.abc import Callable
from typing import Literal

import msgspec
import urllib3
from expression import Error, Result

from ..conf.settings import InstanceListSettings
from ..runtime.decoding import decode_json
from .errors import ListUnavailable

TIMEOUT_MS = 1_000


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance as the platform lists it.

    ``address`` is the one at which other instances reach it.
    """

    id: str
    address: str
    failure_domain: str = ""
    state: Literal["live", "leaving", "gone"] = "live"


class ListedUpstream(msgspec.Struct, frozen=True):
    """One upstream as the platform lists it."""

    id: str
    state: str = "live"


class InstanceList(msgspec.Struct, frozen=True):
    """The whole list."""

    instances: tuple[ListedInstance, ...] = ()
    upstreams: tuple[ListedUpstream, ...] = ()


def open_instance_list(
    settings: InstanceListSettings,
) -> Callable[[], Result[InstanceList, ListUnavailable]]:
    """Return a function that reads the list at ``settings.url``."""
    pool = urllib3.PoolManager(
        retries=False, timeout=urllib3.Timeout(total=TIMEOUT_MS / 1000.0)
    )

    def read() -> Result[InstanceList, ListUnavailable]:
        try:
            response = pool.request("GET", settings.url)
        except urllib3.exceptions.HTTPError as error:
            return Error(ListUnavailable(type(error).__name__))
        if response.status != 200:
            return Error(ListUnavailable(f"status {response.status}"))
        return decode_json(response.data, InstanceList).map_error(
            lambda _: ListUnavailable("malformed answer")
        )

    return read
