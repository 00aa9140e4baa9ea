"""Encodes a streamed response as server-sent events in the OpenAI format."""

from collections.abc import Callable

import msgspec

from ..upstreams.engine_messages import EngineChunk

DONE_EVENT = b"data: [DONE]\n\n"

_encode = msgspec.json.encode


def stream_encoder(
    completion_id: str, model: str, is_chat: bool
) -> Callable[[list[EngineChunk], list[bytes]], bytes]:
    """Return a function that encodes chunks as server-sent events.

    The JSON that all events of a stream share is encoded only once.
    """
    kind = "chat.completion.chunk" if is_chat else "text_completion"
    head = {"id": completion_id, "object": kind, "model": model}
    before = b"\ndata: " + _encode(head)[:-1] + b',"choices":[{"index":0,'
    before += b'"delta":{"content":' if is_chat else b'"text":'
    between = b'},"finish_reason":' if is_chat else b',"finish_reason":'
    after = b"}]}\n\n"

    def encode(chunks: list[EngineChunk], event_ids: list[bytes]) -> bytes:
        parts = []
        for chunk, event_id in zip(chunks, event_ids, strict=True):
            choice = chunk.choices[0]
            parts += b"id: ", event_id, before, _encode(choice.text), between
            parts += _encode(choice.finish_reason), after
        return b"".join(parts)

    return encode


def error_event(document: dict) -> bytes:
    """Return the event that reports why a stream ends before it is complete."""
    return b"event: error\ndata: " + _encode(document) + b"\n\n"
