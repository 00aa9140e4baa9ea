"""Compares two sets of results by ratios with confidence intervals."""

import math
from statistics import mean, stdev
from typing import NamedTuple

from expression import Error, Ok, Result

from .errors import NotComparable
from .results import PERCENTILES, UNITS_PER_MS, LoadResult, decode_histogram

#: Two-sided 95% quantiles of Student's t by degrees of freedom.
T_QUANTILES = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)
T_QUANTILE_MANY = 2.0


class Ratio(NamedTuple):
    """Mean ratio of B to A over paired seeds, with its 95% interval."""

    name: str
    ratio: float
    low: float
    high: float
    n_pairs: int

    @property
    def is_clear(self) -> bool:
        """Whether the interval excludes 1."""
        return self.low > 1.0 or self.high < 1.0


def compare(a: list[LoadResult], b: list[LoadResult]) -> Result[list, NotComparable]:
    """Return the ratios of ``b`` to ``a``, paired by seed."""
    by_seed = {result.seed: result for result in b}
    pairs = [(r, by_seed[r.seed]) for r in a if r.seed in by_seed]
    if not pairs:
        return Error(NotComparable("no seed is in both"))
    if any(x.mix != y.mix or x.rate_per_s != y.rate_per_s for x, y in pairs):
        return Error(NotComparable("mix or rate differ"))
    rows = [(figures(x), figures(y)) for x, y in pairs]
    names = [n for n in rows[0][0] if all(n in x and n in y for x, y in rows)]
    return Ok([_ratio(n, [(x[n], y[n]) for x, y in rows]) for n in names])


def figures(result: LoadResult) -> dict[str, float]:
    """Return the figures of a result that are compared, by name."""
    found: dict[str, float] = {}
    for work_class in sorted({group.work_class for group in result.groups}):
        groups = [g for g in result.groups if g.work_class == work_class]
        total = decode_histogram("")
        for group in groups:
            total.add(decode_histogram(group.ttft))
        for percentile in PERCENTILES:
            value_ms = total.get_value_at_percentile(percentile) / UNITS_PER_MS
            found[f"{work_class}.ttft_p{percentile:g}_ms"] = value_ms
        n_sent = sum(g.n_sent for g in groups)
        found[f"{work_class}.on_time"] = sum(g.n_on_time for g in groups) / n_sent
    return found


def _ratio(name: str, pairs: list[tuple[float, float]]) -> Ratio:
    logs = [math.log(y / x) for x, y in pairs if x > 0 and y > 0]
    if not logs:
        return Ratio(name, math.nan, 0.0, math.inf, 0)
    centre = mean(logs)
    if len(logs) < 2:
        return Ratio(name, math.exp(centre), 0.0, math.inf, len(logs))
    n_free = len(logs) - 1
    is_tabled = n_free <= len(T_QUANTILES)
    quantile = T_QUANTILES[n_free - 1] if is_tabled else T_QUANTILE_MANY
    half = quantile * stdev(logs) / math.sqrt(len(logs))
    low, high = math.exp(centre - half), math.exp(centre + half)
    return Ratio(name, math.exp(centre), low, high, len(logs))
