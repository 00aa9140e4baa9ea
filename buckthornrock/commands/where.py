"""``buckthornrock where``: where a request would go if it arrived now."""

import sys
from collections.abc import Iterator
from urllib.parse import urlencode

import click
import msgspec
import urllib3
from expression import Error, Ok, Result

from ..gateway.explanation_document import (
    WHERE_PATH,
    Blocker,
    Explanation,
    Option,
    ServiceExplanation,
)

TIMEOUT_S = 5.0
#: Largest document that is read, far above one of several hundred upstreams.
MAX_DOCUMENT_BYTES = 4_194_304
#: Smaller terms are left out of the text; most are 0.
MIN_SHOWN_MS = 0.05


@click.command()
@click.argument("host")
@click.argument("path")
@click.option(
    "--instance",
    required=True,
    metavar="IP:PORT",
    help="The instance's metrics address.",
)
@click.option("--account", help="The client account; absent: without an API key.")
@click.option("--model", help="The prompt's model; absent: a request without a prompt.")
@click.option("--tokens", metavar="PROMPT,OUTPUT", help="Tokens, as a client states.")
@click.option(
    "--part",
    "parts",
    multiple=True,
    metavar="ID:TOKENS",
    help="A part of the prompt; may be given several times, the last is not shared.",
)
@click.option("--deadline-ms", type=float, help="The client's deadline.")
@click.option("--json", "as_json", is_flag=True, help="Print the document itself.")
def where(
    host: str,
    path: str,
    instance: str,
    account: str | None,
    model: str | None,
    tokens: str | None,
    parts: tuple[str, ...],
    deadline_ms: float | None,
    as_json: bool,
) -> None:
    """Show where a request for PATH at HOST would go now, and why.

    The instance decides as it would on a real request, but reserves and sends nothing.
    Exits with 1 if the instance gives no answer.
    """
    query = {
        "host": host,
        "path": path,
        "account": account,
        "model": model,
        "tokens": tokens,
        "parts": ",".join(parts) or None,
        "deadline_ms": deadline_ms,
    }
    answer = _read(instance, {k: v for k, v in query.items() if v is not None})
    if answer.is_error():
        click.echo(f"{instance}: {answer.error}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(answer.ok)).decode())
        return
    for line in explanation_lines(answer.ok):
        click.echo(line)


def explanation_lines(explanation: Explanation) -> Iterator[str]:
    """Return the text of an explanation."""
    ages = explanation.ages
    store = "never" if ages.store_ms is None else f"{ages.store_ms:.0f} ms ago"
    yield (
        f"instance {explanation.instance_id} of {explanation.n_instances}, "
        f"configuration {explanation.configuration_version}, confirmed by the store "
        f"{store}, oldest digest {ages.digests_ms:.0f} ms"
    )
    yield f"route: {explanation.route or 'none'}"
    yield from _blocker_lines(explanation.blockers, "")
    for service in explanation.services:
        yield from _service_lines(service)
    for found in explanation.quarantined_parts:
        name = f" ({found.part_id})" if found.part_id else ""
        probe_s = found.probe_in_ms / 1000.0
        yield f"quarantined: part {found.part}{name}, probed in {probe_s:.1f} s"
    for subject in explanation.not_covered:
        yield f"not covered: {subject}"


def _service_lines(service: ServiceExplanation) -> Iterator[str]:
    share = "" if service.share == 1.0 else f" ({service.share:.0%} of the route)"
    yield f"service {service.service}{share}: {_outcome_text(service)}"
    yield from _blocker_lines(service.blockers, "  ")
    for option in service.options:
        yield f"  {_option_text(option)}"


def _outcome_text(service: ServiceExplanation) -> str:
    waiting = f"{service.n_waiting} waiting"
    if service.outcome == "placed":
        expected = service.expected_ms
        time = "" if expected is None else f", expected in {expected:.0f} ms"
        return f"placed at {service.upstream_id}{time}; {waiting}"
    wait = "without limit" if service.wait_ms is None else f"{service.wait_ms:.0f} ms"
    if service.outcome == "queued":
        return f"queued, expected wait {wait}; {waiting}"
    reason = f": {service.reason}" if service.reason else ""
    return f"refused{reason}; {waiting}"


def _option_text(option: Option) -> str:
    mark = "*" if option.is_chosen else " "
    known = (
        f"{option.n_requests} of {option.n_slots} slots, "
        f"{option.queued_prefill_ms:.0f} ms prefill queued, "
        f"{option.n_memory_tokens} tokens, {_report_text(option)}"
    )
    name = f"{mark} {option.upstream_id} ({option.failure_domain})"
    if option.terms is None:
        back = option.returns_in_ms
        until = "" if back is None else f" for {back:.0f} ms"
        return f"{name} out: {option.obstacle}{until}; {known}"
    terms = " + ".join(
        f"{figure:.1f} {term.removesuffix('_ms').replace('_', ' ')}"
        for term, figure in msgspec.structs.asdict(option.terms).items()
        if abs(figure) >= MIN_SHOWN_MS
    )
    cached = f", {option.n_cached_tokens} tokens cached"
    source = f", fetches from {option.kv_source}" if option.kv_source else ""
    costs = f"{option.estimate_ms:.1f} ms" + (f" = {terms}" if terms else "")
    return f"{name} {costs}{cached}{source}; {known}"


def _report_text(option: Option) -> str:
    if option.report_age_ms is None:
        return "no load report"
    return f"load report {option.report_age_ms:.0f} ms old"


def _blocker_lines(blockers: list[Blocker], indent: str) -> Iterator[str]:
    for blocker in blockers:
        after = blocker.retry_after_ms
        retry = "" if after is None else f", again in {after:.0f} ms"
        code = f"{blocker.status} {blocker.code}"
        yield f"{indent}blocked ({code}): {blocker.reason}{retry}"


def _read(instance: str, query: dict[str, object]) -> Result[Explanation, str]:
    http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    url = f"http://{instance}{WHERE_PATH}?{urlencode(query, encoding='latin-1')}"
    try:
        response = http.request("GET", url, preload_content=False)
        body = response.read(MAX_DOCUMENT_BYTES)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        return Error(f"not reached ({type(error).__name__})")
    if response.status != 200:
        return Error(f"status {response.status}: {body[:500].decode(errors='replace')}")
    try:
        return Ok(msgspec.json.decode(body, type=Explanation))
    except ValueError:
        return Error("no explanation; is this the metrics address of a newer build?")
