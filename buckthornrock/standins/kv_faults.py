"""What goes wrong with the key-value stand-in, and what its calls are counted as."""

import random
import time
from collections import Counter, deque
from typing import Literal, NamedTuple

READ_PATHS = {"/v3/kv/range"}
WRITE_PATHS = {"/v3/kv/put", "/v3/kv/txn"}
WATCH_PATH = "/v3/watch"
#: How long a call hangs that is never answered.
HANG_S = 60.0

Fate = Literal["answer", "refuse", "lose_answer", "apply_late", "hang"]


class KvFaults(NamedTuple):
    """Shares of calls (0 to 1) and times of what goes wrong.

    ``lost_share`` of the writes take effect and their answer is lost, ``late_share``
    take effect ``late_ms`` after their caller was refused, ``refused_share`` of all
    calls are refused, ``hang_share`` of all calls are never answered and have no
    effect. Every call takes ``latency_ms`` before it takes effect.
    """

    lost_share: float = 0.0
    late_share: float = 0.0
    late_ms: float = 500.0
    refused_share: float = 0.0
    hang_share: float = 0.0
    latency_ms: float = 0.0


NAMED_FAULTS: dict[str, KvFaults] = {
    "": KvFaults(),
    "down": KvFaults(refused_share=1.0),
    "hang": KvFaults(hang_share=1.0),
    "lose_answers": KvFaults(lost_share=1.0),
    "late": KvFaults(late_share=1.0),
    "slow": KvFaults(latency_ms=700.0),
}


def draw_fate(faults: KvFaults, is_write: bool, rng: random.Random) -> Fate:
    """Return what happens to one call."""
    if rng.random() < faults.refused_share:
        return "refuse"
    if rng.random() < faults.hang_share:
        return "hang"
    if is_write and rng.random() < faults.lost_share:
        return "lose_answer"
    if is_write and rng.random() < faults.late_share:
        return "apply_late"
    return "answer"


class CallCounts:
    """Calls by kind, and the highest rate over one second."""

    WINDOW_S = 1.0

    def __init__(self) -> None:
        self.by_kind: Counter[str] = Counter()
        self.peak_per_s: Counter[str] = Counter()
        self.n_watches = 0
        self._recent: dict[str, deque[float]] = {}

    def add(self, path: str) -> None:
        """Count one call."""
        kind = kind_of_path(path)
        now_s = time.monotonic()
        self.by_kind[kind] += 1
        recent = self._recent.setdefault(kind, deque())
        recent.append(now_s)
        while recent[0] < now_s - self.WINDOW_S:
            recent.popleft()
        self.peak_per_s[kind] = max(self.peak_per_s[kind], len(recent))

    def report(self) -> dict:
        """Return all counts."""
        return {
            "n_calls": dict(self.by_kind),
            "peak_per_s": dict(self.peak_per_s),
            "n_watches": self.n_watches,
        }


def kind_of_path(path: str) -> str:
    """Return the kind of call that the budget knows."""
    if path in READ_PATHS:
        return "read"
    if path in WRITE_PATHS:
        return "write"
    if path == WATCH_PATH:
        return "watch"
    return "lease"
