"""Time limits of one attempt at an upstream."""

import math

from .dispatcher import Reservation
from .exchange_state import ExchangeState

#: Share of the remaining time that an attempt of a repeatable request may take while
#: another attempt is possible after it.
EARLIER_ATTEMPT_SHARE = 0.5
#: Upper bound of the time of such an attempt, as a multiple of the latency objective.
EARLIER_ATTEMPT_MAX_OBJECTIVES = 2.5


def has_another_attempt(state: ExchangeState) -> bool:
    """Return whether the request may be repeated after the current attempt."""
    route = state.admitted.route
    if state.context.stopping.ends_early(state.admitted.ends_at_ms):
        # Another attempt would begin too late to be finished.
        return False
    return route.is_repeatable and state.n_may_have_run + 1 < route.n_attempts


def attempt_limit_s(state: ExchangeState) -> float:
    """Return the time limit of an attempt, for a stream of its response head.

    The last attempt has none of its own, as it ends with the request. A limit at the
    same time could pass first, and the deadline would look like the upstream's failure.
    """
    if not has_another_attempt(state):
        return math.inf
    max_wait_ms = state.admitted.route.objective_ms * EARLIER_ATTEMPT_MAX_OBJECTIVES
    limit_ms = min(state.remaining_ms() * EARLIER_ATTEMPT_SHARE, max_wait_ms)
    return max(0.0, limit_ms) / 1000.0


def start_limit_s(state: ExchangeState, reservation: Reservation) -> float:
    """Return the time limit of the response head that an engine's weights set.

    A request that waits at an engine until its weights are too old is cancelled.
    """
    prompt = state.admitted.demand.prompt
    if prompt is None:
        return math.inf
    limit_ms = state.context.fleet_state.weights.may_start_for_ms(
        reservation.placement.upstream, prompt.model, state.now_ms()
    )
    return max(0.0, limit_ms) / 1000.0
