"""Filters the engines that may be chosen for a request."""

import random
from collections.abc import Sequence

from .port import Candidate, RouteQuery


def eligible(
    query: RouteQuery, candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    """Return the candidates that may get this request.

    An engine that is recovering has a health below 1 and takes part in that share of
    the choices. If that leaves no engine, health is ignored, since an engine of
    doubtful health is better than a refusal.
    """
    allowed = [c for c in candidates if _may_answer(query, c)]
    healthy = [c for c in allowed if c.health >= 1.0 or rng.random() < c.health]
    return healthy or allowed


def _may_answer(query: RouteQuery, candidate: Candidate) -> bool:
    if candidate.upstream_id in query.excluded:
        return False
    wanted = query.weights_version
    return not wanted or candidate.weights_version == wanted
