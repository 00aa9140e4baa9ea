"""Metrics in memory, rendered in the Prometheus text format."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from .metrics import CATALOGUE, Metrics

PREFIX = "buckthornrock"
#: Upper bounds of the histogram buckets.
BUCKETS_MS = (1, 2, 5, 10, 25, 50, 100, 200, 350, 500, 1_000, 2_000, 5_000, 10_000)
#: Labels per metric; further labels are counted together as ``OTHER_LABEL``.
MAX_LABELS = 200
OTHER_LABEL = "other"


class Exposition(NamedTuple):
    """In-memory metrics, and a function that renders them."""

    metrics: Metrics
    render: Callable[[], str]


class _Histogram:
    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.total_ms = 0.0

    def add(self, value_ms: float) -> None:
        self.counts[bisect_left(BUCKETS_MS, value_ms)] += 1
        self.total_ms += value_ms


def open_exposition() -> Exposition:
    """Return an exposition without values."""
    values: dict[str, dict[str, float]] = defaultdict(dict)
    histograms: dict[str, dict[str, _Histogram]] = defaultdict(dict)

    def incr(name: str, n: int = 1, label: str = "") -> None:
        label = _bounded_label(values[_checked_name(name)], label)
        values[name][label] = values[name].get(label, 0) + n

    def timing(name: str, duration_ms: float, label: str = "") -> None:
        label = _bounded_label(histograms[_checked_name(name)], label)
        histograms[name].setdefault(label, _Histogram()).add(duration_ms)

    def gauge(name: str, value: float, label: str = "") -> None:
        label = _bounded_label(values[_checked_name(name)], label)
        values[name][label] = value

    def render() -> str:
        lines: list[str] = []
        for name in sorted(values):
            lines += _render_values(name, values[name])
        for name in sorted(histograms):
            lines += _render_histograms(name, histograms[name])
        return "\n".join(lines) + "\n"

    return Exposition(Metrics(incr, timing, gauge), render)


def _checked_name(name: str) -> str:
    if name not in CATALOGUE:
        raise KeyError(name)
    return name


def _bounded_label(series: dict, label: str) -> str:
    label = _escaped(label)
    is_known = label in series or len(series) < MAX_LABELS
    return label if is_known else OTHER_LABEL


def _escaped(label: str) -> str:
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _render_values(name: str, series: dict[str, float]) -> list[str]:
    kind, meaning = CATALOGUE[name]
    full_name = f"{PREFIX}_{name}"
    lines = [f"# HELP {full_name} {meaning}", f"# TYPE {full_name} {kind}"]
    return lines + [
        f'{full_name}{{label="{label}"}} {value:g}'
        for label, value in sorted(series.items())
    ]


def _render_histograms(name: str, series: dict[str, _Histogram]) -> list[str]:
    full_name = f"{PREFIX}_{name}"
    lines = [
        f"# HELP {full_name} {CATALOGUE[name][1]}",
        f"# TYPE {full_name} histogram",
    ]
    for label, histogram in sorted(series.items()):
        n_cumulative = 0
        for bound, count in zip((*BUCKETS_MS, "+Inf"), histogram.counts, strict=True):
            n_cumulative += count
            bucket = f'label="{label}",le="{bound}"'
            lines.append(f"{full_name}_bucket{{{bucket}}} {n_cumulative}")
        lines.append(f'{full_name}_sum{{label="{label}"}} {histogram.total_ms:g}')
        lines.append(f'{full_name}_count{{label="{label}"}} {n_cumulative}')
    return lines
