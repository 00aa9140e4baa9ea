"""Prefixes in the kept-cache store: what is there, and what should go there."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import NamedTuple

from .levels import Level

#: The store evicts; an entry that nobody renewed for this long is not relied on.
KEPT_TTL_MS = 60_000.0
MAX_KEPT = 4_096
MAX_WANTED = 64
#: Prefixes shorter than this are recomputed faster than the call takes.
MIN_EXPORT_N_BLOCKS = 16
#: Uses after which a prefix is exported.
EXPORT_AFTER_N_USES = 2
#: Time of one import or export apart from its blocks.
CALL_MS = 4.0
BLOCK_MS = 0.1
#: Weight of the newest transfer in the measured time per block.
NEWEST_WEIGHT = 0.3
#: Slow transfers are forgotten within this, so that the store is tried again.
SLOWNESS_TTL_MS = 10_000.0


class Export(NamedTuple):
    """Blocks that an engine should copy to the store.

    ``levels`` are the prefix levels that are whole in the store afterwards, the
    deepest last.
    """

    upstream_id: str
    address: str
    cache_salt: str
    hashes: tuple[str, ...]
    levels: tuple[Level, ...]


class StoredPrefixes:
    """Prefix levels that are in the store, by hash of their last block."""

    def __init__(self) -> None:
        self._kept: OrderedDict[int, float] = OrderedDict()
        self._told: list[int] = []
        self._n_uses: OrderedDict[int, int] = OrderedDict()
        self._wanted: deque[Export] = deque(maxlen=MAX_WANTED)
        self._block_ms = BLOCK_MS
        self._measured_at_ms = 0.0

    def is_kept(self, level: Level, now_ms: float) -> bool:
        """Tell whether the level is likely in the store."""
        return self._kept.get(level.block_hash, 0.0) > now_ms

    def deepest(self, levels: Sequence[Level], now_ms: float) -> int:
        """Return the blocks of the deepest level that is in the store, or 0."""
        for level in reversed(levels):
            if self.is_kept(level, now_ms):
                return level.n_blocks
        return 0

    def import_ms(self, n_blocks: int, now_ms: float) -> float:
        """Return the expected time of an import."""
        is_old = now_ms - self._measured_at_ms > SLOWNESS_TTL_MS
        return CALL_MS + n_blocks * (BLOCK_MS if is_old else self._block_ms)

    def note_transfer(self, n_blocks: int, duration_ms: float, now_ms: float) -> None:
        """Take in how long a transfer took."""
        block_ms = max(0.0, duration_ms - CALL_MS) / max(1, n_blocks)
        self._block_ms += NEWEST_WEIGHT * (block_ms - self._block_ms)
        self._measured_at_ms = now_ms

    def note_kept(self, block_hash: int, now_ms: float, is_own: bool) -> None:
        """Note that a level is in the store; own exports are told to peers."""
        self._kept[block_hash] = now_ms + KEPT_TTL_MS
        self._kept.move_to_end(block_hash)
        if len(self._kept) > MAX_KEPT:
            self._kept.popitem(last=False)
        if is_own:
            self._told.append(block_hash)

    def forget(self, levels: Sequence[Level]) -> None:
        """Note that the store no longer holds these levels."""
        for level in levels:
            self._kept.pop(level.block_hash, None)

    def take_told(self) -> list[int]:
        """Return the levels exported since the last call, for peers."""
        told, self._told = self._told, []
        return told

    def note_use(self, level: Level) -> bool:
        """Count a use; tell whether the level is used often enough for an export."""
        n_uses = self._n_uses.pop(level.block_hash, 0) + 1
        self._n_uses[level.block_hash] = n_uses
        if len(self._n_uses) > MAX_KEPT:
            self._n_uses.popitem(last=False)
        return n_uses >= EXPORT_AFTER_N_USES and level.n_blocks >= MIN_EXPORT_N_BLOCKS

    def want(self, export: Export) -> None:
        """Queue an export; the oldest is dropped if too many wait."""
        if all(waiting.levels[-1] != export.levels[-1] for waiting in self._wanted):
            self._wanted.append(export)

    def take_wanted(self, now_ms: float) -> Export | None:
        """Return the next export that nobody has done meanwhile."""
        while self._wanted:
            export = self._wanted.popleft()
            if not self.is_kept(export.levels[-1], now_ms):
                return export
        return None
