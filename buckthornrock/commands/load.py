"""``buckthornrock load``: send traffic and compare results."""

import os
import sys
from pathlib import Path

import click
import msgspec

from ..load.compare import compare, figures
from ..load.results import Collector, LoadResult
from ..load.runner import run_load
from ..load.spec import load_spec
from ..standins.engine_parameters import output_token


@click.group()
def load() -> None:
    """Send open-loop traffic and compare what came of it."""


@load.command()
@click.argument("spec_path")
@click.option("--seed", type=int, help="Use this seed instead of the file's.")
@click.option("--shard", type=int, help="Send this shard instead of the file's.")
@click.option("--out", "out_path", help="Write the result to this JSON file.")
@click.option("--weights-version", default="w1", help="Of the expected answers.")
@click.option("--quiet", is_flag=True, help="Show no progress.")
def run(
    spec_path: str,
    seed: int | None,
    shard: int | None,
    out_path: str | None,
    weights_version: str,
    quiet: bool,
) -> None:
    """Run the load that the JSON file SPEC_PATH describes.

    Exits with 1 if an answer was wrong or incomplete.
    """
    loaded = load_spec(spec_path)
    if loaded.is_error():
        click.echo(f"{loaded.error.path}: {loaded.error.reason}", err=True)
        sys.exit(2)
    changes = {"seed": seed, "shard": shard}
    chosen = {name: value for name, value in changes.items() if value is not None}
    spec = msgspec.structs.replace(loaded.ok, **chosen)

    def expected(prompt: str, n_tokens: int) -> str:
        return "".join(
            output_token(weights_version, prompt, i) for i in range(n_tokens)
        )

    result = run_load(spec, expected, _ignore if quiet else _show)
    if out_path:
        Path(out_path).write_bytes(msgspec.json.encode(result))
    _print_result(result)
    sys.stdout.flush()
    # Requests that were given up would otherwise hold the process until they end.
    os._exit(1 if _n_bad(result) else 0)


@load.command(name="compare")
@click.argument("a_paths")
@click.argument("b_paths")
def compare_results(a_paths: str, b_paths: str) -> None:
    """Compare results B_PATHS with A_PATHS, each a comma-separated list of files.

    Results are paired by seed; a ratio above 1 means that B's figure is larger.
    """
    ratios = compare(_read(a_paths), _read(b_paths))
    if ratios.is_error():
        click.echo(f"not comparable: {ratios.error.reason}", err=True)
        sys.exit(2)
    for ratio in ratios.ok:
        mark = "" if ratio.is_clear else "  (not clear)"
        interval = f"[{ratio.low:.3f}, {ratio.high:.3f}]"
        click.echo(f"{ratio.name:32} {ratio.ratio:8.3f} {interval:>18}{mark}")


def _read(paths: str) -> list[LoadResult]:
    return [
        msgspec.json.decode(Path(path).read_bytes(), type=LoadResult)
        for path in paths.split(",")
    ]


def _ignore(elapsed_s: float, collector: Collector) -> None:
    """Show nothing."""


def _show(elapsed_s: float, collector: Collector) -> None:
    n_open = collector.n_sent - collector.n_ended
    click.echo(
        f"{elapsed_s:6.1f} s  sent {collector.n_sent}  open {n_open}  "
        f"not whole {collector.n_failed}  "
        f"ttft p99 {collector.ttft_ms(99.0):.0f} ms",
        err=True,
    )


def _print_result(result: LoadResult) -> None:
    for group in result.groups:
        click.echo(
            f"{group.work_class:12} {group.account_size:6} sent {group.n_sent:6} "
            f"on time {group.n_on_time:6} {group.n_by_kind} {group.n_by_code}"
        )
    for name, value in figures(result).items():
        click.echo(f"{name:32} {value:10.3f}")
    click.echo(
        f"skipped {result.n_skipped}  worst lateness {result.worst_lateness_ms} ms  "
        f"processor share {result.processor_share:.2f}"
    )


def _n_bad(result: LoadResult) -> int:
    bad = ("wrong", "incomplete")
    return sum(group.n_by_kind.get(kind, 0) for group in result.groups for kind in bad)
