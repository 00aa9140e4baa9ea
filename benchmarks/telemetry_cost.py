"""What decision records and burn counts cost: time a request, memory a record.

``python -m benchmarks.telemetry_cost`` prints both at several sizes.
"""

import time
import tracemalloc

import click

from buckthornrock.routing import RouteChoice
from buckthornrock.telemetry.burn import BurnConfig, BurnCounters, new_histogram
from buckthornrock.telemetry.decisions import Decisions, RequestFacts, open_decisions

SIZES = (1_000, 10_000, 100_000)
KEY_SIZES = (64, 256, 512)


@click.command()
def main() -> None:
    """Measure."""
    click.echo("| requests | records kept | us a request | MB of records |")
    click.echo("|---|---|---|---|")
    for n_requests in SIZES:
        click.echo(_time_row(n_requests))
    click.echo("\n| accounts | KB of counts | KB an account |\n|---|---|---|")
    for n_keys in KEY_SIZES:
        n_bytes = _weigh(lambda n=n_keys: _burn_with(n))
        kb = n_bytes / 1024.0
        click.echo(f"| {n_keys} | {kb:.0f} | {kb / n_keys:.2f} |")
    click.echo(f"\nA histogram: {_weigh(new_histogram) / 1024.0:.0f} KB")
    n_bytes = _weigh(lambda: _filled(1_024, _decisions(1_024)))
    click.echo(f"1,024 records: {n_bytes / 1024.0:.0f} KB")


def _time_row(n_requests: int) -> str:
    n_kept = min(1_024, n_requests)
    started_s = time.process_time()
    _filled(n_requests, _decisions(n_kept))
    us = 1e6 * (time.process_time() - started_s) / n_requests
    n_bytes = _weigh(lambda: _filled(n_requests, _decisions(n_kept)))
    return f"| {n_requests} | {n_kept} | {us:.1f} | {n_bytes / 1e6:.2f} |"


def _decisions(n_kept: int) -> Decisions:
    burn = BurnCounters(BurnConfig(), 0.0)
    return open_decisions(n_kept, lambda: 0, burn.add)


def _filled(n_requests: int, decisions: Decisions) -> Decisions:
    for index in range(n_requests):
        _one_request(decisions, f"{index:024x}", index * 10.0)
    return decisions


def _one_request(decisions: Decisions, request_id: str, now_ms: float) -> None:
    decisions.begin(_facts(request_id, "account-0"), now_ms)
    decisions.on_admitted(request_id, now_ms + 1.0)
    decisions.on_choice(request_id, _choice(), 9, now_ms + 1.0)
    decisions.on_first_token(request_id, now_ms + 90.0)
    decisions.end(request_id, "whole", "", 16, now_ms + 400.0)


def _burn_with(n_keys: int) -> BurnCounters:
    burn = BurnCounters(BurnConfig(), 0.0)
    decisions = open_decisions(1, lambda: 0, burn.add)
    for index in range(n_keys):
        decisions.begin(_facts(str(index), f"account-{index}"), 0.0)
        decisions.end(str(index), "whole", "", 16, 1.0)
    return burn


def _facts(request_id: str, account: str) -> RequestFacts:
    return RequestFacts(
        request_id, account, "m", "default", "blurb", 0, False, 1_300.0, 1e9, 4_096
    )


def _choice() -> RouteChoice:
    terms = (("queue", 10.0), ("prefill", 20.0), ("transit", 1.0), ("peers", 2.0))
    return RouteChoice(
        "engine-1", "127.0.0.1:1", "i", "w1", "aa", 1_000, 900, 33.0, terms
    )


def _weigh(build: object) -> int:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


if __name__ == "__main__":
    main()
