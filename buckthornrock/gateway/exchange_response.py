"""Sends the client the response or the refusal with which its request ends."""

import math

from .errors import AttemptFailure
from .exchange_log import log_not_served
from .exchange_state import ExchangeState
from .requests import Refusal
from .upstream_connection import ResponseHead

RETRY_AFTER_MS = 300.0


def send_upstream_response(
    state: ExchangeState, head: ResponseHead, body: bytearray
) -> None:
    """Send an upstream's response to the client."""
    headers = state.context.codec.encode_response(head.status, head.headers)
    state.client.send_response(head.status, headers, body)


def give_up(state: ExchangeState, failure: AttemptFailure) -> None:
    """End the request after its last attempt failed."""
    if state.client.has_sent_head:
        fail(state, failure.code, "the stream was interrupted")
        return
    if state.upstream_failure is None:
        fail(state, failure.code, "no upstream returned a complete response")
        return
    _forward_failure(state, *state.upstream_failure)


def end_without_reservation(state: ExchangeState, refusal: Refusal) -> None:
    """End a request for which no upstream could be reserved."""
    if state.upstream_failure is not None and not state.client.has_sent_head:
        _forward_failure(state, *state.upstream_failure)
        return
    refuse(state, refusal)


def fail(state: ExchangeState, code: str, reason: str) -> None:
    """End without an upstream's response.

    Status 503 promises that the request did not run, so it is used only if no
    upstream may have run it.
    """
    if state.n_may_have_run == 0 and code != "deadline":
        refuse(state, Refusal(503, code, reason, _retry_after_ms(state)))
        return
    refuse(state, Refusal(504 if code == "deadline" else 502, code, reason))


def refuse(state: ExchangeState, refusal: Refusal) -> None:
    """Refuse the request, or break off a response that has begun."""
    if state.client.has_sent_head:
        _log_not_served(state, refusal._replace(status=0))
        state.client.abort()
        return
    if state.n_may_have_run and refusal.status == 503:
        # An earlier attempt may have run, which a 503 would deny.
        refusal = refusal._replace(status=502, retry_after_ms=None)
    _log_not_served(state, refusal)
    state.client.refuse(refusal)


def _forward_failure(state: ExchangeState, head: ResponseHead, body: bytearray) -> None:
    """Send an upstream's own error response to the client."""
    send_upstream_response(state, head, body)
    reason = "all attempts ended with an error response"
    _log_not_served(state, Refusal(head.status, "upstream-failed", reason))


def _retry_after_ms(state: ExchangeState) -> float:
    """Return when the client may retry, not before an upstream takes requests."""
    service = state.admitted.demand.service.name
    quiet_ms = state.context.dispatcher.service_quiet_ms(service)
    if math.isinf(quiet_ms):
        return RETRY_AFTER_MS
    return max(RETRY_AFTER_MS, quiet_ms)


def _log_not_served(state: ExchangeState, refusal: Refusal) -> None:
    log_not_served(state.context.telemetry, state.admitted, refusal, state.progress())
