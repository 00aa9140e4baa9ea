"""The cache index: which blocks each engine incarnation has in its prefix cache.

Each engine has three collections of block hashes: ``present`` from its events,
``doubtful`` from events before a gap in the sequence, and ``expected`` from requests
that this instance sent. The first two are sets, so that a batch of events is applied in
C and an entry needs no Python object besides the hash itself.
"""

from array import array
from collections.abc import Sequence
from itertools import takewhile
from typing import NamedTuple, Protocol

from .blocks import hashes_from_hex
from .sequencing import EventSequencer, Gap

#: Time to wait for a missing event before it counts as lost.
GAP_WAIT_MS = 300.0
#: Doubtful entries are dropped after this long unless an event confirms them.
DOUBTFUL_TTL_MS = 30_000.0
#: Probability of a doubtful entry being gone above which all of them are dropped.
MAX_DOUBT = 0.8
#: Weight of the newest event in the mean number of blocks per event.
NEWEST_EVENT_WEIGHT = 0.05
#: Lifetime of expected blocks; by then the engine's events should have reported them.
EXPECTED_TTL_MS = 2_000.0
MAX_EXPECTED_BLOCKS = 16_384
#: Every entry is doubtful after event polls got no response for the first of these
#: times, and is dropped after the second. Engines evict blocks within seconds.
SILENT_AFTER_MS = 2_000.0
INVALID_AFTER_MS = 5_000.0
#: Probability of an entry being gone while the engine doesn't respond to event polls.
SILENT_DOUBT = 0.5

#: An index that was neither updated nor considered for this long is dropped. Its engine
#: is gone, or has evicted the blocks by now.
SWEEP_PERIOD_MS = 60_000.0


class CacheEventLike(Protocol):
    """What the index reads of a cache event."""

    seq: int
    kind: str
    hashes: Sequence[str]


class Match(NamedTuple):
    """The longest known prefix of a hash chain at one engine.

    Parameters
    ----------
    n_blocks : int
        Number of blocks of the prefix, including doubtful ones.
    n_gone_blocks : float
        Expected number of these blocks that are no longer in the cache.
    """

    n_blocks: int
    n_gone_blocks: float


NO_MATCH = Match(0, 0.0)


class EngineIndex:
    """The known cache contents of one engine incarnation.

    Attributes
    ----------
    n_gaps, n_dropped : int
        Gaps in the sequence of events, and entries dropped because the index was full.
    """

    def __init__(self, incarnation: str, weights_version: str, max_blocks: int) -> None:
        self.incarnation = incarnation
        self.weights_version = weights_version
        self.n_gaps = 0
        self.n_dropped = 0
        self.sequencer = EventSequencer(GAP_WAIT_MS)
        self._max_blocks = max_blocks
        self._last_response_at_ms = -SILENT_AFTER_MS - 1.0
        self._present: set[int] = set()
        self._doubtful: set[int] = set()
        self._doubtful_until_ms = 0.0
        self._doubt = 0.0
        self._mean_event_blocks = 1.0
        self._expected: dict[int, float] = {}

    @property
    def n_blocks(self) -> int:
        """Number of blocks known from events, including doubtful ones."""
        return len(self._present) + len(self._doubtful)

    def apply(self, events: Sequence[CacheEventLike], now_ms: float) -> None:
        """Apply a batch of events, which may be unordered, incomplete and repeated.

        An empty batch is a response of the engine that nothing changed.
        """
        self._last_response_at_ms = now_ms
        for event in self.sequencer.take(events, now_ms):
            if isinstance(event, Gap):
                self._note_gap(event.n_lost, now_ms)
                continue
            self._apply_one(event)
        if self._doubtful and now_ms >= self._doubtful_until_ms:
            self._drop_doubtful()

    def _apply_one(self, event: CacheEventLike) -> None:
        if event.kind == "cleared":
            self.clear()
            return
        hashes = hashes_from_hex(event.hashes)
        difference = len(hashes) - self._mean_event_blocks
        self._mean_event_blocks += NEWEST_EVENT_WEIGHT * difference
        if event.kind == "removed":
            self._present.difference_update(hashes)
            self._doubtful.difference_update(hashes)
            return
        if len(self._present) + len(hashes) > self._max_blocks:
            self.n_dropped += len(hashes)
            return
        self._present.update(hashes)
        if self._doubtful:
            self._doubtful.difference_update(hashes)

    def _note_gap(self, n_lost: int, now_ms: float) -> None:
        """Make all entries doubtful, since a lost event may have removed any one."""
        self.n_gaps += 1
        n_gone = n_lost * self._mean_event_blocks
        gone_share = min(1.0, n_gone / max(1, self.n_blocks))
        self._doubt = 1.0 - (1.0 - self._doubt) * (1.0 - gone_share)
        self._doubtful |= self._present
        self._present = set()
        self._doubtful_until_ms = now_ms + DOUBTFUL_TTL_MS
        if self._doubt > MAX_DOUBT:
            self._drop_doubtful()

    def _drop_doubtful(self) -> None:
        self._doubtful = set()
        self._doubt = 0.0

    def clear(self) -> None:
        """Drop every entry; the sequence of events continues."""
        self._present = set()
        self._expected = {}
        self._drop_doubtful()

    def add_expected(self, chain: array, now_ms: float) -> None:
        """Record that the engine is computing ``chain`` for this instance."""
        if len(self._expected) + len(chain) > MAX_EXPECTED_BLOCKS:
            self._drop_expired(now_ms)
        if len(self._expected) + len(chain) > MAX_EXPECTED_BLOCKS:
            return
        self._expected.update(dict.fromkeys(chain, now_ms + EXPECTED_TTL_MS))

    def _drop_expired(self, now_ms: float) -> None:
        self._expected = {h: at for h, at in self._expected.items() if at > now_ms}

    def confirm(self, chain: array) -> None:
        """Record that the engine has just used all of ``chain``.

        If any of it is removed, an event that hasn't arrived yet will report that.
        """
        if len(self._present) + len(chain) > self._max_blocks:
            self.n_dropped += len(chain)
            return
        self._present.update(chain)
        self._doubtful.difference_update(chain)

    def remove_expected(self, chain: array) -> None:
        """Undo :meth:`add_expected` after the engine failed the request."""
        for block_hash in chain:
            self._expected.pop(block_hash, None)

    def is_silent(self, now_ms: float) -> bool:
        """Return whether no event poll got a response recently."""
        return now_ms - self._last_response_at_ms > SILENT_AFTER_MS

    def holds(self, block_hash: int) -> bool:
        """Return whether a block is present, expected or doubtful."""
        return (
            block_hash in self._present
            or block_hash in self._expected
            or block_hash in self._doubtful
        )

    def match(self, chain: array, now_ms: float, uses_expected: bool = True) -> Match:
        """Return the longest known prefix of ``chain``."""
        if now_ms - self._last_response_at_ms > INVALID_AFTER_MS:
            # This also frees the memory of an index that other instances now hold.
            self._present = set()
            self._drop_doubtful()
        n_blocks = sum(1 for _ in takewhile(self._present.__contains__, chain))
        n_gone = SILENT_DOUBT * n_blocks if self.is_silent(now_ms) else 0.0
        doubtful = self._doubtful if now_ms < self._doubtful_until_ms else ()
        expected = self._expected if uses_expected else {}
        for block_hash in chain[n_blocks:]:
            is_known = block_hash in self._present
            if not is_known and expected.get(block_hash, 0.0) <= now_ms:
                if block_hash not in doubtful:
                    break
                n_gone += self._doubt
            n_blocks += 1
        return Match(n_blocks, n_gone)


