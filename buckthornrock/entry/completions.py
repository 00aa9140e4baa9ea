"""Serves completion requests as a stream, as one response, or as a deferred job."""

import os
import socket
from collections.abc import Callable

from expression import Error, Ok, Result

from ..dispatch import Caller, CompletionRequest, CompletionSink
from ..dispatch.continuation import body_digest
from ..dispatch.errors import EventIdMismatch
from ..errors import CallerGone, Failure
from ..events import entry as events
from ..httpd import Exchange
from ..profiles import AccountLimits, Profile
from ..telemetry.metrics import REQUESTS, TOKENS, TTFT_MS
from ..upstreams.engine_messages import EngineChunk
from ..upstreams.relay import is_gone
from .context import EntryContext, refuse
from .deferred import deferred_wait_ms, submit_deferred
from .errors import BadRequest, UnknownWorkClass
from .event_stream import DONE_EVENT, error_event, stream_encoder
from .parsing import (
    CompletionFields,
    parse_completion,
    parse_deadline_ms,
    parse_object,
    parse_preferences,
    render_prompt,
)
from .problems import problem_document

EVENT_STREAM = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}


def serve_completion(
    context: EntryContext, exchange: Exchange, caller: Caller, request_id: str
) -> None:
    """Serve one completion or chat completion request."""
    is_chat = exchange.path == "/v1/chat/completions"
    parsed = _parse(context, exchange, caller, request_id, is_chat)
    if parsed.is_error():
        refuse(context, exchange, parsed.error, request_id, caller)
        return
    request, fields = parsed.ok
    preferences = parse_preferences(exchange.headers.get("prefer", ""))
    if "respond-async" in preferences:
        wait_ms = deferred_wait_ms(preferences)
        submit_deferred(context, exchange, request, is_chat, wait_ms)
        return
    context.telemetry.metrics.incr(REQUESTS, label=request.work_class_name)
    if fields.stream:
        _serve_stream(context, exchange, request, is_chat)
        return
    _serve_whole(context, exchange, request, is_chat)


def _parse(
    context: EntryContext,
    exchange: Exchange,
    caller: Caller,
    request_id: str,
    is_chat: bool,
) -> Result[tuple[CompletionRequest, CompletionFields], Failure]:
    raw = exchange.read_body(is_decoded=True)
    if raw.is_error():
        return raw
    body = parse_object(raw.ok)
    if body.is_error():
        return body
    fields = parse_completion(body.ok, is_chat)
    if fields.is_error():
        return fields
    request = build_request(
        context, caller, request_id, body.ok, fields.ok, exchange.headers
    )
    if request.is_error():
        return request
    resumable = _with_resume_point(context, exchange, request.ok, fields.ok)
    return resumable.map(lambda r: (r, fields.ok))


def _with_resume_point(
    context: EntryContext,
    exchange: Exchange,
    request: CompletionRequest,
    fields: CompletionFields,
) -> Result[CompletionRequest, Failure]:
    """Return the request with the resume point that ``Last-Event-ID`` names."""
    event_id = exchange.headers.get("last-event-id", "")
    if not event_id:
        return Ok(request)
    if not fields.stream:
        return Error(BadRequest("Last-Event-ID", "only streams can be resumed"))
    point = context.event_ids.open(request.caller, event_id)
    if point.is_error():
        return point
    if point.ok.origin.body_digest != body_digest(request.body):
        return Error(EventIdMismatch())
    return Ok(request._replace(resume=point.ok))


def build_request(
    context: EntryContext,
    caller: Caller,
    request_id: str,
    body: dict,
    fields: CompletionFields,
    headers: dict[str, str],
) -> Result[CompletionRequest, Failure]:
    """Build the dispatcher's request from body, headers and profile."""
    name = headers.get("x-profile", context.default_profile)
    record = context.profiles.current(name)
    if record.is_error():
        return record
    profile = record.ok.profile
    class_name = headers.get("x-work-class", profile["default_work_class"])
    if record.ok.trust == "start" and class_name not in profile["work_classes"]:
        # The accepted profile is not known yet, so the class may well exist there.
        # Serve the request by the default class rather than refuse it.
        class_name = profile["default_work_class"]
    work_class = profile["work_classes"].get(class_name)
    if work_class is None:
        return Error(UnknownWorkClass(name, class_name))
    header = headers.get("x-deadline-ms", "")
    deadline_ms = parse_deadline_ms(header, work_class["deadline_ms"])
    if deadline_ms.is_error():
        return deadline_ms
    return Ok(
        CompletionRequest(
            request_id=request_id,
            caller=caller,
            profile=name,
            work_class_name=class_name,
            work_class=work_class,
            weight=_limits(profile, caller)["weight"],
            model=fields.model,
            adapter=fields.adapter,
            body=body,
            prompt=render_prompt(fields),
            prefix_levels=tuple(fields.prefix_levels),
            max_tokens=fields.max_tokens,
            deadline_at_ms=context.clock.now_ms() + deadline_ms.ok,
            is_deferred=False,
        )
    )


