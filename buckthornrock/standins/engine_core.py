"""The pure core of an emulated engine: continuous batching in steps.

Each step decodes one token for every decoding sequence and prefills a bounded
number of prompt tokens. Its duration is the prefilled tokens at the engine's rate
plus a decode part that grows with the batch. The core is driven by ``now_ms``.
"""

import heapq
import itertools
import random
from collections.abc import Iterable
from typing import NamedTuple

from .cache_oracle import CacheNote, CacheObserver
from .engine_cache import BlockCache, EventFeed
from .engine_parameters import BLOCK_TOKENS, EngineParameters


class Sequence:
    """One request inside the engine.

    Attributes
    ----------
    n_generated : int
        Index of the next output token; those before it are available.
    state : {"waiting", "prefill", "decode", "done", "cancelled"}
        Where it is.
    """

    def __init__(
        self,
        stream_id: str,
        hashes: list[str],
        n_prompt_tokens: int,
        n_generated: int,
        max_tokens: int,
        priority: int,
    ) -> None:
        self.stream_id = stream_id
        self.hashes = hashes
        self.n_prompt_tokens = n_prompt_tokens
        self.n_generated = n_generated
        self.max_tokens = max_tokens
        self.priority = priority
        self.state = "waiting"
        self.arrived_at_ms = 0.0
        self.started_at_ms = 0.0
        self.n_missed_tokens = 0
        self.n_prefilled_tokens = 0
        self.missed_hashes: list[str] = []


class Counters(NamedTuple):
    """Prompt tokens of an engine since it began, over all incarnations."""

    n_prompt_tokens: int = 0
    n_hit_tokens: int = 0
    n_generated_tokens: int = 0


class _Step(NamedTuple):
    ends_at_ms: float
    decoding: tuple[Sequence, ...]
    prefills: tuple[tuple[Sequence, int], ...]


