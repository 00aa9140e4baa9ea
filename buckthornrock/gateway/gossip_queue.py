"""Queues of state updates, each sent in several digests as datagrams may be lost."""

from collections import OrderedDict, deque
from collections.abc import Callable, Hashable
from typing import Any, NamedTuple

from ..wire.digests import LoadedWeights, Scope

#: Number of digests that carry one update.
N_TRANSMISSIONS = 3
#: An update for the same part or weights version within this time is dropped.
REPEAT_AFTER_MS = 1_000.0
#: Capacity of the queue; beyond it the oldest updates are dropped.
MAX_PENDING = 500
#: Maximum number of updates in one digest.
MAX_BATCH = 40


class PartUpdate(NamedTuple):
    """A shared part in an upstream's cache, available from ``ready_at_ms`` on.

    ``upstream`` and ``part`` are the numbers defined in ``wire.numeric_ids``.
    """

    upstream: int
    part: int
    n_tokens: int
    ready_at_ms: float


class LeavingUpdate(NamedTuple):
    """An upstream, by number, that said that it leaves."""

    upstream: int


Update = PartUpdate | LoadedWeights | LeavingUpdate


class GossipQueue:
    """Holds updates until each was sent often enough; the caller passes the time.

    Parameters
    ----------
    key : callable
        Returns what makes two updates alike.
    """

    def __init__(self, key: Callable[[Any], Hashable] | None = None) -> None:
        self._key = key or _key
        self._pending: deque[tuple[int, Any]] = deque(maxlen=MAX_PENDING)
        self._added_at_ms: OrderedDict[Hashable, float] = OrderedDict()

    def add(self, item: Any, now_ms: float) -> None:
        """Queue ``item``, unless its like was added within ``REPEAT_AFTER_MS``."""
        self._expire_added(now_ms)
        key = self._key(item)
        if key in self._added_at_ms:
            return
        self._added_at_ms[key] = now_ms
        self._pending.append((N_TRANSMISSIONS, item))

    def next_batch(self) -> list[Any]:
        """Return the updates for the next digest, the longest queued first."""
        n_sent = min(MAX_BATCH, len(self._pending))
        batch = [self._pending.popleft() for _ in range(n_sent)]
        remaining = [(n_left - 1, item) for n_left, item in batch if n_left > 1]
        self._pending.extendleft(reversed(remaining))
        return [item for _, item in batch]

    def _expire_added(self, now_ms: float) -> None:
        while self._added_at_ms:
            key, at_ms = next(iter(self._added_at_ms.items()))
            if now_ms - at_ms < REPEAT_AFTER_MS:
                return
            del self._added_at_ms[key]


class UpdateQueues:
    """Updates for all contacts, and those of other relays for followers only.

    Parameters
    ----------
    key : callable
        Returns what makes two updates alike.
    """

    def __init__(self, key: Callable[[Any], Hashable] | None = None) -> None:
        self._for_all = GossipQueue(key)
        self._for_followers = GossipQueue(key)

    def add(self, item: Any, now_ms: float) -> None:
        """Queue this instance's own update."""
        self._for_all.add(item, now_ms)

    def forward(self, item: Any, scope: Scope, now_ms: float) -> None:
        """Forward a follower's update to all contacts, a relay's to followers only.

        Updates from other relays are not sent to relays again, so that no update loops.
        """
        if scope is Scope.OWN:
            self._for_all.add(item, now_ms)
        elif scope is Scope.GROUP:
            self._for_followers.add(item, now_ms)

    def next_for_all(self) -> list[Any]:
        """Return the updates for the next digest to all contacts."""
        return self._for_all.next_batch()

    def next_for_followers(self) -> list[Any]:
        """Return the further updates for the next digest to followers."""
        return self._for_followers.next_batch()


def _key(item: Update) -> Hashable:
    if isinstance(item, PartUpdate):
        return item.upstream, item.part
    if isinstance(item, LeavingUpdate):
        return item.upstream
    return item.upstream, item.model, item.version
