"""Service-level burn of one instance: bounded counts over time slots.

Each key of profile, work class and client account has a ring of time slots. Time to
first token goes into one histogram for each profile and work class, because a
histogram for each account would not fit an instance's memory.
"""

import heapq
import threading
from array import array
from typing import NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from .decisions import DecisionRecord, RequestFacts

#: Stands for the accounts that are not counted one by one.
OTHER_ACCOUNTS = "(others)"
N_WORST = 5
UNITS_PER_MS = 10
HIGHEST_MS = 3_600_000


class BurnConfig(NamedTuple):
    """Sizes of the accounts.

    Parameters
    ----------
    objective : float
        Share of requests that has to be on time.
    slot_ms : float
        Length of a slot.
    n_short_slots, n_slots : int
        Length of the short and of the long window.
    max_keys : int
        Accounts that are counted one by one, over all work classes.
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
    """What is kept for a work class: histogram, series and the worst requests.

    ``series`` holds ``[age_ms, n, n_bad]`` of the slots that are not empty.
    """

    profile: str
    work_class: str
    rank: int
    ttft: str
    series: list[list[float]]
    worst: list[DecisionRecord]


class BurnDocument(msgspec.Struct):
    """An instance's answer to ``GET /v1/burn``.

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


class _Ring:
    """Counts of all and of bad requests in the newest slots."""

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
        found = [self._at(s) for s in range(slot - n_slots + 1, slot + 1)]
        return sum(n for n, _ in found), sum(bad for _, bad in found)

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


class _Row:
    def __init__(self, facts: RequestFacts, n_slots: int) -> None:
        self.facts = facts
        self.ring = _Ring(n_slots)


class _Class(_Row):
    def __init__(self, facts: RequestFacts, n_slots: int) -> None:
        super().__init__(facts, n_slots)
        self.ttft = new_histogram()
        self.worst: list[tuple[float, float, str, DecisionRecord]] = []


class BurnCounters:
    """Counts ended requests.

    Parameters
    ----------
    rules : BurnConfig
        Sizes.
    started_at_ms : float
        Monotonic time from which on requests are counted.
    """

    def __init__(self, rules: BurnConfig, started_at_ms: float) -> None:
        self._rules = rules
        self._started_at_ms = started_at_ms
        self._lock = threading.Lock()
        self._rows: dict[tuple[str, str, str], _Row] = {}
        self._classes: dict[tuple[str, str], _Class] = {}
        self._uncounted: set[str] = set()

    def add(self, facts: RequestFacts, record: DecisionRecord, now_ms: float) -> None:
        """Count a request; those that their caller ended are left out."""
        if record.is_on_time is None:
            return
        slot = self._slot(now_ms)
        is_bad = not record.is_on_time
        with self._lock:
            self._row(facts).ring.add(slot, is_bad)
            found = self._class(facts)
            found.ring.add(slot, is_bad)
            if record.ttft_ms is not None:
                found.ttft.record_value(max(1, round(record.ttft_ms * UNITS_PER_MS)))
            if is_bad:
                self._note_worst(found, record, now_ms)

    def document(self, instance_id: str, now_ms: float) -> BurnDocument:
        """Return all counts as of now."""
        rules = self._rules
        slot = self._slot(now_ms)
        long_ms = rules.n_slots * rules.slot_ms
        with self._lock:
            rows = [_row(key, row, slot, rules) for key, row in self._rows.items()]
            classes = [
                self._class_document(key, found, slot, now_ms)
                for key, found in self._classes.items()
            ]
        return BurnDocument(
            instance_id=instance_id,
            objective=rules.objective,
            slot_ms=rules.slot_ms,
            short_ms=rules.n_short_slots * rules.slot_ms,
            long_ms=long_ms,
            covered_ms=min(long_ms, now_ms - self._started_at_ms),
            rows=rows,
            classes=classes,
            n_uncounted_accounts=len(self._uncounted),
        )

    def _slot(self, now_ms: float) -> int:
        return int(now_ms // self._rules.slot_ms)

    def _row(self, facts: RequestFacts) -> _Row:
        key = (facts.profile, facts.work_class, facts.client_account)
        row = self._rows.get(key)
        if row is not None:
            return row
        if len(self._rows) >= self._rules.max_keys:
            self._uncounted.add(facts.client_account)
            key = (facts.profile, facts.work_class, OTHER_ACCOUNTS)
        return self._rows.setdefault(key, _Row(facts, self._rules.n_slots))

    def _class(self, facts: RequestFacts) -> _Class:
        key = (facts.profile, facts.work_class)
        found = self._classes.get(key)
        if found is None:
            found = self._classes[key] = _Class(facts, self._rules.n_slots)
        return found

    def _note_worst(self, found: _Class, record: DecisionRecord, now_ms: float) -> None:
        self._drop_old(found, now_ms)
        entry = (record.total_ms or 0.0, now_ms, record.request_id, record)
        if len(found.worst) < N_WORST:
            heapq.heappush(found.worst, entry)
        else:
            heapq.heappushpop(found.worst, entry)

    def _drop_old(self, found: _Class, now_ms: float) -> None:
        long_ms = self._rules.n_slots * self._rules.slot_ms
        found.worst = [e for e in found.worst if now_ms - e[1] <= long_ms]
        heapq.heapify(found.worst)

    def _class_document(
        self, key: tuple[str, str], found: _Class, slot: int, now_ms: float
    ) -> BurnClass:
        self._drop_old(found, now_ms)
        slot_ms = self._rules.slot_ms
        return BurnClass(
            profile=key[0],
            work_class=key[1],
            rank=found.facts.rank,
            ttft=found.ttft.encode().decode(),
            series=[[age * slot_ms, n, bad] for age, n, bad in found.ring.series(slot)],
            worst=[entry[3] for entry in sorted(found.worst, reverse=True)],
        )


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of tenths of a millisecond."""
    return HdrHistogram(1, HIGHEST_MS * UNITS_PER_MS, 2)


def _row(key: tuple[str, str, str], row: _Row, slot: int, rules: BurnConfig) -> BurnRow:
    n_short, n_short_bad = row.ring.sums(slot, rules.n_short_slots)
    n_long, n_long_bad = row.ring.sums(slot, rules.n_slots)
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