def _limits(profile: Profile, caller: Caller) -> AccountLimits:
    accounts = profile["client_accounts"]
    return accounts.get(caller.client_account, profile["default_limits"])


def _serve_stream(
    context: EntryContext, exchange: Exchange, request: CompletionRequest, is_chat: bool
) -> None:
    encode_events = stream_encoder(
        _completion_id(request.request_id, is_chat), request.model, is_chat
    )

    head = {**EVENT_STREAM, "X-Request-Id": request.request_id}

    def encode(chunks: list[EngineChunk], event_ids: list[bytes]) -> bytes:
        events = encode_events(chunks, event_ids)
        if exchange.is_started:
            return exchange.frame_part(events)
        # The response head is sent with the first token, so that an earlier failure
        # can still be reported as a problem document.
        return exchange.stream_head(200, head) + exchange.frame_part(events)

    sink = CompletionSink(encode, exchange.socket, lambda: is_gone(exchange.socket))
    result = context.completions.run(request, sink)
    if result.is_ok():
        _record_served(context, request, result.ok.n_tokens, result.ok.ttft_ms)
        if not exchange.is_started:
            exchange.start_stream(200, head)
        exchange.send_part(DONE_EVENT)
        return
    if not exchange.is_started:
        refuse(context, exchange, result.error, request.request_id, request.caller)
        return
    if not isinstance(result.error, CallerGone):
        document = problem_document(result.error, request.request_id)
        exchange.send_part(error_event(document))
    exchange.abort()


def _serve_whole(
    context: EntryContext, exchange: Exchange, request: CompletionRequest, is_chat: bool
) -> None:
    response = collect_response(
        context,
        request,
        is_chat,
        lambda: is_gone(exchange.socket),
        exchange.socket,
    )
    if response.is_error():
        refuse(context, exchange, response.error, request.request_id, request.caller)
        return
    head = {"X-Request-Id": request.request_id}
    exchange.respond_json(200, response.ok, head)


def collect_response(
    context: EntryContext,
    request: CompletionRequest,
    is_chat: bool,
    is_gone: Callable[[], bool],
    caller: socket.socket | None = None,
) -> Result[dict, Failure]:
    """Run a completion and return its complete response body.

    It ends early if ``caller`` is given and closes its connection.
    """
    texts: list[str] = []
    finish_reasons: list[str | None] = [None]

    def collect(chunks: list[EngineChunk], event_ids: list[bytes]) -> bytes:
        for chunk in chunks:
            texts.append(chunk.choices[0].text)
            finish_reasons.append(chunk.choices[0].finish_reason)
        return b""

    result = context.completions.run(request, CompletionSink(collect, caller, is_gone))
    if result.is_error():
        return result
    _record_served(context, request, result.ok.n_tokens, result.ok.ttft_ms)
    text = "".join(texts)
    content = {"message": {"role": "assistant", "content": text}}
    choice = content if is_chat else {"text": text}
    n_prompt, n_tokens = result.ok.n_prompt_tokens, result.ok.n_tokens
    return Ok(
        {
            "id": _completion_id(request.request_id, is_chat),
            "object": "chat.completion" if is_chat else "text_completion",
            "model": request.model,
            "choices": [{"index": 0, **choice, "finish_reason": finish_reasons[-1]}],
            "usage": {
                "prompt_tokens": n_prompt,
                "completion_tokens": n_tokens,
                "total_tokens": n_prompt + n_tokens,
            },
        }
    )


def _completion_id(request_id: str, is_chat: bool) -> str:
    return ("chatcmpl-" if is_chat else "cmpl-") + request_id


def _record_served(
    context: EntryContext, request: CompletionRequest, n_tokens: int, ttft_ms: float
) -> None:
    metrics = context.telemetry.metrics
    metrics.timing(TTFT_MS, ttft_ms, label=request.work_class_name)
    metrics.incr(TOKENS, n_tokens, label=request.work_class_name)
    context.telemetry.log(
        events.REQUEST_SERVED,
        request_id=request.request_id,
        client_account=request.caller.client_account,
        work_class=request.work_class_name,
        n_tokens=n_tokens,
        ttft_ms=round(ttft_ms, 3),
    )


def new_request_id() -> str:
    """Return a random request id of 24 hexadecimal digits."""
    return os.urandom(12).hex()
