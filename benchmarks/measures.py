"""Runs the experiments and writes the tables of docs/MEASURES.md.

``python -m benchmarks.measures`` runs all; ``--only NAME`` runs one experiment;
``--seeds 1,2,3`` repeats each with several seeds. The page's text between the two
marks is replaced; the rest of it stays.
"""

import time
from pathlib import Path

import click
import msgspec

from buckthornrock.load.compare import compare

from . import figures
from .deployments import DEPLOYMENTS, N_INSTANCES, SCALED_PERIODS
from .experiments import Experiment, all_experiments
from .trial import TrialResult, run_trial

PAGE = Path(__file__).parent.parent / "docs" / "MEASURES.md"
RESULTS = Path(__file__).parent.parent / "results"
BEGIN = "<!-- measures: begin -->"
END = "<!-- measures: end -->"
COLUMNS = (
    "run",
    "seed",
    "hit rate",
    "wasted",
    "duplicated",
    "urgent p50",
    "urgent p99",
    "urgent on time",
    "deferrable p99",
    "deferrable on time",
    "urgent small / large on time",
    "not whole",
)


@click.command()
@click.option("--only", help="Run this experiment only; the page is not changed.")
@click.option("--seeds", default="1", help="Comma-separated seeds.")
def main(only: str | None, seeds: str) -> None:
    """Run the experiments."""
    chosen = [int(seed) for seed in seeds.split(",")]
    sections = []
    for experiments in zip(*(all_experiments(s) for s in chosen), strict=True):
        if only and experiments[0].name != only:
            continue
        sections.append(_run(experiments))
        click.echo(sections[-1])
    if not only:
        _write_page("\n".join(sections), seeds)


def _run(experiments: tuple[Experiment, ...]) -> str:
    started_at_s = time.monotonic()
    results = [
        _run_one(experiment.name, trial)
        for experiment in experiments
        for trial in experiment.trials
    ]
    taken_s = time.monotonic() - started_at_s
    return _section(experiments[0], results, taken_s)


def _run_one(name: str, trial: object) -> TrialResult:
    result = run_trial(trial)
    RESULTS.mkdir(exist_ok=True)
    file_name = f"{name}-{trial.label}-{trial.seed}.json".replace(" ", "-")
    (RESULTS / file_name).write_bytes(msgspec.json.encode(result))
    click.echo(f"{name}: {' | '.join(_cells(result))}", err=True)
    return result


def _section(experiment: Experiment, results: list[TrialResult], taken_s: float) -> str:
    lines = [
        f"### {experiment.name}: {experiment.question}",
        "",
        "| " + " | ".join(COLUMNS) + " |",
        "|" + "---|" * len(COLUMNS),
        *("| " + " | ".join(_cells(r)) + " |" for r in results),
        "",
        *_bound_lines(results),
        *_ratio_lines(results),
        *_share_lines(results),
        f"Taken: {taken_s:.0f} s for {len(results)} runs.",
        "",
    ]
    return "\n".join(lines)


def _cells(result: TrialResult) -> list[str]:
    cache = figures.cache_figures(result)
    ranks = figures.by_rank(result)
    urgent, deferrable = ranks[min(ranks)], ranks[max(ranks)]
    sizes = figures.by_size(result, min(ranks))
    n_sent = sum(g.n_sent for g in result.load.groups)
    n_whole = figures.n_by_kind(result, "whole")
    mark = " (not compared)" if result.objections else ""
    return [
        result.label + mark,
        str(result.seed),
        f"{cache['hit_rate']:.3f}",
        f"{cache['wasted']:.3f}",
        f"{cache['duplicated']:.3f}",
        f"{figures.ttft_ms(urgent, 50.0):.0f} ms",
        f"{figures.ttft_ms(urgent, 99.0):.0f} ms",
        f"{figures.on_time(urgent):.3f}",
        f"{figures.ttft_ms(deferrable, 99.0):.0f} ms",
        f"{figures.on_time(deferrable):.3f}",
        f"{figures.on_time(sizes['small']):.3f} / "
        f"{figures.on_time(sizes['large']):.3f}",
        f"{n_sent - n_whole} of {n_sent}{_kinds(result)}",
    ]


