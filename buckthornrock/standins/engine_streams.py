"""Sends the answers of an emulated engine as event streams."""

import queue

import msgspec

from ..httpd import Exchange
from .engine_core import Sequence
from .engine_faults import AnswerFaults
from .engine_parameters import CompletionBody, output_token, rendered_prompt

DONE_EVENT = b"data: [DONE]\n\n"


class Stream:
    """One answer and the thread that reads it.

    Attributes
    ----------
    progress : queue.SimpleQueue
        Receives the number of available tokens, or None when the engine crashed
        or cancelled the stream.
    detached_at_ms : float or None
        Since when nobody reads it.
    """

    def __init__(
        self,
        request_id: str,
        body: CompletionBody,
        weights_version: str,
        sequence: Sequence,
        faults: AnswerFaults,
    ) -> None:
        self.request_id = request_id
        self.body = body
        self.prompt = rendered_prompt(body)
        self.weights_version = faults.weights_version or weights_version
        self.sequence = sequence
        self.faults = faults
        self.progress: queue.SimpleQueue[int | None] = queue.SimpleQueue()
        self.detached_at_ms: float | None = None


def send_stream(
    exchange: Exchange,
    stream: Stream,
    n_available: int | None,
    offset: int,
    tokens_per_event: int,
) -> bool:
    """Send the tokens from ``offset`` on as they become available.

    Parameters
    ----------
    n_available : int or None
        What was last read from the stream's progress.
    tokens_per_event : int
        Tokens that are sent together, after the first.

    Returns
    -------
    bool
        Whether the answer was sent whole; False after a cut or a crash.

    Raises
    ------
    OSError
        If the reader is gone.
    """
    max_tokens = stream.body.max_tokens
    n_wanted = 1
    while offset < max_tokens:
        if n_available is None or 0 <= stream.faults.cut_after <= offset:
            return False
        n_tokens = n_available - offset
        if n_tokens < n_wanted:
            n_available = stream.progress.get()
            continue
        exchange.send_part(_event(stream, offset, n_tokens))
        offset += n_tokens
        n_wanted = min(tokens_per_event, max_tokens - offset)
    exchange.send_part(DONE_EVENT)
    return True


def _event(stream: Stream, offset: int, n_tokens: int) -> bytes:
    end = offset + n_tokens
    version, prompt = stream.weights_version, stream.prompt
    text = "".join(output_token(version, prompt, i) for i in range(offset, end))
    is_last = end >= stream.body.max_tokens
    request_id = stream.request_id
    chunk = {
        "id": f"other-{request_id}" if stream.faults.is_crossed else request_id,
        "stream": stream.sequence.stream_id,
        "offset": offset,
        "n_tokens": n_tokens,
        "weights": version,
        "cache_salt": stream.body.cache_salt,
        "choices": [
            {
                "index": 0,
                "text": text,
                "finish_reason": "length" if is_last else None,
            }
        ],
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
