"""Runs one attempt of a completion at one engine: send, relay, cancel."""

import select
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..errors import CallerGone
from ..fleet import Fleet
from ..routing import RouteChoice, RouteQuery, RoutingPort
from ..telemetry import Telemetry
from ..upstreams.engine_client import EngineClient
from ..upstreams.engine_control_client import EngineControlClient
from ..upstreams.engine_messages import EngineChunk
from ..upstreams.engine_stream import BrokenStreamError, EngineCall, EngineStream
from ..upstreams.errors import StreamFailure
from ..upstreams.relay import Relay, RelaySink
from .continuation import EventIds, StreamOrigin, body_digest
from .preparation import CachePreparation
from .progress import Progress, Replay, StreamRef
from .requests import CompletionRequest, CompletionSink

#: How long a cancel waits for the first token after the response head. Only the first
#: token carries the stream id, without which the stream cannot be cancelled.
FIRST_TOKEN_WAIT_MS = 1_000.0

AttemptFailure = CallerGone | StreamFailure


class AttemptContext(NamedTuple):
    """What all attempts share."""

    routing: RoutingPort
    fleet: Fleet
    engines: EngineClient
    control: EngineControlClient
    relay: Relay
    preparation: CachePreparation
    event_ids: EventIds
    telemetry: Telemetry
    now_ms: Callable[[], float]


class Plan(NamedTuple):
    """The engine that an attempt is sent to.

    ``resumed`` is the stream to resume at the engine that started it; None starts a
    new stream.
    """

    query: RouteQuery
    choice: RouteChoice
    resumed: StreamRef | None


def run_attempt(
    context: AttemptContext,
    request: CompletionRequest,
    plan: Plan,
    sink: CompletionSink,
    progress: Progress,
) -> Result[None, AttemptFailure]:
    """Send the request, or what remains of it, to one engine and relay its response."""
    query, choice = plan.query, plan.choice
    if plan.resumed is None:
        context.preparation.wait_for_prefix(query, choice, sink.is_gone)
        if sink.is_gone():
            return Error(CallerGone(progress.delivered.n_tokens))
        context.routing.on_sent(query, choice, context.now_ms())
    context.fleet.begin(choice.upstream_id)
    try:
        if plan.resumed is None:
            context.preparation.import_prefix(query, choice)
        call = _engine_call(request, plan, progress, context.now_ms())
        stream = context.engines.open_stream(call)
        if stream.is_error():
            return stream
        return _relay(context, request, plan, stream.ok, sink, progress)
    finally:
        context.fleet.end(choice.upstream_id)
        context.routing.on_ended(query, choice, context.now_ms())


def _engine_call(
    request: CompletionRequest, plan: Plan, progress: Progress, now_ms: float
) -> EngineCall:
    """Return the call that yields the rest of the response.

    If this instance has the delivered text, another engine continues after it.
    Otherwise the engine computes the response from its start, and :class:`Replay`
    drops the part that the caller already has.
    """
    resumed = plan.resumed
    has_text = progress.text is not None
    is_from_start = resumed is None and not has_text
    return EngineCall(
        upstream_id=plan.choice.upstream_id,
        address=plan.choice.address,
        request_id=resumed.request_id if resumed else request.request_id,
        body=request.body,
        cache_salt=plan.choice.cache_salt,
        weights_version=plan.choice.weights_version,
        priority=request.work_class["rank"],
        output_offset=0 if is_from_start else progress.delivered.n_tokens,
        generated=progress.text.decode() if has_text and resumed is None else "",
        resume_stream=resumed.stream_id if resumed else "",
        timeout_ms=max(1.0, request.deadline_at_ms - now_ms),
    )


def _relay(
    context: AttemptContext,
    request: CompletionRequest,
    plan: Plan,
    stream: EngineStream,
    sink: CompletionSink,
    progress: Progress,
) -> Result[None, AttemptFailure]:
    encode = _make_encoder(context, request, plan, stream, sink, progress)
    result = context.relay.run(stream, RelaySink(encode, sink.socket))
    if result.is_error() and isinstance(result.error, CallerGone):
        _cancel(context, plan.choice, stream)
    stream.finish()
    if result.is_error() and progress.is_finished:
        # The caller has every token; only the end mark after them is missing.
        return Ok(None)
    return result


def _make_encoder(
    context: AttemptContext,
    request: CompletionRequest,
    plan: Plan,
    stream: EngineStream,
    sink: CompletionSink,
    progress: Progress,
) -> Callable[[list[EngineChunk]], bytes]:
    """Return the function that records chunks and encodes them for the caller."""
    is_from_start = progress.text is None and plan.resumed is None
    replay = Replay(progress.delivered) if is_from_start else None
    event_id = None
    is_first = True

    def encode(chunks: list[EngineChunk]) -> bytes:
        nonlocal event_id, is_first
        if is_first:
            is_first = False
            _record_first_token(context, plan, stream, progress)
            if sink.socket is not None:
                origin = _origin(request, progress)
                event_id = context.event_ids.seal(request.caller, origin)
        undelivered = _undelivered(chunks, replay, progress)
        ids = []
        for chunk in undelivered:
            progress.add(chunk)
            ids.append(event_id(progress.delivered) if event_id else b"")
        return sink.encode(undelivered, ids) if undelivered else b""

    return encode


def _undelivered(
    chunks: list[EngineChunk], replay: Replay | None, progress: Progress
) -> list[EngineChunk]:
    """Return the chunks, or the parts of them, that the caller does not have yet."""
    if replay is None or replay.is_done:
        return chunks
    undelivered = []
    for chunk in chunks:
        remainder = chunk if replay.is_done else replay.feed(chunk)
        if replay.is_done and progress.text is None:
            progress.text = replay.text()
        if remainder is not None:
            undelivered.append(remainder)
    return undelivered


def _record_first_token(
    context: AttemptContext, plan: Plan, stream: EngineStream, progress: Progress
) -> None:
    now_ms = context.now_ms()
    progress.weights_version = plan.choice.weights_version
    progress.stream = StreamRef(
        plan.choice.upstream_id, stream.stream_id, stream.call.request_id
    )
    if progress.ttft_ms is None:
        progress.ttft_ms = now_ms - progress.started_at_ms
        context.telemetry.decisions.on_first_token(plan.query.request_id, now_ms)
        progress.on_first_token(progress.n_computed_tokens, progress.ttft_ms)
    if plan.resumed is None:
        context.routing.on_first_token(
            plan.query, plan.choice, progress.ttft_ms, now_ms
        )


def _origin(request: CompletionRequest, progress: Progress) -> StreamOrigin:
    stream = progress.stream
    return StreamOrigin(
        request_id=stream.request_id,
        upstream_id=stream.upstream_id,
        stream_id=stream.stream_id,
        weights_version=progress.weights_version,
        body_digest=body_digest(request.body),
    )


def _cancel(context: AttemptContext, choice: RouteChoice, stream: EngineStream) -> None:
    """Cancel a stream whose caller is gone, so that the engine stops computing it."""
    if not stream.stream_id and not _has_stream_id(stream):
        return
    if stream.stream_id and not stream.is_complete:
        context.control.cancel(choice.address, stream.stream_id)


def _has_stream_id(stream: EngineStream) -> bool:
    poll = select.poll()
    poll.register(stream, select.POLLIN)
    # Body bytes may have been buffered with the head. They are read before waiting,
    # because polling the socket does not report them.
    for wait_ms in (0.0, FIRST_TOKEN_WAIT_MS):
        poll.poll(wait_ms)
        try:
            stream.read()
        except BrokenStreamError:
            return False
        if stream.stream_id:
            return True
    return False