class CacheIndex:
    """The indexes of all engines, each for one incarnation and weights version.

    Parameters
    ----------
    max_blocks : int
        Maximum number of entries per engine.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._engines: dict[str, EngineIndex] = {}
        self._used: set[str] = set()
        self._swept_at_ms = 0.0

    @property
    def n_engines(self) -> int:
        """Number of engines that have an index."""
        return len(self._engines)

    def forget_unused(self, now_ms: float) -> None:
        """Periodically drop the indexes that were not used since the last time.

        Engines are replaced often, and their replacements may have other ids.
        """
        if now_ms - self._swept_at_ms < SWEEP_PERIOD_MS:
            return
        self._swept_at_ms = now_ms
        for upstream_id in self._engines.keys() - self._used:
            del self._engines[upstream_id]
        self._used.clear()

    def observe(
        self, upstream_id: str, incarnation: str, weights_version: str
    ) -> EngineIndex:
        """Return the engine's index, without the entries that a change invalidated.

        The arguments come from the engine's load report, which states what runs
        there; events never do.
        """
        self._used.add(upstream_id)
        engine = self._engines.get(upstream_id)
        if engine is None or engine.incarnation != incarnation:
            engine = EngineIndex(incarnation, weights_version, self._max_blocks)
            self._engines[upstream_id] = engine
        if engine.weights_version not in ("", weights_version):
            # Events don't state the weights version, so the entries of the old version
            # can't be told apart and are all dropped.
            engine.clear()
        engine.weights_version = weights_version
        return engine

    def apply(
        self,
        upstream_id: str,
        incarnation: str,
        events: Sequence[CacheEventLike],
        now_ms: float,
    ) -> None:
        """Apply a batch of events of one engine incarnation.

        Events of another incarnation than the observed one are dropped: they are
        either late, or will be polled again once that incarnation is observed.
        """
        self._used.add(upstream_id)
        engine = self._engines.get(upstream_id)
        if engine is None:
            engine = EngineIndex(incarnation, "", self._max_blocks)
            self._engines[upstream_id] = engine
        if engine.incarnation == incarnation:
            engine.apply(events, now_ms)

    def get(self, upstream_id: str) -> EngineIndex | None:
        """Return the index of the engine's current incarnation, if there is one."""
        return self._engines.get(upstream_id)

    def holds_first(self, upstream_id: str, chain: array) -> bool:
        """Return whether the engine may hold the first block of ``chain``."""
        engine = self._engines.get(upstream_id)
        return engine is not None and bool(chain) and engine.holds(chain[0])

    @property
    def n_blocks(self) -> int:
        """Number of entries of all engines."""
        return sum(engine.n_blocks for engine in self._engines.values())
