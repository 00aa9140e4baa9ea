"""The figures of a trial, as the tables of docs/MEASURES.md show them."""

from buckthornrock.load.results import UNITS_PER_MS, Group, decode_histogram
from buckthornrock.load.results import histogram as empty_histogram

from .trial import TrialResult


def cache_figures(result: TrialResult) -> dict[str, float]:
    """Return shares of all prompt tokens, as the engines counted them."""
    rows = list(result.standins["engines"].values())
    n_prompt = max(1, sum(row["n_prompt_tokens"] for row in rows))

    oracle = result.standins["oracle"]
    return {
        "hit_rate": sum(row["n_hit_tokens"] for row in rows) / n_prompt,
        "wasted": oracle["n_wasted_tokens"] / n_prompt,
        "duplicated": oracle["n_duplicated_tokens"] / n_prompt,
        "pooled_hit_rate": oracle["n_pooled_hit_tokens"] / n_prompt,
    }


def ttft_ms(groups: list[Group], percentile: float) -> float:
    """Return a percentile of the time to first token over several groups."""
    total = empty_histogram()
    for group in groups:
        total.add(decode_histogram(group.ttft))
    return total.get_value_at_percentile(percentile) / UNITS_PER_MS


def on_time(groups: list[Group]) -> float:
    """Return the share of requests that were answered whole and on time."""
    n_sent = sum(group.n_sent for group in groups)
    return sum(group.n_on_time for group in groups) / n_sent if n_sent else 0.0


def by_rank(result: TrialResult) -> dict[int, list[Group]]:
    """Return the groups of each rank."""
    ranks = sorted({group.rank for group in result.load.groups})
    return {r: [g for g in result.load.groups if g.rank == r] for r in ranks}


def by_size(result: TrialResult, rank: int) -> dict[str, list[Group]]:
    """Return the groups of one rank by size of account."""
    groups = by_rank(result)[rank]
    return {s: [g for g in groups if g.account_size == s] for s in ("small", "large")}


def n_by_kind(result: TrialResult, kind: str) -> int:
    """Return how many requests ended in one way."""
    return sum(group.n_by_kind.get(kind, 0) for group in result.load.groups)


def ideal_ttft_ms(result: TrialResult, percentile: float) -> float:
    """Return a percentile of the bound: pooled cache and no queue."""
    values = result.standins["ideal_ttfts_ms"]
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(len(values) * percentile / 100.0))]
