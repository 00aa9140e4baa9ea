"""Encodes the events of a streamed answer in the OpenAI shape."""

from collections.abc import Callable

import msgspec

from ..upstreams.engine_messages import EngineChunk

DONE_EVENT = b"data: [DONE]\n\n"

_encode = msgspec.json.encode


def stream_encoder(
    completion_id: str, model: str, is_chat: bool
) -> Callable[[list[EngineChunk]], bytes]:
    """Return a function that encodes chunks as server-sent events.

    What is the same in every event of a stream is encoded once.
    """
    kind = "chat.completion.chunk" if is_chat else "text_completion"
    head = {"id": completion_id, "object": kind, "model": model}
    before = b"data: " + _encode(head)[:-1] + b',"choices":[{"index":0,'
    before += b'"delta":{"content":' if is_chat else b'"text":'
    between = b'},"finish_reason":' if is_chat else b',"finish_reason":'
    after = b"}]}\n\n"

    def encode(chunks: list[EngineChunk]) -> bytes:
        parts = []
        for chunk in chunks:
            choice = chunk.choices[0]
            parts += before, _encode(choice.text), between
            parts += _encode(choice.finish_reason), after
        return b"".join(parts)

    return encode
