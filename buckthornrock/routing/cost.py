"""Routing by the least estimated cost, mainly the time to first token."""

import random
from array import array
from collections.abc import Callable, Sequence
from typing import NamedTuple

from expression import Error, Ok, Result

from ..conf.settings import RoutingSettings
from .baselines import TOKEN_BYTES, salt_for
from .blocks import BlockHasher, hex_from_hashes
from .demand import DemandMeter
from .directory import LevelOwner, LevelSend, LevelView, LevelViews
from .eligibility import eligible
from .errors import NoEngine
from .estimate import Estimate, Prompt, UnreportedTokens, estimate, near_best
from .index import NO_MATCH, SILENT_DOUBT, CacheEventLike, CacheIndex, Match
from .inflight import InFlight, SentRequest
from .levels import Level, n_shared_blocks, preferred_engines, prefix_levels
from .port import Candidate, PeerDigest, RouteChoice, RouteQuery, RoutingPort
from .running_prefills import RunningPrefills
from .stored_prefixes import Export, StoredPrefixes

#: Engines whose estimates are within this of the best one are chosen at random.
TIE_MARGIN_MS = 1.0
TIE_MARGIN_SHARE = 0.05
#: Age of a load report's contents when it arrives. Requests that this instance sent
#: after that are added to the reported load.
REPORT_LAG_MS = 250.0
#: Up to this many engines, all are estimated. Beyond that only the preferred engines,
#: those that may hold the prompt's first block, and a random sample are.
MAX_ESTIMATED_ENGINES = 16
N_SAMPLED = 8
#: Assumed number of requests that an engine decodes together; one request is taken to
#: use this fraction of the engine's decoding time.
DECODE_BATCH_SIZE = 32


class RoutingContext(NamedTuple):
    """Dependencies and settings of the cost policy.

    Parameters
    ----------
    secret : str
        Isolation secret.
    failure_domain : str
        Failure domain of this instance.
    block_bytes : int
        Bytes of a block of a rendered prompt.
    n_instances : callable
        ``n_instances() -> int``: number of live instances, including this one.
    """

    secret: str
    failure_domain: str
    block_bytes: int
    settings: RoutingSettings
    rng: random.Random
    n_instances: Callable[[], int]


