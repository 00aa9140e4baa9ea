"""Baseline policies without a cache index: round robin, least loaded, prefix home.

The prefix-home policy always chooses the engine that rendezvous hashing prefers for
the prompt's first prefix level.
"""

import itertools
import random
from collections.abc import Callable, Sequence

from expression import Error, Ok, Result

from ..runtime.rendezvous import rank
from .eligibility import eligible
from .errors import NoEngine
from .isolation import cache_salt
from .port import Candidate, PeerDigest, RouteChoice, RouteQuery, RoutingPort

#: Assumed size of a token in bytes of the rendered prompt.
TOKEN_BYTES = 4
#: Leading prompt bytes that are hashed if the caller states no prefix level.
HOME_PREFIX_BYTES = 1_024

#: Chooses one of the eligible engines.
_Pick = Callable[[RouteQuery, list[Candidate]], Candidate]


def open_round_robin(secret: str, rng: random.Random) -> RoutingPort:
    """Return routing that chooses the engines in turn."""
    turns = itertools.count(rng.randrange(1_000))

    def pick(query: RouteQuery, engines: list[Candidate]) -> Candidate:
        return engines[next(turns) % len(engines)]

    return _open(secret, rng, pick)


def open_least_loaded(secret: str, rng: random.Random) -> RoutingPort:
    """Return routing to the engine with the fewest requests, ties at random."""

    def pick(query: RouteQuery, engines: list[Candidate]) -> Candidate:
        return min(engines, key=lambda c: (_n_requests(c), rng.random()))

    return _open(secret, rng, pick)


def open_prefix_home(secret: str, rng: random.Random) -> RoutingPort:
    """Return routing by rendezvous hashing of the first prefix level only."""

    def pick(query: RouteQuery, engines: list[Candidate]) -> Candidate:
        end = query.prefix_levels[0] if query.prefix_levels else HOME_PREFIX_BYTES
        key = f"{query.client_account}/{query.member}/".encode() + query.prompt[:end]
        by_id = {engine.upstream_id: engine for engine in engines}
        return by_id[rank(key, list(by_id))[0]]

    return _open(secret, rng, pick)


def _open(secret: str, rng: random.Random, pick: _Pick) -> RoutingPort:
    def choose(
        query: RouteQuery, candidates: Sequence[Candidate], now_ms: float
    ) -> Result[RouteChoice, NoEngine]:
        engines = eligible(query, candidates, rng)
        if not engines:
            return Error(NoEngine(query.model))
        return Ok(_choice(query, pick(query, engines), secret))

    def ignore(*_: object) -> None:
        """Do nothing, since a baseline keeps no state about requests."""

    return RoutingPort(
        choose=choose,
        on_sent=ignore,
        on_first_token=ignore,
        on_failed=ignore,
        on_ended=ignore,
        on_events=ignore,
        events_since=lambda upstream_id: 0,
        must_wait=lambda query, choice, now_ms: False,
        next_export=lambda now_ms: None,
        on_exported=ignore,
        on_imported=ignore,
        digest=lambda now_ms: PeerDigest({}, ()),
        on_peer_digest=ignore,
        take_level_sends=lambda: [],
        on_level_sends=lambda sends, now_ms: [],
        on_level_views=ignore,
    )


def _n_requests(candidate: Candidate) -> int:
    return max(candidate.n_running, candidate.n_own_requests)


def _choice(query: RouteQuery, chosen: Candidate, secret: str) -> RouteChoice:
    n_prompt_tokens = max(1, len(query.prompt) // TOKEN_BYTES)
    prefill_ms = 1000.0 * n_prompt_tokens / max(1.0, chosen.prefill_tokens_per_s)
    return RouteChoice(
        upstream_id=chosen.upstream_id,
        address=chosen.address,
        incarnation=chosen.incarnation,
        weights_version=chosen.weights_version,
        cache_salt=salt_for(query, chosen, secret),
        n_prompt_tokens=n_prompt_tokens,
        n_hit_tokens=0,
        estimated_ttft_ms=prefill_ms,
        terms=(("prefill", prefill_ms),),
    )


def salt_for(query: RouteQuery, candidate: Candidate, secret: str) -> str:
    """Return the cache salt of a request for the weights of an engine."""
    return cache_salt(
        secret,
        query.client_account,
        query.member,
        query.model,
        candidate.weights_version,
        query.adapter,
    )
