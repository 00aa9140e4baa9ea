"""Takes the response of an attempt: checks it and passes it on to the client."""

import asyncio
import functools

from expression import Error, Ok, Result

from ..catalog.configuration import RouteKind
from ..events import gateway as events
from .crash_watch import WatchedAttempt
from .dispatcher import Reservation
from .errors import AttemptFailure, ConnectionBrokenError, Interrupted, NotExecuted
from .exchange_response import send_upstream_response
from .exchange_state import ExchangeState
from .placement_records import record_weights_version
from .upstream_connection import ResponseHead, UpstreamConnection

#: Time limit for reading the body of an upstream's refusal.
REFUSAL_BODY_TIMEOUT_MS = 200.0


def is_stream(state: ExchangeState, head: ResponseHead) -> bool:
    """Return whether a response is relayed event by event."""
    is_event_stream = head.status == 200 and head.fields.is_event_stream
    return state.admitted.route.kind is RouteKind.STREAM and is_event_stream


async def handle_response(
    state: ExchangeState,
    reservation: Reservation,
    connection: UpstreamConnection,
    head: ResponseHead,
    watched: WatchedAttempt,
) -> Result[None, AttemptFailure]:
    """Read the rest of a response, and send it to the client unless it is a failure."""
    context = state.context
    upstream = reservation.placement.upstream
    if head.fields.load is not None:
        context.dispatcher.on_load_report(upstream, head.fields.load)
    if head.fields.is_not_executed:
        state.is_declined = True
        await _drain_refusal(state, connection)
        record_weights_version(
            context.fleet_state,
            state.admitted.demand,
            reservation.placement,
            head.fields.weights_version,
        )
        return Error(NotExecuted(head.status))
    if head.fields.has_content_encoding or not head.fields.has_server_stamp:
        return Error(
            Interrupted("the response has no server stamp, or has a content encoding")
        )
    if is_stream(state, head):
        await state.relay.run(
            connection,
            context.codec.encode_response(head.status, head.headers),
            functools.partial(_on_event, state, reservation, watched),
            must_have_event=head.ends_with_connection,
        )
        _report_end(state, head, watched)
        state.record_outcome(reservation, is_failure=False)
        return Ok(None)
    body = await connection.read_body(functools.partial(_hold_body, state))
    if head.status == 200:
        _report_end(state, head, watched)
    is_failure = head.status >= 500
    state.record_outcome(reservation, is_failure)
    if state.client.has_sent_head:
        return Error(Interrupted(f"status {head.status} for a resumed stream"))
    if is_failure and state.admitted.route.is_repeatable:
        state.upstream_failure = (head, body)
        return Error(Interrupted(f"status {head.status}"))
    send_upstream_response(state, head, body)
    return Ok(None)


def _on_event(
    state: ExchangeState, reservation: Reservation, watched: WatchedAttempt
) -> None:
    now_ms = state.now_ms()
    reservation.on_first_event(now_ms - state.sent_at_ms, now_ms)
    state.context.crash_watch.on_event(watched)


def _hold_body(state: ExchangeState, n_bytes: int) -> None:
    """Account for a response's body, and for that of an earlier failure."""
    if state.upstream_failure is not None:
        n_bytes += len(state.upstream_failure[1])
    state.client.hold_response(n_bytes)


def _report_end(
    state: ExchangeState, head: ResponseHead, watched: WatchedAttempt
) -> None:
    """Report a complete response to the crash watch."""
    if head.ends_with_connection:
        state.context.crash_watch.on_closed(watched)
    else:
        state.context.crash_watch.on_whole(watched)


async def _drain_refusal(state: ExchangeState, connection: UpstreamConnection) -> None:
    """Read the body of a refusal, so that the connection can be reused.

    The head already states that the request did not run, so an error here is logged
    and does not change the outcome of the attempt.
    """
    try:
        async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_MS / 1000.0):
            await connection.read_body()
    except (ConnectionBrokenError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        state.context.telemetry.log(
            events.REFUSAL_CUT,
            request_id=state.admitted.request_id,
            upstream_id=state.upstream_id,
            reason=reason,
        )
