"""Baseline: the engine with the least work, ties at random."""

import random
from collections.abc import Sequence

from expression import Error, Ok, Result

from .errors import NoEngine
from .isolation import cache_salt
from .port import Candidate, RouteChoice, RouteQuery, RoutingPort

TOKEN_BYTES = 4


def open_least_loaded(secret: str, rng: random.Random) -> RoutingPort:
    """Return routing that looks at load only."""

    def choose(
        query: RouteQuery, candidates: Sequence[Candidate], now_ms: float
    ) -> Result[RouteChoice, NoEngine]:
        eligible = [c for c in candidates if c.upstream_id not in query.excluded]
        if not eligible:
            return Error(NoEngine(query.model))
        chosen = min(eligible, key=lambda c: (_n_requests(c), rng.random()))
        return Ok(_choice(query, chosen, secret))

    def ignore(*_: object) -> None:
        """Take no notice."""

    return RoutingPort(choose, ignore, ignore, ignore, ignore)


def _n_requests(candidate: Candidate) -> int:
    return max(candidate.n_running, candidate.n_own_requests)


def _choice(query: RouteQuery, chosen: Candidate, secret: str) -> RouteChoice:
    n_prompt_tokens = max(1, len(query.prompt) // TOKEN_BYTES)
    prefill_ms = 1000.0 * n_prompt_tokens / chosen.prefill_tokens_per_s
    return RouteChoice(
        upstream_id=chosen.upstream_id,
        address=chosen.address,
        incarnation=chosen.incarnation,
        weights_version=chosen.weights_version,
        cache_salt=cache_salt(
            secret,
            query.client_account,
            query.member,
            query.model,
            chosen.weights_version,
            query.adapter,
        ),
        n_prompt_tokens=n_prompt_tokens,
        n_hit_tokens=0,
        estimated_ttft_ms=prefill_ms,
        terms=(("prefill", prefill_ms),),
    )
