"""Pieces of news that are told in several digests, against lost datagrams."""

from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import NamedTuple

from ..wire.digests import LoadedWeights

#: Digests in which one piece of news is told.
N_TELLINGS = 3
#: The same news is told again only after this time.
REPEAT_AFTER_MS = 1_000.0
#: Pieces of news that wait to be told; the oldest are dropped first.
MAX_PENDING = 500
#: Pieces of news in one digest.
MAX_TOLD = 40


class Reading(NamedTuple):
    """A shared part at an upstream, which can be fetched from ``ready_at_ms`` on.

    Both are named by their numbers, see ``wire.numbers``.
    """

    upstream: int
    part: int
    n_tokens: int
    ready_at_ms: float


News = Reading | LoadedWeights


class GossipQueue:
    """Holds news until it was told often enough; the caller gives the time."""

    def __init__(self) -> None:
        self._pending: deque[tuple[int, News]] = deque(maxlen=MAX_PENDING)
        self._added_at_ms: OrderedDict[Hashable, float] = OrderedDict()

    def add(self, item: News, now_ms: float) -> None:
        """Tell ``item`` from now on, unless the same was added just before."""
        self._forget(now_ms)
        key = _key(item)
        if key in self._added_at_ms:
            return
        self._added_at_ms[key] = now_ms
        self._pending.append((N_TELLINGS, item))

    def tell(self) -> list[News]:
        """Return what the next digest tells, the oldest news first."""
        n_told = min(MAX_TOLD, len(self._pending))
        told = [self._pending.popleft() for _ in range(n_told)]
        again = [(n_left - 1, item) for n_left, item in told if n_left > 1]
        self._pending.extendleft(reversed(again))
        return [item for _, item in told]

    def _forget(self, now_ms: float) -> None:
        while self._added_at_ms:
            key, at_ms = next(iter(self._added_at_ms.items()))
            if now_ms - at_ms < REPEAT_AFTER_MS:
                return
            del self._added_at_ms[key]


def _key(item: News) -> Hashable:
    if isinstance(item, Reading):
        return item.upstream, item.part
    return item.upstream, item.model, item.version
