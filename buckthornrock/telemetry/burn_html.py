"""Renders a burn report as one self-contained HTML page with SVG charts."""

from html import escape

from .burn_report import Burn, BurnReport, ClassBurn
from .burn_text import coverage_lines, record_lines, show_duration

WIDTH = 720
HEIGHT = 120
BAR_HEIGHT = 18
N_ACCOUNTS_SHOWN = 40
#: Burn rate at which the bar of a client account fills the chart's width.
FULL_BURN = 10.0

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2em auto; max-width: 60em;
  padding: 0 1em; color: #1c2430; }
h1 { font-size: 1.5em; } h2 { font-size: 1.15em; margin-top: 2em; }
table { border-collapse: collapse; width: 100%; }
td, th { padding: .25em .6em; text-align: right; border-bottom: 1px solid #dde2ea; }
td:first-child, th:first-child, td:nth-child(2), th:nth-child(2) { text-align: left; }
pre { background: #f4f6f9; padding: .6em; overflow-x: auto; font-size: 13px; }
.warning { background: #fdf1d8; padding: .4em .8em; }
.spent { color: #a61b1b; font-weight: 600; }
svg { display: block; max-width: 100%; }
.good { fill: #8fb8de; } .bad { fill: #c0392b; } .axis { stroke: #8a94a3; }
text { font-size: 12px; fill: #4a5565; }
"""


def render_html(report: BurnReport, generated_at: str) -> str:
    """Return the complete page; ``generated_at`` is shown as its time of creation."""
    warnings = "".join(
        f'<p class="warning">{escape(line)}</p>' for line in coverage_lines(report)
    )
    classes = "".join(_class_section(found, report) for found in report.classes)
    n_instances = len(report.coverage)
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f"<title>Service-level burn</title><style>{_STYLE}</style></head><body>"
        "<h1>Service-level burn</h1>"
        f"<p>{escape(generated_at)}; {n_instances} instances; objective "
        f"{report.objective:.1%} on time; short window "
        f"{show_duration(report.short_ms)}, long window "
        f"{show_duration(report.long_ms)}. A burn of 1 spends the error budget exactly "
        f"within the long window.</p>{warnings}{classes}"
        f"<h2>Client accounts, most burn first</h2>{_account_chart(report.accounts)}"
        f"{_account_table(report.accounts)}</body></html>"
    )


def _class_section(found: ClassBurn, report: BurnReport) -> str:
    burn = found.burn
    worst = "".join(
        f"<details><summary>{escape(_summary(record))}</summary>"
        f"<pre>{escape(chr(10).join(record_lines(record)))}</pre></details>"
        for record in found.worst
    )
    heading = f"{burn.work_class} (rank {burn.rank}, profile {burn.profile})"
    return (
        f"<section><h2>{escape(heading)}</h2><p>{_class_sentence(found)}</p>"
        f"{_series_chart(found, report)}"
        f"<h3>Slowest requests that were not on time</h3>{worst or '<p>None.</p>'}"
        "</section>"
    )


def _class_sentence(found: ClassBurn) -> str:
    burn = found.burn
    style = ' class="spent"' if burn.budget_left <= 0 else ""
    return (
        f"Target {show_duration(burn.target_ms)}; first token p50 "
        f"{found.ttft_p50_ms:.0f} ms, p99 {found.ttft_p99_ms:.0f} ms. "
        f"{burn.n_long} requests, {burn.n_long_bad} not on time. Burn "
        f"{burn.burn_short:.2f} (short), {burn.burn_long:.2f} (long). "
        f"<span{style}>Error budget left: {burn.budget_left:.0%}; exhausted: "
        f"{_exhausted_text(burn)}.</span>"
    )


def _summary(record: object) -> str:
    return (
        f"{record.request_id}: {record.client_account}, {record.outcome}, "
        f"{show_duration(record.total_ms or 0.0)}"
    )


def _series_chart(found: ClassBurn, report: BurnReport) -> str:
    if not found.series:
        return ""
    span_ms = max(row[0] for row in found.series) + report.slot_ms
    highest = max(row[1] for row in found.series)
    width = WIDTH * report.slot_ms / span_ms
    bars = "".join(_slot_bars(row, span_ms, highest, width) for row in found.series)
    return (
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT + 20}" width="{WIDTH}" role="img" '
        f'aria-label="Requests over time, those not on time in red">{bars}'
        f'<line class="axis" x1="0" y1="{HEIGHT}" x2="{WIDTH}" y2="{HEIGHT}"/>'
        f'<text x="0" y="{HEIGHT + 15}">{show_duration(span_ms)} ago</text>'
        f'<text x="{WIDTH}" y="{HEIGHT + 15}" text-anchor="end">now; tallest bar '
        f"{highest:.0f} requests in {show_duration(report.slot_ms)}, red: not on time"
        f"</text></svg>"
    )


def _slot_bars(row: list[float], span_ms: float, highest: float, width: float) -> str:
    age_ms, n, n_bad = row
    left = WIDTH - width - WIDTH * age_ms / span_ms
    bar = max(1.0, width - 1.0)
    tall, bad = (HEIGHT * count / highest for count in (n, n_bad))
    return (
        f'<rect class="good" x="{left:.1f}" y="{HEIGHT - tall:.1f}" '
        f'width="{bar:.1f}" height="{tall - bad:.1f}"/>'
        f'<rect class="bad" x="{left:.1f}" y="{HEIGHT - bad:.1f}" '
        f'width="{bar:.1f}" height="{bad:.1f}"/>'
    )


def _account_chart(accounts: list[Burn]) -> str:
    shown = [burn for burn in accounts[:N_ACCOUNTS_SHOWN] if burn.burn_long > 0]
    if not shown:
        return "<p>No account burns its budget.</p>"
    label_width = 260
    rows = "".join(
        _account_bar(index, burn, label_width) for index, burn in enumerate(shown)
    )
    height = BAR_HEIGHT * len(shown) + 4
    one = label_width + (WIDTH - label_width) / FULL_BURN
    return (
        f'<svg viewBox="0 0 {WIDTH} {height}" width="{WIDTH}" role="img" '
        f'aria-label="Burn of each account over the long window">{rows}'
        f'<line class="axis" x1="{one:.1f}" y1="0" x2="{one:.1f}" y2="{height}"/>'
        "</svg><p>The line marks a burn of 1; bars end at "
        f"{FULL_BURN:.0f}.</p>"
    )


def _account_bar(index: int, burn: Burn, label_width: int) -> str:
    top = BAR_HEIGHT * index
    share = min(1.0, burn.burn_long / FULL_BURN)
    style = "bad" if burn.burn_long > 1.0 else "good"
    label = f"{burn.client_account}, {burn.work_class}"
    return (
        f'<text x="0" y="{top + 13}">{escape(label)}</text>'
        f'<rect class="{style}" x="{label_width}" y="{top + 2}" '
        f'width="{(WIDTH - label_width) * share:.1f}" height="{BAR_HEIGHT - 4}"/>'
    )


def _account_table(accounts: list[Burn]) -> str:
    head = "".join(
        f"<th>{name}</th>"
        for name in (
            "client account",
            "work class",
            "requests",
            "not on time",
            "burn, short",
            "burn, long",
            "budget left",
            "exhausted",
        )
    )
    rows = "".join(_account_row(burn) for burn in accounts)
    return f"<table><tr>{head}</tr>{rows}</table>"


def _account_row(burn: Burn) -> str:
    style = ' class="spent"' if burn.budget_left <= 0 else ""
    cells = (
        escape(burn.client_account),
        escape(burn.work_class),
        str(burn.n_long),
        str(burn.n_long_bad),
        f"{burn.burn_short:.2f}",
        f"{burn.burn_long:.2f}",
        f"<span{style}>{burn.budget_left:.0%}</span>",
        _exhausted_text(burn),
    )
    return "<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def _exhausted_text(burn: Burn) -> str:
    if burn.budget_left <= 0.0:
        return "now"
    return show_duration(burn.exhausted_in_ms)
