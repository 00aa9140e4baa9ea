"""Counts and percentiles of a run, as a JSON result that can be merged."""

import resource
import threading
import time
from collections import Counter, defaultdict

import msgspec
from hdrh.histogram import HdrHistogram

from .client import Outcome

#: Histograms hold tenths of a millisecond up to ten minutes.
UNITS_PER_MS = 10
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0)


class Group(msgspec.Struct):
    """Outcomes of one work class of one size of account.

    ``ttft`` is an encoded histogram of the time to first token of whole answers.
    """

    work_class: str
    rank: int
    account_size: str
    n_sent: int = 0
    n_on_time: int = 0
    n_by_kind: dict[str, int] = {}
    n_by_code: dict[str, int] = {}
    ttft: str = ""


class LoadResult(msgspec.Struct):
    """The result of one process, or of several merged."""

    mix: str
    seed: int
    rate_per_s: float
    duration_ms: float
    groups: list[Group]
    on_time_by_account: dict[str, list[int]]
    n_skipped: int = 0
    worst_lateness_ms: float = 0.0
    processor_share: float = 0.0
    note: str = ""


class Collector:
    """Collects outcomes from many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._groups: dict[tuple[str, str], Group] = {}
        self._histograms: dict[tuple[str, str], HdrHistogram] = defaultdict(histogram)
        self._accounts: dict[str, Counter] = defaultdict(Counter)
        self._started_s = (time.monotonic(), _processor_s())
        self.n_sent = 0
        self.n_ended = 0
        self.n_failed = 0

    def note_sent(self) -> None:
        """Count a request that is on its way."""
        with self._lock:
            self.n_sent += 1

    def add(self, outcome: Outcome) -> None:
        """Count what became of a request."""
        work_class = outcome.arrival.work_class
        account = outcome.arrival.client_account
        key = (work_class.name, account.partition("-")[0])
        is_on_time = _is_on_time(outcome)
        with self._lock:
            self.n_ended += 1
            self.n_failed += outcome.kind != "whole"
            group = self._groups.setdefault(key, Group(key[0], work_class.rank, key[1]))
            group.n_sent += 1
            group.n_on_time += is_on_time
            _count(group.n_by_kind, outcome.kind)
            if outcome.code:
                _count(group.n_by_code, outcome.code)
            if outcome.kind == "whole":
                units = round(outcome.ttft_ms * UNITS_PER_MS)
                self._histograms[key].record_value(units)
            self._accounts[account].update(sent=1, on_time=int(is_on_time))

    def ttft_ms(self, percentile: float) -> float:
        """Return a percentile over all groups so far."""
        with self._lock:
            total = histogram()
            for part in self._histograms.values():
                total.add(part)
        return total.get_value_at_percentile(percentile) / UNITS_PER_MS

    def processor_share(self) -> float:
        """Return the share of one core that this process has used."""
        wall_s, used_s = self._started_s
        return (_processor_s() - used_s) / max(1e-9, time.monotonic() - wall_s)

    def groups(self) -> list[Group]:
        """Return all groups with their histograms encoded."""
        with self._lock:
            for key, group in self._groups.items():
                group.ttft = self._histograms[key].encode().decode()
            return sorted(self._groups.values(), key=lambda g: (g.rank, g.account_size))

    def on_time_by_account(self) -> dict[str, list[int]]:
        """Return, for each account, how many were sent and on time."""
        with self._lock:
            rows = sorted(self._accounts.items())
            return {name: [c["sent"], c["on_time"]] for name, c in rows}


def histogram() -> HdrHistogram:
    """Return an empty histogram."""
    return HdrHistogram(1, HIGHEST_MS * UNITS_PER_MS, SIGNIFICANT_DIGITS)


def decode_histogram(text: str) -> HdrHistogram:
    """Return the histogram that was encoded as ``text``."""
    return HdrHistogram.decode(text.encode()) if text else histogram()


def merge(results: list[LoadResult]) -> LoadResult:
    """Return one result for the shards of one run."""
    groups: dict[tuple[str, str], Group] = {}
    accounts: dict[str, list[int]] = {}
    for result in results:
        for group in result.groups:
            key = (group.work_class, group.account_size)
            old = groups.get(key)
            groups[key] = group if old is None else _merge_groups(old, group)
        for name, (n_sent, n_on_time) in result.on_time_by_account.items():
            old_sent, old_on_time = accounts.get(name, [0, 0])
            accounts[name] = [old_sent + n_sent, old_on_time + n_on_time]
    return msgspec.structs.replace(
        results[0],
        groups=list(groups.values()),
        on_time_by_account=accounts,
        n_skipped=sum(r.n_skipped for r in results),
        worst_lateness_ms=max(r.worst_lateness_ms for r in results),
        processor_share=max(r.processor_share for r in results),
    )


def _merge_groups(a: Group, b: Group) -> Group:
    total = decode_histogram(a.ttft)
    total.add(decode_histogram(b.ttft))
    return msgspec.structs.replace(
        a,
        n_sent=a.n_sent + b.n_sent,
        n_on_time=a.n_on_time + b.n_on_time,
        n_by_kind=dict(Counter(a.n_by_kind) + Counter(b.n_by_kind)),
        n_by_code=dict(Counter(a.n_by_code) + Counter(b.n_by_code)),
        ttft=total.encode().decode(),
    )


def _is_on_time(outcome: Outcome) -> bool:
    work_class = outcome.arrival.work_class
    taken_ms = outcome.total_ms if work_class.is_deferrable else outcome.ttft_ms
    return outcome.kind == "whole" and taken_ms <= work_class.on_time_ms


def _count(counts: dict[str, int], name: str) -> None:
    counts[name] = counts.get(name, 0) + 1


def _processor_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
