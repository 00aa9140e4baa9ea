"""Runs completions: admission, choice of an engine, attempts, continuation."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..admission import AdmissionPort, AdmissionQuery, Ticket
from ..errors import CallerGone, DeadlineExceeded, Failure
from ..events import dispatch as events
from ..fleet import Fleet
from ..routing import RouteChoice, RouteQuery, RoutingPort
from ..routing.errors import NoEngine
from ..telemetry import Telemetry
from ..telemetry.metrics import ATTEMPTS_FAILED
from ..upstreams.engine_client import EngineCall, EngineClient
from ..upstreams.errors import StreamFailure
from .errors import AnswerIncomplete
from .preparation import Preparation
from .recording import ending_of, facts_of
from .requests import (
    CompletionChunk,
    CompletionDone,
    CompletionRequest,
    CompletionSink,
)

TOKEN_BYTES = 4
MAX_ATTEMPTS = 4


class _Progress:
    """What one completion has got so far."""

    def __init__(self, started_at_ms: float) -> None:
        self.started_at_ms = started_at_ms
        self.n_tokens = 0
        self.n_prompt_tokens = 0
        self.n_computed_tokens = 0
        self.ttft_ms: float | None = None
        self.excluded: set[str] = set()


class _Parts(NamedTuple):
    """What the dispatcher works with."""

    admission: AdmissionPort
    routing: RoutingPort
    fleet: Fleet
    engines: EngineClient
    telemetry: Telemetry
    now_ms: Callable[[], float]
    preparation: Preparation


class CompletionDispatcher:
    """Runs completions against the fleet's engines."""

    def __init__(
        self,
        admission: AdmissionPort,
        routing: RoutingPort,
        fleet: Fleet,
        engines: EngineClient,
        telemetry: Telemetry,
        now_ms: Callable[[], float],
        preparation: Preparation,
    ) -> None:
        self._parts = _Parts(
            admission, routing, fleet, engines, telemetry, now_ms, preparation
        )

    def run(
        self, request: CompletionRequest, sink: CompletionSink
    ) -> Result[CompletionDone, Failure]:
        """Deliver the whole answer to ``sink``, or return why not."""
        parts = self._parts
        decisions = parts.telemetry.decisions
        decisions.begin(facts_of(request), parts.now_ms())
        # What stands if an exception passes through.
        result = Error(AnswerIncomplete(0, "internal-error"))
        try:
            result = self._admit_and_run(request, sink)
        finally:
            decisions.end(request.request_id, *ending_of(result), parts.now_ms())
        return result

    def _admit_and_run(
        self, request: CompletionRequest, sink: CompletionSink
    ) -> Result[CompletionDone, Failure]:
        parts = self._parts
        query = _admission_query(request)
        ticket = parts.admission.admit(query, sink.is_gone)
        if ticket.is_error():
            return ticket
        progress = _Progress(parts.now_ms())
        parts.telemetry.decisions.on_admitted(request.request_id, parts.now_ms())
        try:
            return self._attempt_until_done(request, sink, progress)
        finally:
            self._release(ticket.ok, progress)

    def _release(self, ticket: Ticket, progress: _Progress) -> None:
        self._parts.admission.release(
            ticket, progress.n_computed_tokens, progress.n_tokens, progress.ttft_ms
        )

    def _attempt_until_done(
        self, request: CompletionRequest, sink: CompletionSink, progress: _Progress
    ) -> Result[CompletionDone, Failure]:
        failure: Failure | None = None
        for _ in range(MAX_ATTEMPTS):
            if self._parts.now_ms() > request.deadline_at_ms:
                return Error(_past_deadline(request, progress))
            query = _route_query(request, progress)
            candidates = self._parts.fleet.engines(request.model)
            choice = self._parts.routing.choose(query, candidates, self._parts.now_ms())
            if choice.is_error():
                return Error(_no_more_engines(choice.error, failure, progress))
            progress.n_prompt_tokens = choice.ok.n_prompt_tokens
            n_hit_tokens = choice.ok.n_hit_tokens
            progress.n_computed_tokens = choice.ok.n_prompt_tokens - n_hit_tokens
            self._parts.telemetry.decisions.on_choice(
                request.request_id, choice.ok, len(candidates), self._parts.now_ms()
            )
            result = self._attempt(request, query, choice.ok, sink, progress)
            if result.is_ok() or isinstance(result.error, CallerGone):
                return result
            failure = result.error
            self._note_failure(request, query, choice.ok, failure, progress)
        return Error(_no_more_engines(NoEngine(request.model), failure, progress))

    def _note_failure(
        self,
        request: CompletionRequest,
        query: RouteQuery,
        choice: RouteChoice,
        failure: Failure,
        progress: _Progress,
    ) -> None:
        parts = self._parts
        progress.excluded.add(choice.upstream_id)
        parts.telemetry.decisions.on_failed(request.request_id, failure.code)
        parts.fleet.note_outcome(choice.upstream_id, is_ok=False)
        parts.routing.on_failed(query, choice, parts.now_ms())
        parts.telemetry.metrics.incr(ATTEMPTS_FAILED)
        parts.telemetry.log(
            events.ATTEMPT_FAILED,
            request_id=request.request_id,
            upstream_id=choice.upstream_id,
            failure=failure.code,
            n_tokens_sent=progress.n_tokens,
        )

    def _attempt(
        self,
        request: CompletionRequest,
        query: RouteQuery,
        choice: RouteChoice,
        sink: CompletionSink,
        progress: _Progress,
    ) -> Result[CompletionDone, CallerGone | StreamFailure]:
        parts = self._parts
        parts.preparation.hold(query, choice, sink.is_gone)
        parts.fleet.begin(choice.upstream_id)
        parts.routing.on_sent(query, choice, parts.now_ms())
        try:
            parts.preparation.fetch(query, choice)
            call = _engine_call(request, choice, progress)
            chunks = parts.engines.open_stream(call)
            if chunks.is_error():
                return chunks
            return self._relay(query, choice, chunks.ok, sink, progress)
        finally:
            parts.fleet.end(choice.upstream_id)
            parts.routing.on_ended(query, choice, parts.now_ms())

    def _relay(
        self,
        query: RouteQuery,
        choice: RouteChoice,
        chunks: object,
        sink: CompletionSink,
        progress: _Progress,
    ) -> Result[CompletionDone, CallerGone | StreamFailure]:
        for chunk in chunks:
            if chunk.is_error():
                return chunk
            if progress.ttft_ms is None:
                self._note_first_token(query, choice, progress)
            try:
                sink.write(_completion_chunk(chunk.ok))
            except OSError:
                chunks.close()
                return Error(CallerGone(progress.n_tokens))
            progress.n_tokens += chunk.ok.n_tokens
        return Ok(
            CompletionDone(
                progress.n_tokens, progress.n_prompt_tokens, progress.ttft_ms or 0.0
            )
        )

    def _note_first_token(
        self, query: RouteQuery, choice: RouteChoice, progress: _Progress
    ) -> None:
        now_ms = self._parts.now_ms()
        progress.ttft_ms = now_ms - progress.started_at_ms
        self._parts.telemetry.decisions.on_first_token(query.request_id, now_ms)
        self._parts.routing.on_first_token(query, choice, progress.ttft_ms, now_ms)


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


def _route_query(request: CompletionRequest, progress: _Progress) -> RouteQuery:
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
    )


def _engine_call(
    request: CompletionRequest, choice: RouteChoice, progress: _Progress
) -> EngineCall:
    return EngineCall(
        upstream_id=choice.upstream_id,
        address=choice.address,
        request_id=request.request_id,
        body=request.body,
        cache_salt=choice.cache_salt,
        weights_version=choice.weights_version,
        priority=request.work_class["rank"],
        output_offset=progress.n_tokens,
    )


def _completion_chunk(chunk: object) -> CompletionChunk:
    choice = chunk.choices[0]
    return CompletionChunk(
        chunk.stream, chunk.offset, chunk.n_tokens, choice.text, choice.finish_reason
    )


def _past_deadline(request: CompletionRequest, progress: _Progress) -> DeadlineExceeded:
    not_run = "unknown" if progress.excluded else "true"
    return DeadlineExceeded(request.work_class["deadline_ms"], not_run)


def _no_more_engines(
    refusal: NoEngine, failure: Failure | None, progress: _Progress
) -> Failure:
    if progress.n_tokens:
        return AnswerIncomplete(progress.n_tokens, failure.code)
    return failure or refusal
