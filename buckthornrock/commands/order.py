"""``buckthornrock order``: say what one engine is to have."""

import sys
from collections.abc import Callable

import click
import msgspec
import urllib3

from .instances_http import TIMEOUT_S, operator_options

EXIT_REFUSED = 1
EXIT_UNDECIDED = 2


@click.group()
def order() -> None:
    """Order an engine to load weights or an adapter, or to change its role.

    The order becomes part of the placement document, which the engine's leader
    carries out. Exits with 0 if it was accepted, with 1 if it was refused and with 2
    if nothing is known of it; it may then be given again.
    """


def _common(command: Callable) -> Callable:
    command = click.option("--json", "as_json", is_flag=True, help="Print JSON.")(
        command
    )
    return click.argument("engine")(operator_options(command))


@order.command()
@_common
@click.option("--model", required=True, help="The model to load.")
@click.option("--weights", required=True, help="The version of its weights.")
def load(
    engine: str,
    model: str,
    weights: str,
    addresses: tuple[str, ...],
    key: str,
    as_json: bool,
) -> None:
    """Have ENGINE load weights."""
    body = {
        "kind": "load",
        "upstream_id": engine,
        "model": model,
        "weights_version": weights,
    }
    _send(addresses, key, body, as_json)


@order.command()
@_common
@click.option("--adapter", required=True, help="The adapter to load.")
def adapter(
    engine: str, adapter: str, addresses: tuple[str, ...], key: str, as_json: bool
) -> None:
    """Have ENGINE load an adapter."""
    body = {"kind": "adapter", "upstream_id": engine, "adapter": adapter}
    _send(addresses, key, body, as_json)


@order.command()
@_common
@click.option("--role", required=True, help="The role to take.")
def role(
    engine: str, role: str, addresses: tuple[str, ...], key: str, as_json: bool
) -> None:
    """Have ENGINE take a role."""
    _send(
        addresses, key, {"kind": "role", "upstream_id": engine, "role": role}, as_json
    )


def _send(
    addresses: tuple[str, ...], key: str, body: dict[str, str], as_json: bool
) -> None:
    response = _first_answer(addresses, key, body)
    if response is None:
        click.echo("no instance answered; the order may be given again", err=True)
        sys.exit(EXIT_UNDECIDED)
    answer = msgspec.json.decode(response.data)
    if as_json:
        click.echo(msgspec.json.encode(answer))
    elif response.status == 200:
        click.echo(f"accepted as version {answer['version']} of the placement")
    else:
        click.echo(f"{answer['code']}: {answer['details']}", err=True)
    if response.status != 200:
        is_refused = answer.get("not_run") is True
        sys.exit(EXIT_REFUSED if is_refused else EXIT_UNDECIDED)


def _first_answer(
    addresses: tuple[str, ...], key: str, body: dict[str, str]
) -> urllib3.BaseHTTPResponse | None:
    http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    headers = {"Authorization": f"Bearer {key}"}
    raw = msgspec.json.encode(body)
    # An order states what is wanted, so giving it to a second instance is harmless.
    for address in addresses:
        url = f"http://{address}/v1/orders"
        try:
            return http.request("POST", url, body=raw, headers=headers)
        except urllib3.exceptions.HTTPError:
            continue
    return None
