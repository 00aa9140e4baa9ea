"""Prefixes that this instance's requests are computing, by engine.

A request that follows while its prefix is being computed would compute it a second
time; it is held back until the first one has its first token.
"""

from collections.abc import Iterable
from typing import NamedTuple

#: Longest time a request is held back for another one.
MAX_WAIT_MS = 2_000.0


class _Computation(NamedTuple):
    request_id: str
    rank: int
    started_at_ms: float


class RunningPrefills:
    """Which request computes which prefix level at which engine."""

    def __init__(self) -> None:
        self._by_level: dict[tuple[str, int], _Computation] = {}
        self._by_request: dict[str, list[tuple[str, int]]] = {}

    def start(
        self,
        upstream_id: str,
        request_id: str,
        rank: int,
        level_hashes: Iterable[int],
        now_ms: float,
    ) -> None:
        """Note the levels that the request is the first to compute there."""
        for level_hash in level_hashes:
            key = (upstream_id, level_hash)
            if self._is_running(key, rank, now_ms):
                continue
            self._by_level[key] = _Computation(request_id, rank, now_ms)
            self._by_request.setdefault(request_id, []).append(key)

    def end(self, request_id: str) -> None:
        """Note that the request has its first token, or failed."""
        for key in self._by_request.pop(request_id, ()):
            computation = self._by_level.get(key)
            if computation is not None and computation.request_id == request_id:
                del self._by_level[key]

    def is_running(
        self, upstream_id: str, rank: int, level_hashes: Iterable[int], now_ms: float
    ) -> bool:
        """Tell whether work of at least this rank computes any of the levels there.

        Less urgent work may itself wait for long, so nothing urgent waits for it.
        """
        return any(
            self._is_running((upstream_id, level_hash), rank, now_ms)
            for level_hash in level_hashes
        )

    def _is_running(self, key: tuple[str, int], rank: int, now_ms: float) -> bool:
        computation = self._by_level.get(key)
        if computation is None or computation.rank > rank:
            return False
        return now_ms - computation.started_at_ms < MAX_WAIT_MS
