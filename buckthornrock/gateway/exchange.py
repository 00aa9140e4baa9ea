"""Serves one admitted request: reserves upstreams and attempts them until one responds.

Before each attempt it is checked whether the request may still be sent. A charge for a
request that provably no upstream ran is refunded at the end.
"""

import asyncio
import functools

from .attempt import run_attempt
from .client_connection import ClientConnection
from .exchange_context import ExchangeContext
from .exchange_log import log_attempt_failed, log_client_left, log_served
from .exchange_response import end_without_reservation, fail, give_up, refuse
from .exchange_state import ExchangeState
from .requests import AdmittedRequest, quarantine_refusal
from .retry_decision import NextStep, decide_next, may_abandon_stream, record_failure
from .stopping import NOT_FINISHED, NOT_SENT
from .stream_relay import StreamRelay


async def serve_admitted(
    context: ExchangeContext, admitted: AdmittedRequest, client: ClientConnection
) -> None:
    """Respond to the client within the deadline of the request."""
    state = ExchangeState(context, admitted, client)
    state.relay = StreamRelay(
        client,
        admitted.request.fields.last_event_id,
        functools.partial(may_abandon_stream, state),
    )
    context.budget.on_request(admitted.demand.service.name, state.now_ms())
    limit_s = max(0.0, state.remaining_ms()) / 1000.0
    try:
        async with asyncio.timeout(limit_s) as limit:
            with context.stopping.limiting(limit):
                await _attempt_until_done(state)
    except TimeoutError:
        _on_timeout(state)
    except asyncio.CancelledError:
        log_client_left(context.telemetry, state.admitted, state.progress())
        raise
    finally:
        _refund_not_run(state)
        # The relay refers to the state. Without this, the request's body would stay in
        # memory until the garbage collector finds the cycle.
        state.relay = None


async def _attempt_until_done(state: ExchangeState) -> None:
    context = state.context
    stopping, ends_at_ms = context.stopping, state.admitted.ends_at_ms
    while True:
        if stopping.must_refuse(ends_at_ms, state.now_ms()):
            end_without_reservation(state, NOT_SENT)
            return
        if _refuse_quarantined(state):
            return
        _update_cache_scope(state)
        limited = state.admitted._replace(ends_at_ms=stopping.capped(ends_at_ms))
        reserved = await context.dispatcher.reserve(limited, state.excluded)
        if reserved.is_error():
            end_without_reservation(state, reserved.error)
            return
        reservation = reserved.ok
        if _refuse_quarantined(state):
            # A part was quarantined while the request waited.
            reservation.release()
            return
        state.waited_ms = state.now_ms() - state.admitted.request.received_at_ms
        try:
            outcome = await run_attempt(state, reservation)
        finally:
            reservation.release()
        placement = reservation.placement
        if outcome.is_ok():
            progress = state.progress()
            log_served(context.telemetry, state.admitted, placement, progress)
            return
        failure = outcome.error
        record_failure(state, reservation, failure)
        decision = decide_next(state, failure, state.now_ms())
        log_attempt_failed(
            context.telemetry, state.admitted, placement, failure, decision.value
        )
        if decision is not NextStep.TRY_AGAIN:
            give_up(state, failure)
            return
        state.upstream_id = ""


def _refuse_quarantined(state: ExchangeState) -> bool:
    """Refuse the request if a part of its prompt crashes engines."""
    findings = state.context.fleet_state.crash_findings
    found = findings.find_quarantined(state.crash_parts)
    if found is None:
        return False
    refuse(state, quarantine_refusal(found))
    return True


def _update_cache_scope(state: ExchangeState) -> None:
    """Use the cache scope of the configuration that is in force now."""
    demand = state.admitted.demand._replace(cache_scope=state.cache_scope_in_force())
    state.admitted = state.admitted._replace(demand=demand)


def _on_timeout(state: ExchangeState) -> None:
    if not state.context.stopping.ends_early(state.admitted.ends_at_ms):
        fail(state, "deadline", "no response before the deadline")
        return
    may_have_run = state.has_sent or state.n_may_have_run
    refuse(state, NOT_FINISHED if may_have_run else NOT_SENT)


def _refund_not_run(state: ExchangeState) -> None:
    """Refund the request's charge if provably no upstream ran it."""
    may_run = state.has_sent and not state.is_declined
    if may_run or state.n_may_have_run or state.admitted.charge is None:
        return
    state.context.quotas.refund(state.admitted.charge)
