"""Formats a burn report and decision records as text."""

import math

from .burn_report import Burn, BurnReport, ClassBurn
from .decisions import AttemptRecord, DecisionRecord

N_ACCOUNTS_SHOWN = 20
_HEADER = (
    f"{'client account':18} {'work class':14} {'sent':>7} {'late':>6} "
    f"{'burn':>6} {'burn':>6} {'left':>6} {'exhausted':>10}\n"
    f"{'':18} {'':14} {'(long)':>7} {'(long)':>6} {'short':>6} {'long':>6}"
)


def report_lines(report: BurnReport) -> list[str]:
    """Return the report as lines of text."""
    lines = [
        f"Objective: {report.objective:.1%} on time. Windows: short "
        f"{show_duration(report.short_ms)}, long {show_duration(report.long_ms)}.",
        *coverage_lines(report),
    ]
    for found in report.classes:
        lines += ["", *_class_lines(found)]
    lines += ["", *_HEADER.split("\n")]
    lines += [_burn_line(burn) for burn in report.accounts[:N_ACCOUNTS_SHOWN]]
    n_more = len(report.accounts) - N_ACCOUNTS_SHOWN
    if n_more > 0:
        lines.append(f"and {n_more} more accounts with less burn")
    return lines


def coverage_lines(report: BurnReport) -> list[str]:
    """Return lines that say which counts are missing from the report."""
    lines = [f"NOT REACHED: {address}" for address in report.unreachable]
    for coverage in report.coverage:
        if coverage.is_whole:
            continue
        lines.append(
            f"{coverage.instance_id} counts only the last "
            f"{show_duration(coverage.covered_ms)}; what an instance before it in its "
            f"place counted is lost"
        )
    if report.n_uncounted_accounts:
        lines.append(
            f"{report.n_uncounted_accounts} accounts are counted together as (others)"
        )
    return lines


def record_lines(record: DecisionRecord) -> list[str]:
    """Return one decision record as lines of text."""
    owner = record.client_account + (f"/{record.member}" if record.member else "")
    kind = "deferrable" if record.is_deferrable else "urgent"
    lines = [
        f"request {record.request_id} of {owner}: profile {record.profile}, "
        f"work class {record.work_class} (rank {record.rank}, {kind}), "
        f"prompt of {record.n_prompt_bytes} bytes",
        f"admission: {_admission_text(record)}",
    ]
    for number, attempt in enumerate(record.attempts, start=1):
        lines += _attempt_lines(number, attempt)
    lines.append(_outcome_line(record))
    return lines


def show_duration(duration_ms: float) -> str:
    """Return a duration in the largest unit of which it has at least one."""
    if math.isinf(duration_ms):
        return "never"
    for unit, unit_ms in (("h", 3_600_000.0), ("min", 60_000.0), ("s", 1_000.0)):
        if duration_ms >= unit_ms:
            return f"{duration_ms / unit_ms:.3g} {unit}"
    return f"{duration_ms:.0f} ms"


def _class_lines(found: ClassBurn) -> list[str]:
    burn = found.burn
    lines = [
        f"profile {burn.profile}, work class {burn.work_class} (rank {burn.rank}): "
        f"target {show_duration(burn.target_ms)}; first token p50 "
        f"{found.ttft_p50_ms:.0f} ms, p99 {found.ttft_p99_ms:.0f} ms",
        f"  {burn.n_long} requests, {burn.n_long_bad} not on time; burn "
        f"{burn.burn_short:.2f} short, {burn.burn_long:.2f} long; budget left "
        f"{burn.budget_left:.0%}; exhausted {_exhausted_text(burn)}",
    ]
    lines += [f"  worst: {_worst_text(record)}" for record in found.worst]
    return lines


def _worst_text(record: DecisionRecord) -> str:
    ttft = "none" if record.ttft_ms is None else f"{record.ttft_ms:.0f} ms"
    where = ", ".join(attempt.upstream_id for attempt in record.attempts) or "nowhere"
    return (
        f"{record.request_id} {record.client_account} {record.outcome}: first token "
        f"{ttft}, end {show_duration(record.total_ms or 0.0)}, sent to {where}"
    )


def _burn_line(burn: Burn) -> str:
    return (
        f"{burn.client_account:18} {burn.work_class:14} {burn.n_long:7} "
        f"{burn.n_long_bad:6} {burn.burn_short:6.2f} {burn.burn_long:6.2f} "
        f"{burn.budget_left:6.0%} {_exhausted_text(burn):>10}"
    )


def _exhausted_text(burn: Burn) -> str:
    if burn.budget_left <= 0.0:
        return "now"
    return show_duration(burn.exhausted_in_ms)


def _admission_text(record: DecisionRecord) -> str:
    if record.admission_wait_ms is None:
        return "not admitted"
    return f"waited {record.admission_wait_ms:.1f} ms"


def _attempt_lines(number: int, attempt: AttemptRecord) -> list[str]:
    terms = ", ".join(f"{name} {ms:.0f}" for name, ms in attempt.terms_ms.items())
    came = "no token" if attempt.ttft_ms is None else f"{attempt.ttft_ms:.0f} ms"
    n_missed = attempt.n_prompt_tokens - attempt.n_hit_tokens
    failure = f"; failed: {attempt.failure}" if attempt.failure else ""
    return [
        f"attempt {number} after {attempt.chosen_at_ms:.0f} ms: {attempt.upstream_id} "
        f"of {attempt.n_candidates}; expected {attempt.n_hit_tokens} cached and "
        f"{n_missed} to compute of {attempt.n_prompt_tokens} prompt tokens, "
        f"{attempt.n_import_blocks} blocks to import",
        f"  first token estimated {attempt.estimated_ttft_ms:.0f} ms ({terms}), "
        f"came {came}{failure}",
    ]


def _outcome_line(record: DecisionRecord) -> str:
    if not record.outcome:
        return "outcome: still running"
    ttft = "none" if record.ttft_ms is None else f"{record.ttft_ms:.0f} ms"
    states = {True: "on time", False: "not on time", None: "not counted"}
    not_run = f", not run: {record.not_run}" if record.not_run else ""
    return (
        f"outcome: {record.outcome}{not_run}; first token {ttft}, end "
        f"{record.total_ms:.0f} ms, {record.n_tokens} tokens; "
        f"{states[record.is_on_time]} (target "
        f"{show_duration(record.ttft_target_ms)})"
    )
