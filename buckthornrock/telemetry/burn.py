"""Counts behind the service-level burn rates of one instance, in bounded memory.

Each combination of profile, work class and client account has a ring buffer of time
slots. Time to first token goes into one histogram per profile and work class, because
a histogram per client account would not fit an instance's memory.
"""

import heapq
import threading
from array import array
from typing import NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from .decisions import DecisionRecord, RequestFacts

#: Name under which the client accounts beyond ``max_keys`` are counted together.
OTHER_ACCOUNTS = "(others)"
N_WORST = 5
UNITS_PER_MS = 10
HIGHEST_MS = 3_600_000


class BurnConfig(NamedTuple):
    """Objective and sizes of the counters.

    Parameters
    ----------
    objective : float
        Share of requests that has to be on time.
    slot_ms : float
        Length of a time slot.
    n_short_slots, n_slots : int
        Length of the short and of the long window, in slots.
    max_keys : int
        Largest number of profile, work class and account combinations with counts
        of their own.
    """

    objective: float = 0.95
    slot_ms: float = 10_000.0
    n_short_slots: int = 30
    n_slots: int = 360
    max_keys: int = 512


class BurnRow(msgspec.Struct):
    """Counts of one profile, work class and client account."""

    profile: str
    work_class: str
    rank: int
    client_account: str
    target_ms: float
    n_short: int
    n_short_bad: int
    n_long: int
    n_long_bad: int


class BurnClass(msgspec.Struct):
    """Histogram, time series and worst requests of a work class.

    ``series`` holds ``[age_ms, n, n_bad]`` of each slot that is not empty.
    """

    profile: str
    work_class: str
    rank: int
    ttft: str
    series: list[list[float]]
    worst: list[DecisionRecord]


class BurnDocument(msgspec.Struct):
    """An instance's response to ``GET /v1/burn``.

    ``covered_ms`` is how far back its counts reach, at most the long window.
    """

    instance_id: str
    objective: float
    slot_ms: float
    short_ms: float
    long_ms: float
    covered_ms: float
    rows: list[BurnRow]
    classes: list[BurnClass]
    n_uncounted_accounts: int = 0


class _SlotRing:
    """Ring buffer with counts of all and of late or failed requests per slot."""

    def __init__(self, n_slots: int) -> None:
        self._n_slots = n_slots
        self._counts = array("I", bytes(8 * n_slots))
        self._newest = 0

    def add(self, slot: int, is_bad: bool) -> None:
        self._advance(slot)
        at = 2 * (slot % self._n_slots)
        self._counts[at] += 1
        self._counts[at + 1] += is_bad

    def sums(self, slot: int, n_slots: int) -> tuple[int, int]:
        self._advance(slot)
        counts = [self._at(s) for s in range(slot - n_slots + 1, slot + 1)]
        return sum(n for n, _ in counts), sum(bad for _, bad in counts)

    def series(self, slot: int) -> list[tuple[int, int, int]]:
        self._advance(slot)
        slots = range(slot - self._n_slots + 1, slot + 1)
        rows = [(slot - s, *self._at(s)) for s in slots]
        return [row for row in rows if row[1]]

    def _at(self, slot: int) -> tuple[int, int]:
        at = 2 * (slot % self._n_slots)
        return self._counts[at], self._counts[at + 1]

    def _advance(self, slot: int) -> None:
        n_passed = min(slot - self._newest, self._n_slots)
        for passed in range(slot - n_passed + 1, slot + 1):
            at = 2 * (passed % self._n_slots)
            self._counts[at] = self._counts[at + 1] = 0
        self._newest = max(self._newest, slot)


class _RowCounts:
    def __init__(self, facts: RequestFacts, n_slots: int) -> None:
        self.facts = facts
        self.ring = _SlotRing(n_slots)


class _ClassCounts(_RowCounts):
    def __init__(self, facts: RequestFacts, n_slots: int) -> None:
        super().__init__(facts, n_slots)
        self.ttft = new_histogram()
        self.worst: list[tuple[float, float, str, DecisionRecord]] = []