class EngineCore:
    """Batch, waiting queue and cache of one engine.

    Parameters
    ----------
    parameters : EngineParameters
        Rates and sizes.
    name : str
        Name towards the observer.
    observer : CacheObserver, optional
        Takes notes of the cache and of prefills.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        name: str = "engine",
        observer: CacheObserver | None = None,
    ) -> None:
        self.counters = Counters()
        self.slowness = 1.0
        self.stalled_until_ms = 0.0
        self.running: list[Sequence] = []
        self.feed: EventFeed
        self.cache: BlockCache
        self._parameters = parameters
        self._name = name
        self._observer = observer
        self._rng = random.Random(parameters.seed)
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._order = itertools.count()
        self._step: _Step | None = None
        self._open_cache()
        self._note(0.0, "added", size=parameters.n_cache_blocks)

    def submit(self, sequence: Sequence, now_ms: float) -> None:
        """Queue a sequence; idle engines begin a step with it."""
        sequence.arrived_at_ms = now_ms
        entry = (sequence.priority, next(self._order), sequence)
        heapq.heappush(self._waiting, entry)
        if self._step is None:
            self._begin_step(now_ms)

    def cancel(self, sequence: Sequence) -> None:
        """Stop a sequence; it leaves the batch with the current step."""
        if sequence.state != "done":
            sequence.state = "cancelled"

    def next_event_ms(self) -> float | None:
        """Return when the current step ends, or None for an idle engine."""
        if self._step is None:
            return None
        return max(self._step.ends_at_ms, self.stalled_until_ms)

    def advance(self, now_ms: float) -> list[Sequence]:
        """Run every step that ends by ``now_ms``; return what made progress."""
        progressed: dict[str, Sequence] = {}
        while (ends_at_ms := self.next_event_ms()) is not None:
            if ends_at_ms > now_ms:
                break
            for sequence in self._end_step(ends_at_ms):
                progressed[sequence.stream_id] = sequence
            self._begin_step(ends_at_ms)
        return list(progressed.values())

    def crash(self, now_ms: float) -> None:
        """Lose every sequence and block, as a cold start does."""
        for sequence in (*self.running, *(entry[2] for entry in self._waiting)):
            sequence.state = "cancelled"
        self._note(now_ms, "cleared")
        self.running.clear()
        self._waiting.clear()
        self._step = None
        self._open_cache()

    def insert_blocks(self, hashes: list[str], now_ms: float) -> None:
        """Add imported blocks to the cache."""
        self.cache.store(hashes, now_ms)

    @property
    def n_waiting(self) -> int:
        """Sequences that have not begun."""
        return sum(entry[2].state == "waiting" for entry in self._waiting)

    @property
    def n_waiting_tokens(self) -> int:
        """Prompt tokens that have not been prefilled."""
        n_queued = sum(
            entry[2].n_prompt_tokens
            for entry in self._waiting
            if entry[2].state == "waiting"
        )
        n_begun = sum(
            s.n_missed_tokens - s.n_prefilled_tokens
            for s in self.running
            if s.state == "prefill"
        )
        return n_queued + n_begun

    def _open_cache(self) -> None:
        parameters = self._parameters
        self.feed = EventFeed(
            parameters.events_lag_ms,
            parameters.event_loss,
            parameters.n_kept_events,
            self._rng,
        )
        self.cache = BlockCache(
            parameters.n_cache_blocks,
            parameters.cache_retention_ms,
            self._on_cache_change,
        )

    def _on_cache_change(self, now_ms: float, kind: str, hashes: Iterable[str]) -> None:
        self.feed.append(now_ms, kind, hashes)
        self._note(now_ms, kind, hashes)

    def _note(
        self, now_ms: float, kind: str, hashes: Iterable[str] = (), size: int = 0
    ) -> None:
        if self._observer is None:
            return
        rate = self._parameters.prefill_tokens_per_s
        note = CacheNote(now_ms, self._name, kind, tuple(hashes), size, rate)
        self._observer.note(note)

    def _begin_step(self, now_ms: float) -> None:
        self._step = None
        self.cache.evict(now_ms)
        self._admit(now_ms)
        decoding = tuple(s for s in self.running if s.state == "decode")
        prefills = self._plan_prefills()
        if not decoding and not prefills:
            return
        duration_ms = self._duration_ms(len(decoding), sum(n for _, n in prefills))
        self._step = _Step(now_ms + duration_ms, decoding, prefills)

    def _duration_ms(self, n_decoding: int, n_prefill_tokens: int) -> float:
        parameters = self._parameters
        duration_ms = 1000.0 * n_prefill_tokens / parameters.prefill_tokens_per_s
        if n_decoding:
            growth_ms = parameters.decode_growth_ms * (n_decoding - 1)
            duration_ms += parameters.inter_token_ms + growth_ms
        return duration_ms * self.slowness

    def _admit(self, now_ms: float) -> None:
        while self._waiting and len(self.running) < self._parameters.max_batch:
            sequence = heapq.heappop(self._waiting)[2]
            if sequence.state == "waiting":
                self._begin_prefill(sequence, now_ms)

    def _begin_prefill(self, sequence: Sequence, now_ms: float) -> None:
        n_hit_blocks = self.cache.n_hit_blocks(sequence.hashes)
        # The last prompt token is always computed, because it yields the first
        # output token.
        n_hit_tokens = min(n_hit_blocks * BLOCK_TOKENS, sequence.n_prompt_tokens - 1)
        sequence.state = "prefill"
        sequence.started_at_ms = now_ms
        sequence.n_missed_tokens = sequence.n_prompt_tokens - n_hit_tokens
        sequence.missed_hashes = sequence.hashes[n_hit_blocks:]
        self.cache.store(sequence.hashes[:n_hit_blocks], now_ms)
        self.cache.pin(sequence.hashes)
        self.running.append(sequence)
        self._note(now_ms, "prefill", sequence.hashes, n_hit_blocks)
        self._add(n_prompt_tokens=sequence.n_prompt_tokens, n_hit_tokens=n_hit_tokens)

    def _add(self, **amounts: int) -> None:
        counters = self.counters
        sums = {name: getattr(counters, name) + n for name, n in amounts.items()}
        self.counters = counters._replace(**sums)

    def _plan_prefills(self) -> tuple[tuple[Sequence, int], ...]:
        n_left = self._parameters.max_step_tokens
        plan = []
        waiting = [s for s in self.running if s.state == "prefill"]
        for sequence in sorted(waiting, key=lambda s: s.priority):
            n_missing = sequence.n_missed_tokens - sequence.n_prefilled_tokens
            n_tokens = min(n_left, n_missing)
            if n_tokens:
                plan.append((sequence, n_tokens))
            n_left -= n_tokens
        return tuple(plan)

    def _end_step(self, now_ms: float) -> list[Sequence]:
        step = self._step
        progressed = [s for s, n in step.prefills if self._prefill(s, n, now_ms)]
        progressed += [s for s in step.decoding if self._decode(s)]
        for sequence in [s for s in self.running if s.state in ("done", "cancelled")]:
            self.running.remove(sequence)
            self._end_prefill(sequence, now_ms)
            self.cache.unpin(sequence.hashes)
        return progressed

    def _prefill(self, sequence: Sequence, n_tokens: int, now_ms: float) -> bool:
        if sequence.state != "prefill":
            return False
        sequence.n_prefilled_tokens += n_tokens
        n_blocks = sequence.n_prefilled_tokens // BLOCK_TOKENS
        is_done = sequence.n_prefilled_tokens >= sequence.n_missed_tokens
        missed = sequence.missed_hashes
        self.cache.store(missed if is_done else missed[:n_blocks], now_ms)
        if not is_done:
            return False
        self._end_prefill(sequence, now_ms)
        sequence.state = "decode"
        return self._decode(sequence)

    def _end_prefill(self, sequence: Sequence, now_ms: float) -> None:
        if sequence.missed_hashes:
            self._note(now_ms, "prefilled", sequence.missed_hashes)
        sequence.missed_hashes = []

    def _decode(self, sequence: Sequence) -> bool:
        if sequence.state != "decode":
            return False
        sequence.n_generated += 1
        self._add(n_generated_tokens=1)
        if sequence.n_generated >= sequence.max_tokens:
            sequence.state = "done"
        return True
