"""The cache index: which engine incarnation holds which blocks.

Each engine has three sets of block hashes: ``present`` from its events, ``doubtful``
from before a gap in them, and ``expected`` from this instance's own sends. Sets keep
batches of events in C: no Python object but the hash itself belongs to an entry.
"""

from array import array
from collections.abc import Sequence
from itertools import takewhile
from typing import NamedTuple, Protocol

from .blocks import hashes_from_hex
from .sequencing import EventSequencer

GAP_WAIT_MS = 300.0
#: Engines evict within seconds, so older doubtful entries are worth nothing.
DOUBTFUL_TTL_MS = 5_000.0
#: An own send counts this long; by then the engine's events should tell.
EXPECTED_TTL_MS = 2_000.0
MAX_EXPECTED_BLOCKS = 16_384
#: Without an answer to event polls for this long, every entry is doubtful.
SILENT_AFTER_MS = 2_000.0


class CacheEventLike(Protocol):
    """What the index reads of a cache event."""

    seq: int
    kind: str
    hashes: Sequence[str]


class Match(NamedTuple):
    """The longest known prefix of a chain at one engine.

    Parameters
    ----------
    n_blocks : int
        Blocks of the prefix, doubtful ones included.
    n_doubtful_blocks : int
        Blocks among them that may be gone.
    """

    n_blocks: int
    n_doubtful_blocks: int


NO_MATCH = Match(0, 0)


class EngineIndex:
    """What is known of the cache of one engine incarnation.

    Attributes
    ----------
    n_gaps, n_dropped : int
        Gaps in the events, and entries that found no room.
    """

    def __init__(self, incarnation: str, weights_version: str, max_blocks: int) -> None:
        self.incarnation = incarnation
        self.weights_version = weights_version
        self.n_gaps = 0
        self.n_dropped = 0
        self.sequencer = EventSequencer(GAP_WAIT_MS)
        self._max_blocks = max_blocks
        self._heard_at_ms = -SILENT_AFTER_MS - 1.0
        self._present: set[int] = set()
        self._doubtful: set[int] = set()
        self._doubtful_until_ms = 0.0
        self._expected: dict[int, float] = {}

    @property
    def n_blocks(self) -> int:
        """Blocks known from events, doubtful ones included."""
        return len(self._present) + len(self._doubtful)

    def apply(self, events: Sequence[CacheEventLike], now_ms: float) -> None:
        """Apply a batch of events in any order, with gaps and repeats.

        An empty batch tells that nothing changed.
        """
        self._heard_at_ms = now_ms
        for event in self.sequencer.take(events, now_ms):
            if event is None:
                self._note_gap(now_ms)
                continue
            self._apply_one(event)
        if self._doubtful and now_ms >= self._doubtful_until_ms:
            self._doubtful = set()

    def _apply_one(self, event: CacheEventLike) -> None:
        if event.kind == "cleared":
            self.clear()
            return
        hashes = hashes_from_hex(event.hashes)
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

    def _note_gap(self, now_ms: float) -> None:
        self.n_gaps += 1
        # One generation of doubt is kept; an older one is dropped with this.
        self._doubtful = self._present
        self._present = set()
        self._doubtful_until_ms = now_ms + DOUBTFUL_TTL_MS

    def clear(self) -> None:
        """Forget every entry; the sequence of events goes on."""
        self._present = set()
        self._doubtful = set()
        self._expected = {}

    def expect(self, chain: array, now_ms: float) -> None:
        """Note that the engine computes ``chain`` for this instance."""
        if len(self._expected) + len(chain) > MAX_EXPECTED_BLOCKS:
            self._expire(now_ms)
        if len(self._expected) + len(chain) > MAX_EXPECTED_BLOCKS:
            return
        self._expected.update(dict.fromkeys(chain, now_ms + EXPECTED_TTL_MS))

    def _expire(self, now_ms: float) -> None:
        self._expected = {h: at for h, at in self._expected.items() if at > now_ms}

    def unexpect(self, chain: array) -> None:
        """Take back :meth:`expect`: the engine failed the request."""
        for block_hash in chain:
            self._expected.pop(block_hash, None)

    def is_silent(self, now_ms: float) -> bool:
        """Tell whether no event poll was answered lately."""
        return now_ms - self._heard_at_ms > SILENT_AFTER_MS

    def holds(self, block_hash: int) -> bool:
        """Tell whether a block is present, expected or doubtful."""
        return (
            block_hash in self._present
            or block_hash in self._expected
            or block_hash in self._doubtful
        )

    def match(self, chain: array, now_ms: float, uses_expected: bool = True) -> Match:
        """Return the longest known prefix of ``chain``."""
        if now_ms - self._heard_at_ms > DOUBTFUL_TTL_MS:
            # Also frees what another instance keeps by now.
            self._present, self._doubtful = set(), set()
        n_blocks = sum(1 for _ in takewhile(self._present.__contains__, chain))
        n_doubtful = n_blocks if self.is_silent(now_ms) else 0
        doubtful = self._doubtful if now_ms < self._doubtful_until_ms else ()
        expected = self._expected if uses_expected else {}
        for block_hash in chain[n_blocks:]:
            is_known = block_hash in self._present
            if not is_known and expected.get(block_hash, 0.0) <= now_ms:
                if block_hash not in doubtful:
                    break
                n_doubtful += 1
            n_blocks += 1
        return Match(n_blocks, n_doubtful)


class CacheIndex:
    """The indexes of all engines, each tied to an incarnation and its weights.

    Parameters
    ----------
    max_blocks : int
        Entries that one engine may have.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._engines: dict[str, EngineIndex] = {}

    def observe(
        self, upstream_id: str, incarnation: str, weights_version: str
    ) -> EngineIndex:
        """Return the engine's index after dropping what a change made invalid.

        The engine's load report says what runs there; events never do.
        """
        engine = self._engines.get(upstream_id)
        if engine is None or engine.incarnation != incarnation:
            engine = EngineIndex(incarnation, weights_version, self._max_blocks)
            self._engines[upstream_id] = engine
        if engine.weights_version not in ("", weights_version):
            # Events don't name the weights; those of the old ones are all void.
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
        late, or they come again once that incarnation is observed.
        """
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
        """Tell whether the engine may hold the first block of ``chain``."""
        engine = self._engines.get(upstream_id)
        return engine is not None and bool(chain) and engine.holds(chain[0])

    @property
    def n_blocks(self) -> int:
        """Entries of all engines."""
        return sum(engine.n_blocks for engine in self._engines.values())
