"""Which engines may be chosen for a request at all."""

import random
from collections.abc import Sequence

from .port import Candidate, RouteQuery


def eligible(
    query: RouteQuery, candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    """Return the candidates that may get this request.

    An engine that returns slowly takes part in a share of the choices. If that
    leaves none, health is not looked at: a doubtful engine is better than a refusal.
    """
    allowed = [c for c in candidates if _may_answer(query, c)]
    healthy = [c for c in allowed if c.health >= 1.0 or rng.random() < c.health]
    return healthy or allowed


def _may_answer(query: RouteQuery, candidate: Candidate) -> bool:
    if candidate.upstream_id in query.excluded:
        return False
    wanted = query.weights_version
    return not wanted or candidate.weights_version == wanted