class BurnCounters:
    """Counts requests that ended.

    Parameters
    ----------
    config : BurnConfig
        Objective and sizes.
    started_at_ms : float
        Monotonic time at which counting starts.
    """

    def __init__(self, config: BurnConfig, started_at_ms: float) -> None:
        self._config = config
        self._started_at_ms = started_at_ms
        self._lock = threading.Lock()
        self._rows: dict[tuple[str, str, str], _RowCounts] = {}
        self._classes: dict[tuple[str, str], _ClassCounts] = {}
        self._uncounted: set[str] = set()

    def add(self, facts: RequestFacts, record: DecisionRecord, now_ms: float) -> None:
        """Count a request, unless it was ended by its caller."""
        if record.is_on_time is None:
            return
        slot = self._slot(now_ms)
        is_bad = not record.is_on_time
        with self._lock:
            self._row(facts).ring.add(slot, is_bad)
            counts = self._class(facts)
            counts.ring.add(slot, is_bad)
            if record.ttft_ms is not None:
                counts.ttft.record_value(max(1, round(record.ttft_ms * UNITS_PER_MS)))
            if is_bad:
                self._record_worst(counts, record, now_ms)

    def document(self, instance_id: str, now_ms: float) -> BurnDocument:
        """Return all counts as they are at ``now_ms``."""
        config = self._config
        slot = self._slot(now_ms)
        long_ms = config.n_slots * config.slot_ms
        with self._lock:
            rows = [_row(key, row, slot, config) for key, row in self._rows.items()]
            classes = [
                self._class_document(key, counts, slot, now_ms)
                for key, counts in self._classes.items()
            ]
        return BurnDocument(
            instance_id=instance_id,
            objective=config.objective,
            slot_ms=config.slot_ms,
            short_ms=config.n_short_slots * config.slot_ms,
            long_ms=long_ms,
            covered_ms=min(long_ms, now_ms - self._started_at_ms),
            rows=rows,
            classes=classes,
            n_uncounted_accounts=len(self._uncounted),
        )

    def _slot(self, now_ms: float) -> int:
        return int(now_ms // self._config.slot_ms)

    def _row(self, facts: RequestFacts) -> _RowCounts:
        key = (facts.profile, facts.work_class, facts.client_account)
        row = self._rows.get(key)
        if row is not None:
            return row
        if len(self._rows) >= self._config.max_keys:
            self._uncounted.add(facts.client_account)
            key = (facts.profile, facts.work_class, OTHER_ACCOUNTS)
        return self._rows.setdefault(key, _RowCounts(facts, self._config.n_slots))

    def _class(self, facts: RequestFacts) -> _ClassCounts:
        key = (facts.profile, facts.work_class)
        counts = self._classes.get(key)
        if counts is None:
            counts = self._classes[key] = _ClassCounts(facts, self._config.n_slots)
        return counts

    def _record_worst(
        self, counts: _ClassCounts, record: DecisionRecord, now_ms: float
    ) -> None:
        self._drop_expired(counts, now_ms)
        entry = (record.total_ms or 0.0, now_ms, record.request_id, record)
        if len(counts.worst) < N_WORST:
            heapq.heappush(counts.worst, entry)
        else:
            heapq.heappushpop(counts.worst, entry)

    def _drop_expired(self, counts: _ClassCounts, now_ms: float) -> None:
        long_ms = self._config.n_slots * self._config.slot_ms
        counts.worst = [e for e in counts.worst if now_ms - e[1] <= long_ms]
        heapq.heapify(counts.worst)

    def _class_document(
        self, key: tuple[str, str], counts: _ClassCounts, slot: int, now_ms: float
    ) -> BurnClass:
        self._drop_expired(counts, now_ms)
        slot_ms = self._config.slot_ms
        return BurnClass(
            profile=key[0],
            work_class=key[1],
            rank=counts.facts.rank,
            ttft=counts.ttft.encode().decode(),
            series=[
                [age * slot_ms, n, bad] for age, n, bad in counts.ring.series(slot)
            ],
            worst=[entry[3] for entry in sorted(counts.worst, reverse=True)],
        )


def new_histogram() -> HdrHistogram:
    """Return an empty histogram whose unit is a tenth of a millisecond."""
    return HdrHistogram(1, HIGHEST_MS * UNITS_PER_MS, 2)


def _row(
    key: tuple[str, str, str], row: _RowCounts, slot: int, config: BurnConfig
) -> BurnRow:
    n_short, n_short_bad = row.ring.sums(slot, config.n_short_slots)
    n_long, n_long_bad = row.ring.sums(slot, config.n_slots)
    return BurnRow(
        profile=key[0],
        work_class=key[1],
        rank=row.facts.rank,
        client_account=key[2],
        target_ms=row.facts.ttft_target_ms,
        n_short=n_short,
        n_short_bad=n_short_bad,
        n_long=n_long,
        n_long_bad=n_long_bad,
    )
