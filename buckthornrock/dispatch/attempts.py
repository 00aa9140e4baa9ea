"""One attempt at an engine: send, relay, cancel."""

import select
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..errors import CallerGone
from ..fleet import Fleet
from ..routing import RouteChoice, RouteQuery, RoutingPort
from ..telemetry import Telemetry
from ..upstreams.engine_client import EngineClient
from ..upstreams.engine_control import EngineControl
from ..upstreams.engine_messages import EngineChunk
from ..upstreams.engine_stream import BrokenStreamError, EngineCall, EngineStream
from ..upstreams.errors import StreamFailure
from ..upstreams.relay import Relay, RelaySink
from .continuation import EventIds, StreamOrigin, body_digest
from .preparation import Preparation
from .progress import Progress, Replay, StreamRef
from .requests import CompletionRequest, CompletionSink

#: Longest wait for the first token, which names the stream, behind the head.
FIRST_TOKEN_WAIT_MS = 1_000.0

AttemptFailure = CallerGone | StreamFailure


class AttemptParts(NamedTuple):
    """What an attempt works with."""

    routing: RoutingPort
    fleet: Fleet
    engines: EngineClient
    control: EngineControl
    relay: Relay
    preparation: Preparation
    event_ids: EventIds
    telemetry: Telemetry
    now_ms: Callable[[], float]


class Plan(NamedTuple):
    """Where an attempt goes.

    ``resumed`` is the stream that is resumed at its own engine, if that is tried.
    """

    query: RouteQuery
    choice: RouteChoice
    resumed: StreamRef | None


def run_attempt(
    parts: AttemptParts,
    request: CompletionRequest,
    plan: Plan,
    sink: CompletionSink,
    progress: Progress,
) -> Result[None, AttemptFailure]:
    """Send the request, or the rest of it, to one engine and relay its answer."""
    query, choice = plan.query, plan.choice
    if plan.resumed is None:
        parts.preparation.hold(query, choice, sink.is_gone)
        if sink.is_gone():
            return Error(CallerGone(progress.delivered.n_tokens))
        parts.routing.on_sent(query, choice, parts.now_ms())
    parts.fleet.begin(choice.upstream_id)
    try:
        if plan.resumed is None:
            parts.preparation.fetch(query, choice)
        call = _engine_call(request, plan, progress, parts.now_ms())
        stream = parts.engines.open_stream(call)
        if stream.is_error():
            return stream
        return _relay(parts, request, plan, stream.ok, sink, progress)
    finally:
        parts.fleet.end(choice.upstream_id)
        parts.routing.on_ended(query, choice, parts.now_ms())


def _engine_call(
    request: CompletionRequest, plan: Plan, progress: Progress, now_ms: float
) -> EngineCall:
    """Return the call that yields the rest of the answer.

    With the text at hand another engine goes on behind it. Without, it computes the
    answer from its beginning, and :class:`Replay` drops what the caller has.
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
    parts: AttemptParts,
    request: CompletionRequest,
    plan: Plan,
    stream: EngineStream,
    sink: CompletionSink,
    progress: Progress,
) -> Result[None, AttemptFailure]:
    encode = _encoder(parts, request, plan, stream, sink, progress)
    result = parts.relay.run(stream, RelaySink(encode, sink.socket))
    if result.is_error() and isinstance(result.error, CallerGone):
        _cancel(parts, plan.choice, stream)
    stream.finish()
    if result.is_error() and progress.is_finished:
        # Only the mark behind the last token is missing.
        return Ok(None)
    return result


def _encoder(
    parts: AttemptParts,
    request: CompletionRequest,
    plan: Plan,
    stream: EngineStream,
    sink: CompletionSink,
    progress: Progress,
) -> Callable[[list[EngineChunk]], bytes]:
    """Return the function that takes in chunks and encodes them for the caller."""
    is_from_start = progress.text is None and plan.resumed is None
    replay = Replay(progress.delivered) if is_from_start else None
    event_id = None
    is_first = True

    def encode(chunks: list[EngineChunk]) -> bytes:
        nonlocal event_id, is_first
        if is_first:
            is_first = False
            _note_first_token(parts, plan, stream, progress)
            if sink.socket is not None:
                origin = _origin(request, progress)
                event_id = parts.event_ids.seal(request.caller, origin)
        fresh = _fresh(chunks, replay, progress)
        ids = []
        for chunk in fresh:
            progress.add(chunk)
            ids.append(event_id(progress.delivered) if event_id else b"")
        return sink.encode(fresh, ids) if fresh else b""

    return encode


def _fresh(
    chunks: list[EngineChunk], replay: Replay | None, progress: Progress
) -> list[EngineChunk]:
    """Return the chunks, or parts of them, that the caller does not have yet."""
    if replay is None or replay.is_done:
        return chunks
    fresh = []
    for chunk in chunks:
        left = chunk if replay.is_done else replay.feed(chunk)
        if replay.is_done and progress.text is None:
            progress.text = replay.text()
        if left is not None:
            fresh.append(left)
    return fresh


def _note_first_token(
    parts: AttemptParts, plan: Plan, stream: EngineStream, progress: Progress
) -> None:
    now_ms = parts.now_ms()
    progress.weights_version = plan.choice.weights_version
    progress.stream = StreamRef(
        plan.choice.upstream_id, stream.stream_id, stream.call.request_id
    )
    if progress.ttft_ms is None:
        progress.ttft_ms = now_ms - progress.started_at_ms
        parts.telemetry.decisions.on_first_token(plan.query.request_id, now_ms)
    if plan.resumed is None:
        parts.routing.on_first_token(plan.query, plan.choice, progress.ttft_ms, now_ms)


def _origin(request: CompletionRequest, progress: Progress) -> StreamOrigin:
    stream = progress.stream
    return StreamOrigin(
        request_id=stream.request_id,
        upstream_id=stream.upstream_id,
        stream_id=stream.stream_id,
        weights_version=progress.weights_version,
        body_digest=body_digest(request.body),
    )


def _cancel(parts: AttemptParts, choice: RouteChoice, stream: EngineStream) -> None:
    """Free the engine from a stream that nobody reads."""
    if not stream.stream_id and not _has_begun(stream):
        return
    if stream.stream_id and not stream.is_whole:
        parts.control.cancel(choice.address, stream.stream_id)


def _has_begun(stream: EngineStream) -> bool:
    poll = select.poll()
    poll.register(stream, select.POLLIN)
    # What the head brought along is read first; only then the socket tells.
    for wait_ms in (0.0, FIRST_TOKEN_WAIT_MS):
        poll.poll(wait_ms)
        try:
            stream.read()
        except BrokenStreamError:
            return False
        if stream.stream_id:
            return True
    return False
