"""The cache store: keeps block hashes only, rate-limited and evicting."""

import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from ..httpd import Exchange, HttpServer, start_server
from ..runtime import system_clock
from .cache_oracle import CacheNote, CacheObserver


class CacheStoreParameters(NamedTuple):
    """Size and rate of the store.

    ``max_wait_ms`` is the longest wait for the rate; beyond it a call is refused.
    """

    n_blocks: int = 100_000
    blocks_per_s: float = 20_000.0
    max_wait_ms: float = 1_000.0


class CacheStore:
    """Blocks in order of last use, and the time at which the rate is free again."""

    def __init__(
        self,
        parameters: CacheStoreParameters,
        on_change: Callable[[str, list[str]], None] = lambda kind, hashes: None,
    ) -> None:
        self._parameters = parameters
        self._on_change = on_change
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._free_at_ms = 0.0

    def __contains__(self, block_hash: str) -> bool:
        return block_hash in self._blocks

    def __len__(self) -> int:
        return len(self._blocks)

    def reserve(self, n_blocks: int, now_ms: float) -> float | None:
        """Return the wait for a transfer in milliseconds, None if it is refused."""
        starts_at_ms = max(now_ms, self._free_at_ms)
        if starts_at_ms - now_ms > self._parameters.max_wait_ms:
            return None
        duration_ms = 1000.0 * n_blocks / self._parameters.blocks_per_s
        self._free_at_ms = starts_at_ms + duration_ms
        return self._free_at_ms - now_ms

    def put(self, hashes: list[str]) -> list[str]:
        """Add blocks and evict the least recently used beyond the size."""
        for block_hash in reversed(hashes):
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        n_over = max(0, len(self._blocks) - self._parameters.n_blocks)
        removed = [self._blocks.popitem(last=False)[0] for _ in range(n_over)]
        self._on_change("stored", hashes)
        self._on_change("removed", removed)
        return hashes

    def get(self, hashes: list[str]) -> list[str]:
        """Return the leading blocks that are present, and note their use."""
        present = []
        for block_hash in hashes:
            if block_hash not in self._blocks:
                break
            present.append(block_hash)
        return self.put(present)


class CacheStoreStandin:
    """The store over HTTP.

    ``PUT /blocks/H1,H2`` adds, ``GET /blocks/H1,H2`` fetches the leading present
    ones; both take the transfer's time. ``GET /index/H1,H2`` only says how many
    leading blocks are present.
    """

    def __init__(
        self,
        parameters: CacheStoreParameters | None = None,
        observer: CacheObserver | None = None,
    ) -> None:
        self.store = CacheStore(parameters or CacheStoreParameters(), self._note)
        self._observer = observer
        self.n_put_blocks = 0
        self.n_got_blocks = 0
        self.n_refused = 0
        self._lock = threading.Lock()
        self._clock = system_clock()

    def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        hashes = [h for h in exchange.path.rpartition("/")[2].split(",") if h]
        if exchange.path.startswith("/index/"):
            with self._lock:
                present = [h for h in hashes if h in self.store]
            exchange.respond_json(200, {"hashes": present})
            return
        if not exchange.path.startswith("/blocks/"):
            exchange.respond_json(404, {"error": "not found"})
            return
        self._transfer(exchange, hashes)

    def _transfer(self, exchange: Exchange, hashes: list[str]) -> None:
        with self._lock:
            wait_ms = self.store.reserve(len(hashes), self._clock.now_ms())
            if wait_ms is None:
                self.n_refused += 1
        if wait_ms is None:
            exchange.respond_json(429, {"error": "rate"})
            return
        self._clock.sleep_ms(wait_ms)
        with self._lock:
            moved = self._move(exchange.method, hashes)
        exchange.respond_json(200, {"hashes": moved})

    def _note(self, kind: str, hashes: list[str]) -> None:
        if self._observer is not None and hashes:
            now_ms = self._clock.now_ms()
            note = CacheNote(now_ms, "cache_store", kind, tuple(hashes))
            self._observer.note(note)

    def _move(self, method: str, hashes: list[str]) -> list[str]:
        if method == "PUT":
            self.n_put_blocks += len(hashes)
            return self.store.put(hashes)
        found = self.store.get(hashes)
        self.n_got_blocks += len(found)
        return found


def start_cache_store(standin: CacheStoreStandin, port: int = 0) -> HttpServer:
    """Serve ``standin`` on loopback."""
    return start_server("127.0.0.1", port, standin.handle, n_threads=32)
