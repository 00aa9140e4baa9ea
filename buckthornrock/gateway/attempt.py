"""One attempt at an upstream: connects, sends the request and limits its time."""

import asyncio

import h11
from expression import Error, Result

from ..catalog.upstreams import Upstream
from ..scheduling.placement import Placement
from .attempt_limits import attempt_limit_s, start_limit_s
from .attempt_response import handle_response, is_stream
from .crash_watch import WatchedAttempt
from .dispatcher import Reservation
from .errors import (
    AttemptFailure,
    ConnectionBrokenError,
    Interrupted,
    NotReached,
    Withdrawn,
)
from .exchange_state import ExchangeState
from .placement_records import placement_salt, record_cached_parts
from .ports import Headers, UpstreamRequestFields

#: How long an upstream gets no new requests after one of its responses timed out.
BLOCK_AFTER_TIMEOUT_MS = 300.0
#: A digest is sent to peers at once for a prompt whose prefill takes at least this
#: long, instead of with the next period.
URGENT_PREFILL_MS = 40.0


async def run_attempt(
    state: ExchangeState, reservation: Reservation
) -> Result[None, AttemptFailure]:
    """Send the request to the reserved upstream, and its response to the client."""
    context, admitted = state.context, state.admitted
    upstream = reservation.placement.upstream
    state.upstream_id = upstream.upstream_id
    remaining_ms = state.remaining_ms()
    acquired = await context.pool.acquire(
        upstream, remaining_ms, state.used_connections, admitted.request_id
    )
    if acquired.is_error():
        return acquired
    state.upstream_load(reservation).on_connected()
    connection = acquired.ok
    withdrawn = _withdraw_reason(state, upstream)
    if withdrawn:
        context.pool.put_back(upstream, connection)
        return Error(Withdrawn(withdrawn))
    state.used_connections.append(connection)
    _record_placement(state, reservation.placement)
    watched = WatchedAttempt(
        admitted.request_id, upstream, state.crash_parts, is_repeat=state.n_crashes > 0
    )
    headers = _upstream_headers(state, reservation.placement)
    state.on_sending(state.now_ms())
    context.crash_watch.begin(watched, connection.close)
    try:
        request = admitted.request
        connection.send(request.method, request.target, headers, request.body)
        limit_s = attempt_limit_s(state)
        ends_at_s = asyncio.get_running_loop().time() + limit_s
        head_limit_s = min(limit_s, start_limit_s(state, reservation))
        async with asyncio.timeout(head_limit_s) as limit:
            head = await connection.read_head(admitted.request_id)
            state.head_at_ms = state.now_ms()
            context.fleet_state.notices.on_notice(upstream, head.fields.notice)
            # The body of a refusal has a limit of its own, so that the attempt's
            # doesn't hide that the request did not run.
            is_limited = not (is_stream(state, head) or head.fields.is_not_executed)
            limit.reschedule(ends_at_s if is_limited else None)
            return await handle_response(state, reservation, connection, head, watched)
    except ConnectionBrokenError as error:
        state.is_own_fault = connection.was_held_back
        if admitted.demand.prompt is not None and not state.is_own_fault:
            state.n_crashes += await context.crash_watch.on_broken(watched)
        return Error(Interrupted(str(error)))
    except h11.LocalProtocolError as error:
        return Error(NotReached(str(error)))
    except TimeoutError:
        context.dispatcher.block(upstream, BLOCK_AFTER_TIMEOUT_MS)
        return Error(Interrupted("the upstream did not respond in time"))
    finally:
        context.crash_watch.end(watched)
        context.pool.release(upstream, connection)


def _withdraw_reason(state: ExchangeState, upstream: Upstream) -> str:
    """Return why the request may not be sent as it was placed, "" if it may."""
    if not state.context.dispatcher.may_send(upstream):
        return "the upstream leaves or wants quiet"
    if state.admitted.demand.cache_scope != state.cache_scope_in_force():
        return "the cache scope of the account has changed"
    return ""


def _record_placement(state: ExchangeState, placement: Placement) -> None:
    """Record what the upstream will cache; tell peers at once of a long prefill."""
    fleet_state = state.context.fleet_state
    record_cached_parts(fleet_state, state.admitted.demand, placement)
    if placement.work.prefill_ms >= URGENT_PREFILL_MS:
        fleet_state.publish_now()


def _upstream_headers(state: ExchangeState, placement: Placement) -> Headers:
    """Return the headers of the request to the upstream."""
    admitted = state.admitted
    prompt, account = admitted.demand.prompt, admitted.account
    kv_source = placement.kv_source
    if kv_source and not state.context.dispatcher.may_fetch_from(kv_source):
        kv_source = ""
    fields = UpstreamRequestFields(
        upstream=placement.upstream,
        remaining_ms=state.remaining_ms(),
        client_account=account.name if account else "",
        weights_version=placement.weights_version,
        priority_class=admitted.demand.priority_class if prompt else None,
        cache_salt=placement_salt(admitted.demand, placement),
        kv_source=kv_source,
        kv_target=placement.kv_target,
        last_event_id=state.relay.last_event_id,
    )
    request = admitted.request
    return state.context.codec.encode_request(
        request.headers, fields, len(request.body)
    )
