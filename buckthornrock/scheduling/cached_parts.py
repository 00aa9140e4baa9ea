"""Tracks which shared parts an engine or a prompt store is expected to hold. Pure."""

from collections import OrderedDict
from typing import NamedTuple

#: Hash of a part's id and its cache salt, see ``wire.numeric_ids``.
PartKey = int


class CachedPart(NamedTuple):
    """A cached part; its prefill ends, and it can be fetched, at ``ready_at_ms``."""

    n_tokens: int
    ready_at_ms: float


class CachedParts:
    """LRU model of a cache that is bounded by a number of tokens."""

    def __init__(self) -> None:
        self._parts: OrderedDict[PartKey, CachedPart] = OrderedDict()
        self._n_tokens = 0

    def use(self, key: PartKey, n_tokens: int, ready_at_ms: float, limit: int) -> None:
        """Record the use of a part, and evict the least recently used ones."""
        known = self._parts.pop(key, None)
        if known is not None:
            self._n_tokens -= known.n_tokens
            ready_at_ms = min(ready_at_ms, known.ready_at_ms)
        self._parts[key] = CachedPart(n_tokens, ready_at_ms)
        self._n_tokens += n_tokens
        while self._n_tokens > limit and len(self._parts) > 1:
            _, dropped = self._parts.popitem(last=False)
            self._n_tokens -= dropped.n_tokens

    def holds(self, key: PartKey) -> bool:
        """Return whether the part is cached or in prefill."""
        return key in self._parts

    def is_ready(self, key: PartKey, now_ms: float) -> bool:
        """Return whether the part can be fetched."""
        part = self._parts.get(key)
        return part is not None and part.ready_at_ms <= now_ms

    def clear(self) -> None:
        """Drop every part."""
        self._parts.clear()
        self._n_tokens = 0
