"""Sees every cache, to say what was computed in vain.

Engines note what happens to their caches; :class:`CacheTrace` records it in each
stand-in process, and :func:`replay` joins the traces of all processes.
"""

import threading
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable
from typing import NamedTuple, Protocol

import msgspec

from .engine_parameters import BLOCK_TOKENS

N_KEPT_ENTRIES = 100_000


class PrefillAccount(NamedTuple):
    """Prompt tokens of prefills, by where they could have come from.

    Parameters
    ----------
    n_wasted_tokens : int
        Missed, while another engine's cache or the cache store held them.
    n_duplicated_tokens : int
        Missed, while another engine was computing them.
    n_pooled_hit_tokens : int
        Hits of one cache that pools the capacity of all engines.
    """

    n_wasted_tokens: int = 0
    n_duplicated_tokens: int = 0
    n_pooled_hit_tokens: int = 0


class CacheNote(msgspec.Struct, array_like=True):
    """Something that happened to the cache ``name``.

    Parameters
    ----------
    kind : str
        "added" (``size`` is the cache's blocks), "stored", "removed", "cleared",
        "prefill" (``hashes`` are the prompt's, ``size`` of them hit) or "prefilled".
    tokens_per_s : float
        Prefill rate, for "prefill".
    """

    at_ms: float
    name: str
    kind: str
    hashes: tuple[str, ...] = ()
    size: int = 0
    tokens_per_s: float = 0.0


class CacheObserver(Protocol):
    """Takes notes."""

    def note(self, note: CacheNote) -> None:
        """Take in one note."""


class CacheTrace:
    """Notes in the order of their times, up to a bound.

    Attributes
    ----------
    n_dropped : int
        Notes beyond the bound.
    """

    def __init__(self) -> None:
        self.notes: list[CacheNote] = []
        self.n_dropped = 0
        self._lock = threading.Lock()

    def note(self, note: CacheNote) -> None:
        """Keep one note."""
        with self._lock:
            if len(self.notes) >= N_KEPT_ENTRIES:
                self.n_dropped += 1
                return
            self.notes.append(note)


class CacheOracle:
    """Knows the true content of all caches; no part of the router sees it.

    Attributes
    ----------
    total : PrefillAccount
        Sums over all prefills.
    ideal_ttfts_ms : list of float
        For each prefill, its duration alone on an engine with the pooled cache: a
        bound that no choice of engine can beat.
    """

    def __init__(self) -> None:
        self.total = PrefillAccount()
        self.ideal_ttfts_ms: list[float] = []
        self._held: dict[str, set[str]] = defaultdict(set)
        self._computing: dict[str, Counter[str]] = defaultdict(Counter)
        self._pooled: OrderedDict[str, None] = OrderedDict()
        self._n_pooled_blocks = 0

    def note(self, note: CacheNote) -> None:
        """Take in one note."""
        held = self._held[note.name]
        if note.kind == "added":
            self._n_pooled_blocks += note.size
        elif note.kind == "stored":
            held.update(note.hashes)
        elif note.kind == "removed":
            held.difference_update(note.hashes)
        elif note.kind == "cleared":
            held.clear()
            self._computing[note.name].clear()
        elif note.kind == "prefill":
            self._on_prefill(note)
        elif note.kind == "prefilled":
            # Unary plus drops what has come down to zero.
            computing = self._computing[note.name]
            computing.subtract(note.hashes)
            self._computing[note.name] = +computing

    def _on_prefill(self, note: CacheNote) -> None:
        missed = note.hashes[note.size :]
        n_held, n_computed = self._n_in_vain(note.name, missed)
        n_pooled = self._use_pooled(note.hashes)
        self._computing[note.name].update(missed)
        n_missed_tokens = (len(note.hashes) - n_pooled) * BLOCK_TOKENS
        self.ideal_ttfts_ms.append(1000.0 * n_missed_tokens / note.tokens_per_s)
        amounts = (n_held, n_computed, n_pooled)
        pairs = zip(self.total, amounts, strict=True)
        self.total = PrefillAccount(*(old + n * BLOCK_TOKENS for old, n in pairs))

    def _n_in_vain(self, name: str, missed: Iterable[str]) -> tuple[int, int]:
        held = [hashes for other, hashes in self._held.items() if other != name]
        computing = [c for other, c in self._computing.items() if other != name]
        n_held = n_computed = 0
        for block_hash in missed:
            if any(block_hash in hashes for hashes in held):
                n_held += 1
            elif any(block_hash in c for c in computing):
                n_computed += 1
        return n_held, n_computed

    def _use_pooled(self, hashes: tuple[str, ...]) -> int:
        n_hits = 0
        while n_hits < len(hashes) and hashes[n_hits] in self._pooled:
            n_hits += 1
        for block_hash in reversed(hashes):
            self._pooled[block_hash] = None
            self._pooled.move_to_end(block_hash)
        while len(self._pooled) > self._n_pooled_blocks:
            self._pooled.popitem(last=False)
        return n_hits


def replay(traces: Iterable[Iterable[CacheNote]]) -> CacheOracle:
    """Return an oracle that has seen all notes of all traces in order of time."""
    oracle = CacheOracle()
    notes = [note for trace in traces for note in trace]
    for note in sorted(notes, key=lambda note: note.at_ms):
        oracle.note(note)
    return oracle
