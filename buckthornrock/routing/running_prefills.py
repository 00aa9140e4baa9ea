"""Prefixes that engines are computing for this instance's requests.

A second request that is sent while its prefix is still being computed would compute the
prefix again. It is therefore held back until the first request has its first token.
"""

from collections.abc import Iterable
from typing import NamedTuple

#: Longest time for which a request is held back for another one.
MAX_WAIT_MS = 2_000.0


class _Prefill(NamedTuple):
    request_id: str
    rank: int
    started_at_ms: float


class RunningPrefills:
    """Tracks which request computes which prefix level at which engine."""

    def __init__(self) -> None:
        self._by_level: dict[tuple[str, int], _Prefill] = {}
        self._by_request: dict[str, list[tuple[str, int]]] = {}

    def start(
        self,
        upstream_id: str,
        request_id: str,
        rank: int,
        level_hashes: Iterable[int],
        now_ms: float,
    ) -> None:
        """Record the levels that this request is the first to compute there."""
        for level_hash in level_hashes:
            key = (upstream_id, level_hash)
            if self._is_running(key, rank, now_ms):
                continue
            self._by_level[key] = _Prefill(request_id, rank, now_ms)
            self._by_request.setdefault(request_id, []).append(key)

    def end(self, request_id: str) -> None:
        """Forget the request, which got its first token or failed."""
        for key in self._by_request.pop(request_id, ()):
            prefill = self._by_level.get(key)
            if prefill is not None and prefill.request_id == request_id:
                del self._by_level[key]

    def is_running(
        self, upstream_id: str, rank: int, level_hashes: Iterable[int], now_ms: float
    ) -> bool:
        """Return whether a request of at least this urgency computes a level there.

        Less urgent requests don't count: they may themselves wait for long at the
        engine, so nothing urgent waits for them.
        """
        return any(
            self._is_running((upstream_id, level_hash), rank, now_ms)
            for level_hash in level_hashes
        )

    def _is_running(self, key: tuple[str, int], rank: int, now_ms: float) -> bool:
        prefill = self._by_level.get(key)
        if prefill is None or prefill.rank > rank:
            return False
        return now_ms - prefill.started_at_ms < MAX_WAIT_MS