def _kinds(result: TrialResult) -> str:
    kinds = ("wrong", "incomplete", "refused", "broken", "unfinished", "skipped")
    counts = {kind: figures.n_by_kind(result, kind) for kind in kinds}
    shown = ", ".join(f"{n} {kind}" for kind, n in counts.items() if n)
    return f" ({shown})" if shown else ""


def _bound_lines(results: list[TrialResult]) -> list[str]:
    last = results[-1]
    cache = figures.cache_figures(last)
    return [
        f'Oracle, in the stand-ins, for the run "{last.label}": one cache that pools '
        f"all engines hits {cache['pooled_hit_rate']:.3f}; with it and no queue the "
        f"first token takes p50 {figures.ideal_ttft_ms(last, 50.0):.0f} ms, p99 "
        f"{figures.ideal_ttft_ms(last, 99.0):.0f} ms, which no choice of an engine can "
        f"beat.",
        "",
    ]


def _ratio_lines(results: list[TrialResult]) -> list[str]:
    """Compare the last label with the others, over seeds that may be compared."""
    usable = [r for r in results if not r.objections]
    labels = list(dict.fromkeys(r.label for r in results))
    loads = {la: [r.load for r in usable if r.label == la] for la in labels}
    lines = []
    for label in labels[:-1]:
        ratios = compare(loads[label], loads[labels[-1]])
        if ratios.is_error() or min(r.n_pairs for r in ratios.ok) < 2:
            continue
        shown = [
            f"{r.name} {r.ratio:.2f} [{r.low:.2f}, {r.high:.2f}]"
            for r in ratios.ok
            if r.name.endswith(("p99_ms", "on_time"))
        ]
        lines.append(f"{labels[-1]} over {label}: {'; '.join(shown)}.")
    return [*lines, ""] if lines else []


def _share_lines(results: list[TrialResult]) -> list[str]:
    lines = ["Share of a core, by process (highest of the runs): " + _shares(results)]
    for result in results:
        if result.objections:
            reasons = "; ".join(result.objections)
            lines.append(
                f"Not compared: {result.label}, seed {result.seed}: {reasons}."
            )
    return [*lines, ""]


def _shares(results: list[TrialResult]) -> str:
    parts = {
        "stand-ins": _highest(results, "standins"),
        "platform": max(r.shares["platform"] for r in results),
        "load": max(r.load.processor_share for r in results),
        "instance": _highest(results, "instance"),
    }
    machine = max(r.shares["machine"] for r in results)
    shown = ", ".join(f"{name} {share:.2f}" for name, share in parts.items())
    return f"{shown}; whole machine {machine:.0%}."


def _highest(results: list[TrialResult], prefix: str) -> float:
    shares = [s for r in results for n, s in r.shares.items() if n.startswith(prefix)]
    return max(shares)


def _write_page(text: str, seeds: str) -> None:
    scales = ", ".join(
        f"{d.name} {d.n_engines} engines at {d.scale:.2f} of the real prefill rate, "
        f"{d.rate_per_s:g} requests a second"
        for d in DEPLOYMENTS.values()
    )
    head = (
        f"Made by `python -m benchmarks.measures --seeds {seeds}`. "
        f"{N_INSTANCES} router processes; {scales}. Engines are polled for load every "
        f"{SCALED_PERIODS['upstreams']['poll_period_ms']} ms and for events every "
        f"{SCALED_PERIODS['routing']['event_period_ms']} ms.\n\n"
    )
    page = PAGE.read_text()
    before, _, rest = page.partition(BEGIN)
    after = rest.partition(END)[2]
    PAGE.write_text(f"{before}{BEGIN}\n{head}{text}\n{END}{after}")


if __name__ == "__main__":
    main()
