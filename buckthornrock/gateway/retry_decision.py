"""Decides whether a request is sent again after a failed attempt."""

import enum

from .attempt_limits import has_another_attempt
from .dispatcher import Reservation
from .errors import AttemptFailure, NotExecuted, NotReached, Withdrawn
from .exchange_state import ExchangeState

#: A request is refused after this many attempts that no upstream executed.
MAX_UNEXECUTED_ATTEMPTS = 4
#: A request is not sent again after this many crashes of engines that ran it.
MAX_CRASHES = 2
#: How long an upstream gets no new requests after it refused one.
BLOCK_AFTER_REFUSAL_MS = 120.0
#: Time reserved for sending the response to the client. An attempt that may have run
#: is not repeated with no more time left than this.
RESPONSE_MARGIN_MS = 20.0


class NextStep(enum.Enum):
    """What to do after a failed attempt; the values are logged as ``decision``."""

    TRY_AGAIN = "try again"
    NOT_REPEATABLE = "give up: may not run twice"
    ATTEMPTS_USED = "give up: no attempt left"
    BUDGET_USED = "give up: the retry budget is used up"
    TIME_USED = "give up: no time left"
    CRASHES_ENGINES = "give up: engines crashed on it"


def record_failure(
    state: ExchangeState, reservation: Reservation, failure: AttemptFailure
) -> None:
    """Count a failed attempt for the request and against its upstream."""
    if isinstance(failure, Withdrawn):
        return
    upstream = reservation.placement.upstream
    state.excluded |= {upstream.upstream_id}
    state.has_sent = False
    if isinstance(failure, NotReached):
        state.n_unexecuted += 1
        state.upstream_load(reservation).on_connect_failure(state.now_ms())
        return
    if isinstance(failure, NotExecuted):
        state.n_unexecuted += 1
        state.context.dispatcher.block(upstream, BLOCK_AFTER_REFUSAL_MS)
        return
    state.n_may_have_run += 1
    if not state.is_own_fault:
        is_failure = state.upstream_failure is None
        state.record_outcome(reservation, is_failure)


def decide_next(
    state: ExchangeState, failure: AttemptFailure, now_ms: float
) -> NextStep:
    """Return what to do after a recorded failure; take a retry from the budget."""
    if isinstance(failure, Withdrawn):
        return NextStep.TRY_AGAIN
    if isinstance(failure, NotReached):
        return _next_after_unexecuted(state)
    if isinstance(failure, NotExecuted):
        return _apply_retry_budget(state, _next_after_unexecuted(state), now_ms)
    route = state.admitted.route
    if not route.is_repeatable:
        return NextStep.NOT_REPEATABLE
    if state.n_crashes >= MAX_CRASHES:
        return NextStep.CRASHES_ENGINES
    if state.n_may_have_run >= route.n_attempts:
        return NextStep.ATTEMPTS_USED
    ends_at_ms = state.context.stopping.capped(state.admitted.ends_at_ms)
    if ends_at_ms - now_ms <= RESPONSE_MARGIN_MS:
        return NextStep.TIME_USED
    return _apply_retry_budget(state, NextStep.TRY_AGAIN, now_ms)


def may_abandon_stream(state: ExchangeState) -> bool:
    """Return whether a stalled stream could be resumed at another upstream."""
    if not has_another_attempt(state):
        return False
    tried = state.excluded | {state.upstream_id}
    if not state.context.dispatcher.has_usable(state.admitted.demand, tried):
        return False
    service = state.admitted.demand.service.name
    n_instances = state.context.n_instances()
    return state.context.budget.allows(service, n_instances, state.now_ms())


def _next_after_unexecuted(state: ExchangeState) -> NextStep:
    if state.n_unexecuted >= MAX_UNEXECUTED_ATTEMPTS:
        return NextStep.ATTEMPTS_USED
    return NextStep.TRY_AGAIN


def _apply_retry_budget(
    state: ExchangeState, step: NextStep, now_ms: float
) -> NextStep:
    if step is NextStep.TRY_AGAIN and not _consume_retry_budget(state, now_ms):
        return NextStep.BUDGET_USED
    return step


def _consume_retry_budget(state: ExchangeState, now_ms: float) -> bool:
    service = state.admitted.demand.service.name
    return state.context.budget.take(service, state.context.n_instances(), now_ms)
