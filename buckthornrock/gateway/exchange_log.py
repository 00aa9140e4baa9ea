"""Log lines and metrics for the outcome of a request or an attempt."""

from typing import NamedTuple

from ..events import gateway as events
from ..scheduling.placement import Placement
from ..telemetry import Telemetry
from ..telemetry.metrics import (
    GATEWAY_ATTEMPTS_FAILED,
    GATEWAY_FIRST_EVENT_MS,
    GATEWAY_OVERFLOWS,
    GATEWAY_REQUESTS,
    GATEWAY_WAITED_MS,
)
from .errors import AttemptFailure
from .requests import AdmittedRequest, Refusal


class Progress(NamedTuple):
    """Progress of a request, for its log lines.

    ``waited_ms`` is the time until an upstream had capacity, ``first_event_ms`` the
    time until the head of the response. ``digests_age_ms`` is the age of the oldest
    peer digest that the choice of an upstream used, ``store_age_ms`` the time since
    the store last confirmed the known state; None if it never did.
    """

    upstream_id: str
    waited_ms: float
    first_event_ms: float
    duration_ms: float
    n_may_have_run: int
    n_unexecuted: int
    last_event_id: int | None
    digests_age_ms: float
    configuration_version: int
    store_age_ms: float | None


def log_served(
    telemetry: Telemetry,
    admitted: AdmittedRequest,
    placement: Placement,
    progress: Progress,
) -> None:
    """Log and count a request that got a complete response of an upstream."""
    kind = _count(telemetry, admitted, "served", progress)
    telemetry.metrics.timing(
        GATEWAY_FIRST_EVENT_MS, progress.first_event_ms, label=kind
    )
    if placement.is_overflow:
        telemetry.metrics.incr(GATEWAY_OVERFLOWS)
    telemetry.log(
        events.SERVED,
        request_id=admitted.request_id,
        route=admitted.route.name,
        rank=admitted.demand.rank,
        n_prompt_tokens=_n_prompt_tokens(admitted),
        upstream_id=placement.upstream.upstream_id,
        waited_ms=round(progress.waited_ms, 1),
        first_event_ms=round(progress.first_event_ms, 1),
        estimate_ms=round(placement.estimate_ms, 1),
        queued_prefill_ms=round(placement.queued_prefill_ms, 1),
        n_cached_tokens=placement.n_cached_tokens,
        is_overflow=placement.is_overflow,
        prefill_factor=round(placement.prefill_factor, 2),
        weights_version=placement.weights_version,
        weights_lag_ms=_rounded(placement.weights_lag_ms),
        n_attempts=progress.n_may_have_run + progress.n_unexecuted + 1,
        digests_age_ms=round(progress.digests_age_ms, 1),
        configuration_version=progress.configuration_version,
        store_age_ms=progress.store_age_ms,
        duration_ms=round(progress.duration_ms, 1),
    )


def log_not_served(
    telemetry: Telemetry,
    admitted: AdmittedRequest,
    refusal: Refusal,
    progress: Progress,
) -> None:
    """Log and count a request that was not served by an upstream."""
    _count(telemetry, admitted, refusal.code, progress)
    queue_snapshot = refusal.queue_snapshot
    telemetry.log(
        events.NOT_SERVED,
        request_id=admitted.request_id,
        route=admitted.route.name,
        n_prompt_tokens=_n_prompt_tokens(admitted),
        status=refusal.status,
        failure=refusal.code,
        reason=refusal.reason,
        upstream_id=progress.upstream_id,
        waited_ms=round(progress.waited_ms, 1),
        n_usable=queue_snapshot.n_usable if queue_snapshot else None,
        n_waiting=queue_snapshot.n_waiting if queue_snapshot else None,
        wait_ms=round(queue_snapshot.wait_ms, 1) if queue_snapshot else None,
        retry_after_ms=refusal.retry_after_ms,
        n_may_have_run=progress.n_may_have_run,
        n_unexecuted=progress.n_unexecuted,
        digests_age_ms=round(progress.digests_age_ms, 1),
        configuration_version=progress.configuration_version,
        store_age_ms=progress.store_age_ms,
        duration_ms=round(progress.duration_ms, 1),
    )


def log_client_left(
    telemetry: Telemetry, admitted: AdmittedRequest, progress: Progress
) -> None:
    """Log and count a request whose client disconnected."""
    _count(telemetry, admitted, "client-left", progress)
    telemetry.log(
        events.CLIENT_LEFT,
        request_id=admitted.request_id,
        route=admitted.route.name,
        n_prompt_tokens=_n_prompt_tokens(admitted),
        upstream_id=progress.upstream_id,
        waited_ms=round(progress.waited_ms, 1),
        last_event_id=progress.last_event_id,
        n_may_have_run=progress.n_may_have_run,
        n_unexecuted=progress.n_unexecuted,
        duration_ms=round(progress.duration_ms, 1),
    )


def log_attempt_failed(
    telemetry: Telemetry,
    admitted: AdmittedRequest,
    placement: Placement,
    failure: AttemptFailure,
    decision: str,
) -> None:
    """Log and count a failed attempt; ``decision`` says what is done next."""
    upstream_id = placement.upstream.upstream_id
    telemetry.metrics.incr(
        GATEWAY_ATTEMPTS_FAILED, label=f"{upstream_id}.{failure.code}"
    )
    telemetry.log(
        events.ATTEMPT_FAILED,
        request_id=admitted.request_id,
        upstream_id=upstream_id,
        failure=failure.code,
        reason=str(failure[0]),
        decision=decision,
        estimate_ms=round(placement.estimate_ms, 1),
        weights_version=placement.weights_version,
        weights_lag_ms=_rounded(placement.weights_lag_ms),
    )


def _n_prompt_tokens(admitted: AdmittedRequest) -> int | None:
    prompt = admitted.demand.prompt
    return None if prompt is None else prompt.n_prompt_tokens


def _rounded(duration_ms: float | None) -> float | None:
    return None if duration_ms is None else round(duration_ms, 1)


def _count(
    telemetry: Telemetry, admitted: AdmittedRequest, outcome: str, progress: Progress
) -> str:
    kind = admitted.route.kind.value
    telemetry.metrics.incr(GATEWAY_REQUESTS, label=f"{kind}.{outcome}")
    telemetry.metrics.timing(GATEWAY_WAITED_MS, progress.waited_ms, label=kind)
    return kind
