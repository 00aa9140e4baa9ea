"""Runs completions: admission, choice of an engine, attempts and continuation."""

import functools
import random
from collections.abc import Callable

from expression import Error, Ok, Result

from ..admission import AdmissionPort, AdmissionQuery, Ticket
from ..errors import CallerGone, DeadlineExceeded, Failure
from ..events import dispatch as events
from ..routing import RouteQuery
from ..telemetry.metrics import (
    ATTEMPTS_FAILED,
    EXPECTED_HIT_TOKENS,
    PROMPT_TOKENS,
)
from ..upstreams.engine_stream import OTHER_WEIGHTS
from ..upstreams.errors import AttemptFailed, StreamBroken, UpstreamRefused
from .attempts import AttemptContext, Plan, run_attempt
from .errors import ResponseIncomplete
from .progress import RESPONSE_DIFFERS, Progress
from .recording import outcome_of, request_facts
from .requests import CompletionDone, CompletionRequest, CompletionSink
from .retry import RetryBudget, backoff_ms

#: Estimated bytes of a prompt token.
TOKEN_BYTES = 4
#: Failed attempts after which a completion is given up.
MAX_FAILURES = 6


class CompletionDispatcher:
    """Runs completions on the engines of the fleet."""

    def __init__(
        self,
        admission: AdmissionPort,
        context: AttemptContext,
        sleep_ms: Callable[[float], None],
        rng: random.Random,
    ) -> None:
        self._admission = admission
        self._context = context
        self._sleep_ms = sleep_ms
        self._rng = rng
        self._budget = RetryBudget(context.now_ms())

    def run(
        self, request: CompletionRequest, sink: CompletionSink
    ) -> Result[CompletionDone, Failure]:
        """Deliver the whole response to ``sink``, or return the failure."""
        context = self._context
        decisions = context.telemetry.decisions
        decisions.begin(request_facts(request), context.now_ms())
        # Recorded as the outcome if an exception propagates.
        result = Error(ResponseIncomplete(0, "internal-error"))
        try:
            result = self._admit_and_run(request, sink)
        finally:
            decisions.end(request.request_id, *outcome_of(result), context.now_ms())
        return result

    def _admit_and_run(
        self, request: CompletionRequest, sink: CompletionSink
    ) -> Result[CompletionDone, Failure]:
        context = self._context
        if request.resume is not None and request.resume.delivered.is_finished:
            # The caller has every token and lacks only the end mark.
            return Ok(CompletionDone(request.resume.delivered.n_tokens, 0, 0.0))
        ticket = self._admission.admit(_admission_query(request), sink.is_gone)
        if ticket.is_error():
            return ticket
        progress = Progress(
            request.request_id,
            context.now_ms(),
            request.resume,
            functools.partial(self._admission.note_first_token, ticket.ok),
        )
        context.telemetry.decisions.on_admitted(request.request_id, context.now_ms())
        self._budget.note_request()
        try:
            return self._attempt_until_done(request, sink, progress)
        finally:
            self._release(ticket.ok, progress)

    def _release(self, ticket: Ticket, progress: Progress) -> None:
        self._admission.release(
            ticket,
            progress.n_computed_tokens,
            progress.delivered.n_tokens,
            progress.ttft_ms is not None,
        )

    def _attempt_until_done(
        self, request: CompletionRequest, sink: CompletionSink, progress: Progress
    ) -> Result[CompletionDone, Failure]:
        while True:
            if self._context.now_ms() > request.deadline_at_ms:
                return Error(_deadline_failure(request, progress))
            plan = self._plan(request, progress)
            if plan.is_ok():
                result = run_attempt(self._context, request, plan.ok, sink, progress)
                if result.is_ok():
                    self._context.fleet.note_outcome(plan.ok.choice.upstream_id, True)
                    return Ok(_completion_done(progress))
                if isinstance(result.error, CallerGone):
                    return result
                self._record_failure(request, plan.ok, result.error, progress)
            elif not progress.excluded:
                return Error(_final_failure(plan.error, progress))
            else:
                # Every engine has failed once; one may have recovered by now.
                progress.excluded.clear()
                progress.n_failures += 1
            if not self._may_retry(request, progress):
                return Error(_final_failure(progress.last_failure, progress))

    def _plan(
        self, request: CompletionRequest, progress: Progress
    ) -> Result[Plan, Failure]:
        """Choose the engine for the next attempt."""
        context = self._context
        query = _route_query(request, progress)
        candidates = context.fleet.engines(request.model, request.adapter)
        resumed = progress.stream
        if resumed is not None:
            # Resuming is tried once. If the engine no longer holds the stream, the
            # response is continued by a new stream at any engine.
            progress.stream = None
            own = [c for c in candidates if c.upstream_id == resumed.upstream_id]
            choice = context.routing.choose(query, own, context.now_ms())
            if choice.is_ok():
                return Ok(Plan(query, choice.ok, resumed))
        choice = context.routing.choose(query, candidates, context.now_ms())
        if choice.is_error():
            return choice
        progress.n_prompt_tokens = choice.ok.n_prompt_tokens
        n_hit_tokens = choice.ok.n_hit_tokens
        progress.n_computed_tokens = choice.ok.n_prompt_tokens - n_hit_tokens
        metrics = context.telemetry.metrics
        metrics.incr(PROMPT_TOKENS, choice.ok.n_prompt_tokens)
        metrics.incr(EXPECTED_HIT_TOKENS, choice.ok.n_hit_tokens)
        context.telemetry.decisions.on_choice(
            request.request_id, choice.ok, len(candidates), context.now_ms()
        )
        return Ok(Plan(query, choice.ok, None))

    def _may_retry(self, request: CompletionRequest, progress: Progress) -> bool:
        """Tell whether to make another attempt, after the backoff if one applies."""
        if progress.n_failures >= MAX_FAILURES:
            return False
        if progress.stream is not None:
            return True
        now_ms = self._context.now_ms()
        # The retry budget limits extra load. It does not apply once tokens have been
        # delivered, since the work behind them is lost without a continuation.
        if not progress.has_delivered and not self._budget.try_take(now_ms):
            return False
        remaining_ms = request.deadline_at_ms - now_ms
        self._sleep_ms(backoff_ms(progress.n_failures, remaining_ms, self._rng))
        return True

    def _record_failure(
        self,
        request: CompletionRequest,
        plan: Plan,
        failure: Failure,
        progress: Progress,
    ) -> None:
        context = self._context
        upstream_id = plan.choice.upstream_id
        progress.may_have_run |= getattr(failure, "not_run", "unknown") != "true"
        if plan.resumed is not None and progress.stream is None:
            # The stream could not be resumed. This does not count as a failure: the
            # engine may simply no longer hold the stream.
            return
        progress.n_failures += 1
        progress.last_failure = failure
        if not _may_hold_stream(failure):
            progress.stream = None
        if progress.stream is None:
            progress.excluded.add(upstream_id)
        # A call ended by its caller's deadline says nothing about the engine's health.
        is_in_time = context.now_ms() < request.deadline_at_ms
        if is_in_time and _is_engine_fault(failure):
            context.fleet.note_outcome(upstream_id, False)
        context.telemetry.decisions.on_failed(request.request_id, failure.code)
        context.routing.on_failed(plan.query, plan.choice, context.now_ms())
        context.telemetry.metrics.incr(ATTEMPTS_FAILED)
        context.telemetry.log(
            events.ATTEMPT_FAILED,
            request_id=request.request_id,
            upstream_id=upstream_id,
            failure=failure.code,
            n_tokens_sent=progress.delivered.n_tokens,
        )


