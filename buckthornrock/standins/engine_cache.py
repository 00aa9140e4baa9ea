"""An engine's block cache and the feed of its cache events."""

import itertools
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable
from typing import NamedTuple


class FeedEvent(NamedTuple):
    """One entry of the feed; ``at_ms`` is when it happened."""

    seq: int
    at_ms: float
    kind: str
    hashes: tuple[str, ...]


class EventFeed:
    """Numbered cache events that appear late and with gaps.

    Parameters
    ----------
    lag_ms : float
        Age at which an event appears.
    loss : float
        Share of events that never appear; their numbers are missing.
    n_kept : int
        Events that are remembered.
    rng : random.Random
        Decides which events are lost.
    """

    def __init__(
        self, lag_ms: float, loss: float, n_kept: int, rng: random.Random
    ) -> None:
        self.loss = loss
        self._lag_ms = lag_ms
        self._rng = rng
        self._next_seq = 1
        self._events: deque[FeedEvent] = deque(maxlen=n_kept)

    @property
    def oldest_seq(self) -> int:
        """Number of the oldest event that can still be read."""
        return self._events[0].seq if self._events else self._next_seq

    def append(self, now_ms: float, kind: str, hashes: Iterable[str]) -> None:
        """Add an event with the next number; chance may lose it."""
        event = FeedEvent(self._next_seq, now_ms, kind, tuple(hashes))
        self._next_seq += 1
        if self.loss and self._rng.random() < self.loss:
            return
        self._events.append(event)

    def since(self, seq: int, now_ms: float) -> list[FeedEvent]:
        """Return the events after ``seq`` that have appeared by ``now_ms``."""
        newest_at_ms = now_ms - self._lag_ms
        later = itertools.takewhile(lambda e: e.seq > seq, reversed(self._events))
        return [e for e in later if e.at_ms <= newest_at_ms][::-1]


class BlockCache:
    """Blocks in order of last use; those of running sequences are pinned.

    Parameters
    ----------
    n_blocks : int
        Size.
    retention_ms : float
        Blocks unused for this long are evicted; 0 keeps them.
    on_change : callable
        ``on_change(now_ms, kind, hashes)`` is told what is stored and removed.
    """

    def __init__(
        self,
        n_blocks: int,
        retention_ms: float,
        on_change: Callable[[float, str, Iterable[str]], None],
    ) -> None:
        self._n_blocks = n_blocks
        self._retention_ms = retention_ms
        self._on_change = on_change
        self._used_at_ms: OrderedDict[str, float] = OrderedDict()
        self._pins: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._used_at_ms)

    def __contains__(self, block_hash: str) -> bool:
        return block_hash in self._used_at_ms

    def n_hit_blocks(self, hashes: list[str]) -> int:
        """Return how many leading blocks are present."""
        for index, block_hash in enumerate(hashes):
            if block_hash not in self._used_at_ms:
                return index
        return len(hashes)

    def held(self, hashes: Iterable[str]) -> list[str]:
        """Return those of ``hashes`` that are present."""
        return [block_hash for block_hash in hashes if block_hash in self._used_at_ms]

    def store(self, hashes: list[str], now_ms: float) -> None:
        """Add blocks, or note their use, and evict what no longer fits."""
        added = [h for h in hashes if h not in self._used_at_ms]
        # In reverse, because a chain is only useful as far as it is whole from its
        # first block on: the last blocks are evicted first.
        for block_hash in reversed(hashes):
            self._used_at_ms[block_hash] = now_ms
            self._used_at_ms.move_to_end(block_hash)
        if added:
            self._on_change(now_ms, "stored", added)
        self.evict(now_ms)

    def pin(self, hashes: list[str]) -> None:
        """Keep blocks while a sequence runs; pins are counted."""
        self._pins.update(hashes)

    def unpin(self, hashes: list[str]) -> None:
        """Undo one :meth:`pin`."""
        self._pins.subtract(hashes)
        for block_hash in hashes:
            if self._pins[block_hash] <= 0:
                del self._pins[block_hash]

    def evict(self, now_ms: float) -> None:
        """Evict unpinned blocks that don't fit or were unused for too long."""
        removed = []
        for block_hash, used_at_ms in self._used_at_ms.items():
            is_over = len(self._used_at_ms) - len(removed) > self._n_blocks
            age_ms = now_ms - used_at_ms
            is_old = bool(self._retention_ms) and age_ms > self._retention_ms
            if not is_over and not is_old:
                break
            if block_hash not in self._pins:
                removed.append(block_hash)
        for block_hash in removed:
            del self._used_at_ms[block_hash]
        if removed:
            self._on_change(now_ms, "removed", removed)

    def clear(self, now_ms: float) -> None:
        """Drop every block."""
        self._used_at_ms.clear()
        self._pins.clear()
        self._on_change(now_ms, "cleared", ())
