"""Prefixes in the cache store, and those that should be exported to it."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import NamedTuple

from .levels import Level

#: The store evicts entries, so one that nobody renewed for this long isn't relied on.
STORED_TTL_MS = 60_000.0
MAX_STORED = 4_096
MAX_QUEUED_EXPORTS = 64
#: Recomputing a prefix shorter than this is faster than the call to the store.
MIN_EXPORT_N_BLOCKS = 16
#: Number of uses after which a prefix is exported.
EXPORT_AFTER_N_USES = 2
#: Fixed time of one import or export.
CALL_MS = 4.0
#: Time per block of an import or export, before it is measured.
BLOCK_MS = 0.1
#: Weight of the newest transfer in the measured time per block.
NEWEST_WEIGHT = 0.3
#: A measured time per block is used for this long. After slow transfers the store is
#: therefore tried again.
MEASURED_TTL_MS = 10_000.0


class Export(NamedTuple):
    """Blocks that an engine should export to the cache store.

    ``levels`` are the prefix levels that are complete in the store afterwards, the
    longest last.
    """

    upstream_id: str
    address: str
    cache_salt: str
    hashes: tuple[str, ...]
    levels: tuple[Level, ...]


class StoredPrefixes:
    """Prefix levels that are in the cache store, by hash of their last block."""

    def __init__(self) -> None:
        self._expires_at_ms: OrderedDict[int, float] = OrderedDict()
        self._exported: list[int] = []
        self._n_uses: OrderedDict[int, int] = OrderedDict()
        self._queued_exports: deque[Export] = deque(maxlen=MAX_QUEUED_EXPORTS)
        self._block_ms = BLOCK_MS
        self._measured_at_ms = 0.0

    def is_stored(self, level: Level, now_ms: float) -> bool:
        """Return whether the level is probably in the store."""
        return self._expires_at_ms.get(level.block_hash, 0.0) > now_ms

    def n_stored_blocks(self, levels: Sequence[Level], now_ms: float) -> int:
        """Return the number of blocks of the longest level in the store, or 0."""
        for level in reversed(levels):
            if self.is_stored(level, now_ms):
                return level.n_blocks
        return 0

    def import_ms(self, n_blocks: int, now_ms: float) -> float:
        """Return the expected time to import ``n_blocks``."""
        return CALL_MS + n_blocks * self._expected_block_ms(now_ms)

    def note_transfer(self, n_blocks: int, duration_ms: float, now_ms: float) -> None:
        """Update the measured time per block with a transfer."""
        block_ms = max(0.0, duration_ms - CALL_MS) / max(1, n_blocks)
        expected_ms = self._expected_block_ms(now_ms)
        self._block_ms = expected_ms + NEWEST_WEIGHT * (block_ms - expected_ms)
        self._measured_at_ms = now_ms

    def _expected_block_ms(self, now_ms: float) -> float:
        is_old = now_ms - self._measured_at_ms > MEASURED_TTL_MS
        return BLOCK_MS if is_old else self._block_ms

    def note_stored(self, block_hash: int, now_ms: float, is_own: bool) -> None:
        """Record that a level is in the store; own exports are reported to peers."""
        self._expires_at_ms[block_hash] = now_ms + STORED_TTL_MS
        self._expires_at_ms.move_to_end(block_hash)
        if len(self._expires_at_ms) > MAX_STORED:
            self._expires_at_ms.popitem(last=False)
        if is_own:
            self._exported.append(block_hash)

    def forget(self, levels: Sequence[Level]) -> None:
        """Record that the store no longer holds these levels."""
        for level in levels:
            self._expires_at_ms.pop(level.block_hash, None)

    def take_exported(self) -> list[int]:
        """Return the hashes of the levels exported since the last call, for peers."""
        exported, self._exported = self._exported, []
        return exported

    def note_use(self, level: Level) -> bool:
        """Count a use; return whether the level is worth an export."""
        n_uses = self._n_uses.pop(level.block_hash, 0) + 1
        self._n_uses[level.block_hash] = n_uses
        if len(self._n_uses) > MAX_STORED:
            self._n_uses.popitem(last=False)
        return n_uses >= EXPORT_AFTER_N_USES and level.n_blocks >= MIN_EXPORT_N_BLOCKS

    def queue_export(self, export: Export) -> None:
        """Queue an export; the oldest is dropped if too many are queued."""
        if all(
            waiting.levels[-1] != export.levels[-1] for waiting in self._queued_exports
        ):
            self._queued_exports.append(export)

    def next_export(self, now_ms: float) -> Export | None:
        """Return the next export whose blocks aren't in the store yet."""
        while self._queued_exports:
            export = self._queued_exports.popleft()
            if not self.is_stored(export.levels[-1], now_ms):
                return export
        return None