class CostRouter:
    """The cost policy and its state: hashes, cache index, sends and demand."""

    def __init__(self, context: RoutingContext) -> None:
        self._context = context
        self._terms = context.settings.terms
        self._block_tokens = context.block_bytes // TOKEN_BYTES
        self._hasher = BlockHasher(context.block_bytes)
        self.index = CacheIndex(context.settings.max_blocks_per_upstream)
        self._in_flight = InFlight()
        self._demand = DemandMeter()
        self._stored_prefixes = StoredPrefixes()
        self._running_prefills = RunningPrefills()
        self._level_views = LevelViews()
        self._level_owner = LevelOwner()

    def choose(
        self, query: RouteQuery, candidates: Sequence[Candidate], now_ms: float
    ) -> Result[RouteChoice, NoEngine]:
        """Return an engine whose estimate is the least or close to it."""
        engines = eligible(query, candidates, self._context.rng)
        if not engines:
            return Error(NoEngine(query.model))
        prompts = self._prompts(query, engines, now_ms)
        estimates = [
            self._estimate(prompts[engine.weights_version], engine, now_ms)
            for engine in self._engines_to_estimate(prompts, engines)
        ]
        chosen = self._pick(estimates)
        prompt = prompts[chosen.candidate.weights_version]
        return Ok(_choice(prompt, chosen, self._block_tokens))

    def _prompts(
        self, query: RouteQuery, engines: Sequence[Candidate], now_ms: float
    ) -> dict[str, Prompt]:
        by_weights: dict[str, list[Candidate]] = {}
        for engine in engines:
            by_weights.setdefault(engine.weights_version, []).append(engine)
        return {
            weights_version: self._prompt(query, group, now_ms)
            for weights_version, group in by_weights.items()
        }

    def _prompt(
        self, query: RouteQuery, engines: Sequence[Candidate], now_ms: float
    ) -> Prompt:
        salt = salt_for(query, engines[0], self._context.secret)
        chain = self._hasher.chain(salt, query.prompt)
        levels = prefix_levels(chain, query.prefix_levels, self._context.block_bytes)
        ids = sorted(engine.upstream_id for engine in engines)
        preferred = preferred_engines(
            levels, ids, lambda level: self._n_preferred(level, now_ms)
        )
        return Prompt(
            salt=salt,
            chain=chain,
            n_tokens=max(1, len(query.prompt) // TOKEN_BYTES),
            n_shared_blocks=n_shared_blocks(levels, query.prefix_levels, len(chain)),
            preferred=preferred,
            levels=levels,
            n_stored_blocks=self._stored_prefixes.n_stored_blocks(levels, now_ms),
        )

    def _n_preferred(self, level: Level, now_ms: float) -> int:
        if not self._terms.widening:
            return 1
        view = self._level_views.view(level.block_hash, now_ms)
        if view is not None:
            return self._demand.n_preferred(level.block_hash, view.n_engines)
        # Each peer is assumed to get as much traffic as this instance.
        own_engines = self._demand.utilisation(level.block_hash, now_ms)
        n_engines = own_engines * self._context.n_instances()
        return self._demand.n_preferred(level.block_hash, n_engines)

    def _engines_to_estimate(
        self, prompts: dict[str, Prompt], engines: list[Candidate]
    ) -> list[Candidate]:
        """Return the engines worth an estimate; all of them in a small fleet."""
        if len(engines) <= MAX_ESTIMATED_ENGINES:
            return engines
        sample = self._context.rng.sample(engines, N_SAMPLED)
        sampled = {engine.upstream_id for engine in sample}
        return [
            engine
            for engine in engines
            if engine.upstream_id in sampled
            or engine.upstream_id in prompts[engine.weights_version].preferred
            or self.index.holds_first(
                engine.upstream_id, prompts[engine.weights_version].chain
            )
        ]

    def _estimate(self, prompt: Prompt, engine: Candidate, now_ms: float) -> Estimate:
        since_ms = now_ms - engine.report_age_ms - REPORT_LAG_MS
        unreported = UnreportedTokens(
            self._in_flight.own_tokens(engine.upstream_id, since_ms),
            self._in_flight.peer_tokens(engine.upstream_id, now_ms),
        )
        is_same_domain = engine.failure_domain == self._context.failure_domain
        transit_ms = 0.0 if is_same_domain else self._context.settings.cross_domain_ms
        match = self._match(prompt, engine, now_ms)
        return estimate(
            prompt,
            engine,
            match,
            unreported,
            transit_ms,
            lambda n_blocks: self._stored_prefixes.import_ms(n_blocks, now_ms),
            self._block_tokens,
            self._terms,
        )

    def _match(self, prompt: Prompt, engine: Candidate, now_ms: float) -> Match:
        index = self.index.observe(
            engine.upstream_id, engine.incarnation, engine.weights_version
        )
        if not self._terms.hits:
            return NO_MATCH
        match = index.match(prompt.chain, now_ms, self._terms.expected)
        if not index.is_silent(now_ms):
            return match
        return self._match_from_level_views(prompt, engine.upstream_id, match, now_ms)

    def _match_from_level_views(
        self, prompt: Prompt, upstream_id: str, match: Match, now_ms: float
    ) -> Match:
        """Extend a match by what the levels' owners reported, as doubtful blocks."""
        for level in reversed(prompt.levels):
            if level.n_blocks <= match.n_blocks:
                break
            view = self._level_views.view(level.block_hash, now_ms)
            if view is not None and upstream_id in view.recent_upstreams:
                return Match(level.n_blocks, SILENT_DOUBT * level.n_blocks)
        return match

    def _pick(self, estimates: Sequence[Estimate]) -> Estimate:
        if not self._terms.random_ties:
            return min(estimates, key=lambda e: (e.total_ms, e.candidate.upstream_id))
        near = near_best(estimates, TIE_MARGIN_MS, TIE_MARGIN_SHARE)
        return self._context.rng.choice(near)

    def must_wait(self, query: RouteQuery, choice: RouteChoice, now_ms: float) -> bool:
        """Return whether another request is computing a prefix of this one there."""
        if not self._terms.expected:
            return False
        _, levels = self._shared(query, choice)
        hashes = [level.block_hash for level in levels]
        return self._running_prefills.is_running(
            choice.upstream_id, query.rank, hashes, now_ms
        )

    def _shared(
        self, query: RouteQuery, choice: RouteChoice
    ) -> tuple[array, list[Level]]:
        """Return the prompt's block hashes and the levels that others may share."""
        chain = self._hasher.chain(choice.cache_salt, query.prompt)
        levels = prefix_levels(chain, query.prefix_levels, self._context.block_bytes)
        n_shared = n_shared_blocks(levels, query.prefix_levels, len(chain))
        return chain, [level for level in levels if level.n_blocks <= n_shared]

    def on_sent(self, query: RouteQuery, choice: RouteChoice, now_ms: float) -> None:
        """Count the request as in flight, and expect its prefix at the engine."""
        n_missed_tokens = max(1, choice.n_prompt_tokens - choice.n_hit_tokens)
        sent = SentRequest(now_ms, n_missed_tokens)
        self._in_flight.add(choice.upstream_id, query.request_id, sent)
        chain, levels = self._shared(query, choice)
        self._expect(choice, chain, now_ms)
        n_hit_blocks = choice.n_hit_tokens // self._block_tokens
        n_hit_blocks -= len(choice.import_hashes)
        missed = [level.block_hash for level in levels if level.n_blocks > n_hit_blocks]
        self._running_prefills.start(
            choice.upstream_id, query.request_id, query.rank, missed, now_ms
        )
        self._note_demand(query, choice, levels, now_ms)

    def _expect(self, choice: RouteChoice, chain: array, now_ms: float) -> None:
        index = self.index.get(choice.upstream_id)
        if index is not None and index.incarnation == choice.incarnation:
            index.add_expected(chain, now_ms)

    def _confirm(self, choice: RouteChoice, chain: array, now_ms: float) -> None:
        index = self.index.get(choice.upstream_id)
        if index is None or index.incarnation != choice.incarnation:
            return
        if index.weights_version == choice.weights_version:
            index.add_expected(chain, now_ms)
            index.confirm(chain)

    def _note_demand(
        self,
        query: RouteQuery,
        choice: RouteChoice,
        levels: Sequence[Level],
        now_ms: float,
    ) -> None:
        decode_ms = choice.decode_token_ms * query.n_output_tokens
        for level in levels:
            n_tokens = choice.n_prompt_tokens - level.n_blocks * self._block_tokens
            work_ms = max(1, n_tokens) * choice.prefill_token_ms + decode_ms
            self._demand.note(level.block_hash, work_ms, now_ms)
            send = LevelSend(level.block_hash, choice.upstream_id, work_ms)
            self._level_views.note_send(send)

    def on_first_token(
        self, query: RouteQuery, choice: RouteChoice, ttft_ms: float, now_ms: float
    ) -> None:
        """Stop counting the request: its prefill is done and its prefix present."""
        self.on_ended(query, choice, now_ms)
        chain, levels = self._shared(query, choice)
        self._confirm(choice, chain, now_ms)
        if self._terms.imports:
            self._queue_export(choice, chain, levels, now_ms)

    def _queue_export(
        self,
        choice: RouteChoice,
        chain: array,
        levels: Sequence[Level],
        now_ms: float,
    ) -> None:
        due = [level for level in levels if self._stored_prefixes.note_use(level)]
        if not due or self._stored_prefixes.is_stored(due[-1], now_ms):
            return
        n_stored_blocks = self._stored_prefixes.n_stored_blocks(due, now_ms)
        hashes = hex_from_hashes(chain[n_stored_blocks : due[-1].n_blocks])
        export = Export(
            choice.upstream_id,
            choice.address,
            choice.cache_salt,
            tuple(hashes),
            tuple(due),
        )
        self._stored_prefixes.queue_export(export)

    def next_export(self, now_ms: float) -> Export | None:
        """Return the next blocks to copy to the cache store, or None."""
        return self._stored_prefixes.next_export(now_ms)

    def on_exported(
        self, export: Export, n_blocks: int, duration_ms: float, now_ms: float
    ) -> None:
        """Record an export; one with fewer blocks than wanted isn't a whole level."""
        if n_blocks < len(export.hashes):
            return
        for level in export.levels:
            self._stored_prefixes.note_stored(level.block_hash, now_ms, is_own=True)

    def on_imported(
        self,
        query: RouteQuery,
        choice: RouteChoice,
        n_blocks: int,
        duration_ms: float,
        now_ms: float,
    ) -> None:
        """Record an import; the store lacks the blocks that it did not return."""
        self._stored_prefixes.note_transfer(n_blocks, duration_ms, now_ms)
        if n_blocks < len(choice.import_hashes):
            self._stored_prefixes.forget(self._shared(query, choice)[1])

    def on_failed(self, query: RouteQuery, choice: RouteChoice, now_ms: float) -> None:
        """Stop expecting the prefix of a failed attempt."""
        self.on_ended(query, choice, now_ms)
        index = self.index.get(choice.upstream_id)
        if index is not None and index.incarnation == choice.incarnation:
            index.remove_expected(self._hasher.chain(choice.cache_salt, query.prompt))

    def on_ended(self, query: RouteQuery, choice: RouteChoice, now_ms: float) -> None:
        """Stop counting the request as in flight."""
        self._in_flight.remove(choice.upstream_id, query.request_id)
        self._running_prefills.end(query.request_id)

    def on_events(
        self,
        upstream_id: str,
        incarnation: str,
        events: Sequence[CacheEventLike],
        now_ms: float,
    ) -> None:
        """Apply a batch of an engine's cache events."""
        self.index.apply(upstream_id, incarnation, events, now_ms)

    def events_since(self, upstream_id: str) -> int:
        """Return the sequence number up to which all events are known."""
        index = self.index.get(upstream_id)
        if index is None or index.sequencer.next_seq is None:
            return 0
        return index.sequencer.next_seq - 1

    def digest(self, now_ms: float) -> PeerDigest:
        """Return what peers can't know: this instance's recent sends and exports."""
        self.index.forget_unused(now_ms)
        n_tokens = self._in_flight.digest(now_ms, 2.0 * REPORT_LAG_MS)
        return PeerDigest(n_tokens, self._stored_prefixes.take_exported())

    def on_peer_digest(
        self, instance_id: str, digest: PeerDigest, now_ms: float
    ) -> None:
        """Apply a peer's digest."""
        self._in_flight.note_peer(instance_id, digest.n_tokens, now_ms)
        for block_hash in digest.kept:
            self._stored_prefixes.note_stored(block_hash, now_ms, is_own=False)

    def take_level_sends(self) -> list[LevelSend]:
        """Return the sends that were not reported to the levels' owners yet."""
        return self._level_views.take_pending()

    def on_level_sends(
        self, sends: Sequence[LevelSend], now_ms: float
    ) -> list[LevelView]:
        """Record sends of levels that this instance owns; return their views."""
        return self._level_owner.report(sends, now_ms)

    def on_level_views(self, views: Sequence[LevelView], now_ms: float) -> None:
        """Record the views that the levels' owners returned."""
        self._level_views.note_views(views, now_ms)


def open_cost(context: RoutingContext) -> RoutingPort:
    """Return routing by the least estimated cost."""
    router = CostRouter(context)
    return RoutingPort(
        choose=router.choose,
        on_sent=router.on_sent,
        on_first_token=router.on_first_token,
        on_failed=router.on_failed,
        on_ended=router.on_ended,
        on_events=router.on_events,
        events_since=router.events_since,
        must_wait=router.must_wait,
        next_export=router.next_export,
        on_exported=router.on_exported,
        on_imported=router.on_imported,
        digest=router.digest,
        on_peer_digest=router.on_peer_digest,
        take_level_sends=router.take_level_sends,
        on_level_sends=router.on_level_sends,
        on_level_views=router.on_level_views,
    )


def _choice(prompt: Prompt, chosen: Estimate, block_tokens: int) -> RouteChoice:
    candidate = chosen.candidate
    n_hit_blocks = chosen.match.n_blocks
    n_import_end = n_hit_blocks + chosen.n_import_blocks
    n_hit_tokens = min(prompt.n_tokens, n_import_end * block_tokens)
    return RouteChoice(
        upstream_id=candidate.upstream_id,
        address=candidate.address,
        incarnation=candidate.incarnation,
        weights_version=candidate.weights_version,
        cache_salt=prompt.salt,
        n_prompt_tokens=prompt.n_tokens,
        n_hit_tokens=n_hit_tokens,
        estimated_ttft_ms=chosen.ttft_ms,
        terms=chosen.terms,
        import_hashes=tuple(hex_from_hashes(prompt.chain[n_hit_blocks:n_import_end])),
        prefill_token_ms=1000.0 / max(1.0, candidate.prefill_tokens_per_s),
        decode_token_ms=candidate.inter_token_ms / DECODE_BATCH_SIZE,
    )
