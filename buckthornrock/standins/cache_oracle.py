"""Sees every cache of a stand-in process, to say what was computed in vain."""

import threading
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from .engine_parameters import BLOCK_TOKENS

N_KEPT_TTFTS = 50_000


class PrefillAccount(NamedTuple):
    """Prompt tokens of one prefill, by where they could have come from.

    Parameters
    ----------
    n_wasted_tokens : int
        Missed, while another engine's cache or the kept-cache store held them.
    n_duplicated_tokens : int
        Missed, while another engine was computing them.
    n_pooled_hit_tokens : int
        Hits of one cache that pools the capacity of all engines.
    """

    n_wasted_tokens: int
    n_duplicated_tokens: int
    n_pooled_hit_tokens: int


class CacheOracle:
    """Knows the true content of all caches; no part of the router sees it.

    Attributes
    ----------
    ideal_ttfts_ms : list of float
        For each prefill, its duration alone on an engine with the pooled cache: a
        bound that no choice of engine can beat.
    """

    def __init__(self) -> None:
        self.ideal_ttfts_ms: list[float] = []
        self._lock = threading.Lock()
        self._holds: dict[str, Callable[[str], bool]] = {}
        self._computing: dict[str, Counter[str]] = {}
        self._pooled: OrderedDict[str, None] = OrderedDict()
        self._n_pooled_blocks = 0

    def add_cache(
        self, name: str, holds: Callable[[str], bool], n_blocks: int = 0
    ) -> None:
        """Add a cache; ``n_blocks`` is what it adds to the pooled cache."""
        with self._lock:
            self._holds[name] = holds
            self._computing[name] = Counter()
            self._n_pooled_blocks += n_blocks

    def on_prefill(
        self, name: str, hashes: list[str], n_hit_blocks: int, tokens_per_s: float
    ) -> PrefillAccount:
        """Account for a prefill that begins now on engine ``name``."""
        missed = hashes[n_hit_blocks:]
        with self._lock:
            n_held, n_computed = self._n_in_vain(name, missed)
            n_pooled = self._use_pooled(hashes)
            self._computing[name].update(missed)
            n_missed_tokens = (len(hashes) - n_pooled) * BLOCK_TOKENS
            if len(self.ideal_ttfts_ms) < N_KEPT_TTFTS:
                self.ideal_ttfts_ms.append(1000.0 * n_missed_tokens / tokens_per_s)
        return PrefillAccount(
            n_held * BLOCK_TOKENS, n_computed * BLOCK_TOKENS, n_pooled * BLOCK_TOKENS
        )

    def on_prefilled(self, name: str, hashes: list[str]) -> None:
        """Note that engine ``name`` no longer computes ``hashes``."""
        with self._lock:
            computing = self._computing[name]
            computing.subtract(hashes)
            for block_hash in hashes:
                if computing[block_hash] <= 0:
                    del computing[block_hash]

    def _n_in_vain(self, name: str, missed: list[str]) -> tuple[int, int]:
        holders = [holds for other, holds in self._holds.items() if other != name]
        computing = [c for other, c in self._computing.items() if other != name and c]
        n_held = n_computed = 0
        for block_hash in missed:
            if any([holds(block_hash) for holds in holders]):
                n_held += 1
            elif any([block_hash in c for c in computing]):
                n_computed += 1
        return n_held, n_computed

    def _use_pooled(self, hashes: list[str]) -> int:
        n_hits = 0
        while n_hits < len(hashes) and hashes[n_hits] in self._pooled:
            n_hits += 1
        for block_hash in reversed(hashes):
            self._pooled[block_hash] = None
            self._pooled.move_to_end(block_hash)
        while len(self._pooled) > self._n_pooled_blocks:
            self._pooled.popitem(last=False)
        return n_hits
