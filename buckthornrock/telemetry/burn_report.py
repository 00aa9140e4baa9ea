"""Merges the burn documents of several instances and computes burn rates."""

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from .burn import (
    N_WORST,
    UNITS_PER_MS,
    BurnClass,
    BurnDocument,
    BurnRow,
    new_histogram,
)
from .decisions import DecisionRecord


class Burn(NamedTuple):
    """Burn rate of one profile, work class and client account over the fleet.

    A burn rate of 1 spends the error budget exactly within the long window.

    Parameters
    ----------
    budget_left : float
        Share of the long window's error budget that is left; negative when it is
        overspent.
    exhausted_in_ms : float
        Time until the budget is spent at the short window's burn rate; infinite
        if that rate is 0, and 0 if the budget is already spent.
    """

    profile: str
    work_class: str
    rank: int
    client_account: str
    target_ms: float
    n_short: int
    n_long: int
    n_long_bad: int
    burn_short: float
    burn_long: float
    budget_left: float
    exhausted_in_ms: float


class ClassBurn(NamedTuple):
    """A work class over the fleet; ``series`` is as in :class:`.burn.BurnClass`."""

    burn: Burn
    ttft_p50_ms: float
    ttft_p99_ms: float
    series: list[list[float]]
    worst: list[DecisionRecord]


class Coverage(NamedTuple):
    """How far back one instance's counts reach.

    What lies before was lost when the instance's process was replaced, or was never
    counted.
    """

    instance_id: str
    covered_ms: float
    is_whole: bool


class BurnReport(NamedTuple):
    """Report over all instances that responded.

    Parameters
    ----------
    unreachable : tuple of str
        Operator addresses that did not respond; their counts are missing.
    """

    objective: float
    short_ms: float
    long_ms: float
    slot_ms: float
    classes: list[ClassBurn]
    accounts: list[Burn]
    coverage: list[Coverage]
    unreachable: tuple[str, ...]
    n_uncounted_accounts: int


class _Counts(NamedTuple):
    n_short: int = 0
    n_short_bad: int = 0
    n_long: int = 0
    n_long_bad: int = 0


def merge_documents(
    documents: list[BurnDocument], unreachable: Iterable[str]
) -> BurnReport:
    """Return the report of ``documents``, which must not be empty.

    Client accounts are sorted by burn rate, highest first.
    """
    first = documents[0]
    accounts = _accounts(documents, first)
    return BurnReport(
        objective=first.objective,
        short_ms=first.short_ms,
        long_ms=first.long_ms,
        slot_ms=first.slot_ms,
        classes=_classes(documents, accounts, first),
        accounts=accounts,
        coverage=[
            Coverage(d.instance_id, d.covered_ms, d.covered_ms >= d.long_ms)
            for d in documents
        ],
        unreachable=tuple(unreachable),
        n_uncounted_accounts=max(d.n_uncounted_accounts for d in documents),
    )


def _accounts(documents: list[BurnDocument], first: BurnDocument) -> list[Burn]:
    rows: dict[tuple[str, str, str], list[BurnRow]] = defaultdict(list)
    for document in documents:
        for row in document.rows:
            rows[row.profile, row.work_class, row.client_account].append(row)
    burns = [
        _burn(parts[0], key[2], [_row_counts(p) for p in parts], first)
        for key, parts in rows.items()
    ]
    return sorted(burns, key=lambda b: (-b.burn_short, -b.burn_long, b.client_account))


def _classes(
    documents: list[BurnDocument], accounts: list[Burn], first: BurnDocument
) -> list[ClassBurn]:
    parts: dict[tuple[str, str], list[BurnClass]] = defaultdict(list)
    rows: dict[tuple[str, str], list[BurnRow]] = defaultdict(list)
    for document in documents:
        for found in document.classes:
            parts[found.profile, found.work_class].append(found)
        for row in document.rows:
            rows[row.profile, row.work_class].append(row)
    burns = [
        _class_burn(found, rows[key], first)
        for key, found in parts.items()
        if rows[key]
    ]
    return sorted(burns, key=lambda c: (c.burn.profile, c.burn.rank))


def _class_burn(
    parts: list[BurnClass], rows: list[BurnRow], first: BurnDocument
) -> ClassBurn:
    total = new_histogram()
    for part in parts:
        total.add(HdrHistogram.decode(part.ttft.encode()))
    worst = [record for part in parts for record in part.worst]
    worst.sort(key=lambda record: -(record.total_ms or 0.0))
    return ClassBurn(
        burn=_burn(rows[0], "(all)", [_row_counts(r) for r in rows], first),
        ttft_p50_ms=total.get_value_at_percentile(50.0) / UNITS_PER_MS,
        ttft_p99_ms=total.get_value_at_percentile(99.0) / UNITS_PER_MS,
        series=_merged_series(parts),
        worst=worst[:N_WORST],
    )


def _merged_series(parts: list[BurnClass]) -> list[list[float]]:
    # Slots of different instances are not aligned; they are less than a slot apart.
    sums: dict[float, list[float]] = {}
    for part in parts:
        for age_ms, n, n_bad in part.series:
            row = sums.setdefault(age_ms, [age_ms, 0.0, 0.0])
            row[1] += n
            row[2] += n_bad
    return [sums[age_ms] for age_ms in sorted(sums, reverse=True)]


def _row_counts(row: BurnRow) -> _Counts:
    return _Counts(row.n_short, row.n_short_bad, row.n_long, row.n_long_bad)


def _burn(
    row: BurnRow, account: str, counts: list[_Counts], first: BurnDocument
) -> Burn:
    total = _Counts(*(sum(column) for column in zip(*counts, strict=True)))
    allowed = 1.0 - first.objective
    burn_short = _share(total.n_short_bad, total.n_short) / allowed
    burn_long = _share(total.n_long_bad, total.n_long) / allowed
    budget_left = 1.0 - burn_long
    return Burn(
        profile=row.profile,
        work_class=row.work_class,
        rank=row.rank,
        client_account=account,
        target_ms=row.target_ms,
        n_short=total.n_short,
        n_long=total.n_long,
        n_long_bad=total.n_long_bad,
        burn_short=burn_short,
        burn_long=burn_long,
        budget_left=budget_left,
        exhausted_in_ms=_exhausted_in_ms(budget_left, burn_short, first.long_ms),
    )


def _exhausted_in_ms(budget_left: float, burn_short: float, long_ms: float) -> float:
    if budget_left <= 0.0:
        return 0.0
    if burn_short <= 0.0:
        return math.inf
    return budget_left * long_ms / burn_short


def _share(n: int, n_all: int) -> float:
    return n / n_all if n_all else 0.0
