"""Reads the same path from the operator ports of several instances at once."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import click
import urllib3

TIMEOUT_S = 5.0
N_AT_ONCE = 16


class Responses(NamedTuple):
    """Bodies by address, and the addresses that gave none."""

    bodies: dict[str, bytes]
    unreachable: tuple[str, ...]


def operator_options(command: Callable, is_required: bool = True) -> Callable:
    """Add the options that say where the instances are and how to authenticate."""
    command = click.option(
        "--operator",
        "addresses",
        multiple=True,
        required=is_required,
        metavar="IP:PORT",
        help="An instance's operator port; may be given several times.",
    )(command)
    return click.option(
        "--key",
        envvar="BUCKTHORNROCK_OPERATOR_KEY",
        required=is_required,
        help="The operator's key; also read from BUCKTHORNROCK_OPERATOR_KEY.",
    )(command)


def read_all(addresses: tuple[str, ...], key: str, path: str) -> Responses:
    """Ask every instance; a response with another status than 200 has no body."""
    http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S, maxsize=N_AT_ONCE)
    headers = {"Authorization": f"Bearer {key}"}

    def read(address: str) -> urllib3.BaseHTTPResponse | None:
        try:
            return http.request("GET", f"http://{address}{path}", headers=headers)
        except urllib3.exceptions.HTTPError:
            return None

    with ThreadPoolExecutor(N_AT_ONCE) as threads:
        responses = dict(zip(addresses, threads.map(read, addresses), strict=True))
    bodies = {
        a: r.data for a, r in responses.items() if r is not None and r.status == 200
    }
    # An instance that knows nothing of the matter was reached all the same.
    reached = {
        a for a, r in responses.items() if r is not None and r.status in (200, 404)
    }
    return Responses(bodies, tuple(a for a in addresses if a not in reached))