def _may_hold_stream(failure: Failure) -> bool:
    """Tell whether the engine may still hold the stream."""
    return isinstance(failure, StreamBroken) and failure.is_connection_lost


def _is_engine_fault(failure: Failure) -> bool:
    """Tell whether the failure counts against the engine's health.

    A refused request may itself be invalid. An engine is also healthy if it has
    loaded other weights since its last report, or if it samples a different text than
    the engine before it.
    """
    if isinstance(failure, UpstreamRefused):
        return failure.status >= 500
    is_broken = isinstance(failure, StreamBroken)
    return not (is_broken and failure.reason in (OTHER_WEIGHTS, RESPONSE_DIFFERS))


def _completion_done(progress: Progress) -> CompletionDone:
    return CompletionDone(
        progress.delivered.n_tokens, progress.n_prompt_tokens, progress.ttft_ms or 0.0
    )


def _admission_query(request: CompletionRequest) -> AdmissionQuery:
    return AdmissionQuery(
        request_id=request.request_id,
        client_account=request.caller.client_account,
        member=request.caller.member,
        profile=request.profile,
        work_class=request.work_class_name,
        rank=request.work_class["rank"],
        weight=request.weight,
        worth=request.work_class["worth"],
        model=request.model,
        n_prompt_tokens=max(1, len(request.prompt) // TOKEN_BYTES),
        n_output_tokens=request.max_tokens,
        deadline_at_ms=request.deadline_at_ms,
        is_deferred=request.is_deferred,
    )


def _route_query(request: CompletionRequest, progress: Progress) -> RouteQuery:
    return RouteQuery(
        request_id=request.request_id,
        client_account=request.caller.client_account,
        member=request.caller.member,
        model=request.model,
        adapter=request.adapter,
        prompt=request.prompt,
        prefix_levels=request.prefix_levels,
        n_output_tokens=request.max_tokens,
        rank=request.work_class["rank"],
        excluded=frozenset(progress.excluded),
        weights_version=progress.weights_version,
    )


def _deadline_failure(request: CompletionRequest, progress: Progress) -> Failure:
    if progress.has_delivered:
        return ResponseIncomplete(progress.delivered.n_tokens, "deadline-exceeded")
    not_run = "unknown" if progress.may_have_run else "true"
    return DeadlineExceeded(request.work_class["deadline_ms"], not_run)


def _final_failure(failure: Failure, progress: Progress) -> Failure:
    """Return the failure for the caller.

    It claims that nothing ran only if that holds for all attempts.
    """
    if progress.has_delivered:
        return ResponseIncomplete(progress.delivered.n_tokens, failure.code)
    failure = progress.last_failure or failure
    if progress.may_have_run and isinstance(failure, AttemptFailed):
        return failure._replace(not_run="unknown")
    return failure
