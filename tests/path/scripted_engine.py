"""An engine whose responses are correct except for one injected fault."""

from collections.abc import Callable

import msgspec

from buckthornrock.httpd import Exchange
from buckthornrock.standins.engine import output_token

DONE = b"data: [DONE]\n\n"


class ScriptedEngine:
    """Responds in chunks of one token.

    Attributes
    ----------
    n_responses : int
        Responses since the last :meth:`inject`.
    """

    def __init__(self) -> None:
        self.n_responses = 0
        self._n_faulty = 0
        self._tamper: Callable = lambda index, chunk: [event(chunk)]

    def inject(self, tamper: Callable, n_faulty: int) -> None:
        """Alter the next ``n_faulty`` responses with ``tamper(index, chunk)``.

        It returns the events for one chunk; None stands for a closed connection.
        """
        self.n_responses = 0
        self._n_faulty = n_faulty
        self._tamper = tamper

    def handle(self, exchange: Exchange) -> None:
        """Respond to one call."""
        if exchange.path == "/load":
            exchange.respond_json(200, _LOAD)
            return
        if exchange.path == "/kv_events":
            exchange.respond_json(200, {"incarnation": "i1", "events": []})
            return
        if exchange.path != "/v1/completions":
            exchange.respond_json(404, {})
            return
        body = msgspec.json.decode(exchange.read_body().ok)
        if body.get("resume_stream"):
            exchange.respond_json(404, {})
            return
        self.n_responses += 1
        exchange.start_stream(200, {"Content-Type": "text/event-stream"})
        self._respond(exchange, body, self.n_responses <= self._n_faulty)

    def _respond(self, exchange: Exchange, body: dict, is_faulty: bool) -> None:
        for index in range(body["output_offset"], body["max_tokens"]):
            chunk = _chunk(exchange, body, index)
            events = self._tamper(index, chunk) if is_faulty else [event(chunk)]
            for part in events:
                if part is None:
                    exchange.abort()
                    return
                exchange.send_part(part)
        exchange.send_part(DONE)


def event(chunk: dict) -> bytes:
    """Return the event of a chunk."""
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def _chunk(exchange: Exchange, body: dict, index: int) -> dict:
    is_last = index + 1 == body["max_tokens"]
    text = output_token("w1", body["prompt"], index)
    return {
        "id": exchange.headers["x-request-id"],
        "stream": "s1",
        "offset": index,
        "n_tokens": 1,
        "weights": "w1",
        "cache_salt": body["cache_salt"],
        "choices": [
            {"index": 0, "text": text, "finish_reason": "length" if is_last else None}
        ],
    }


_LOAD = {
    "incarnation": "i1",
    "models": ["small"],
    "weights_version": "w1",
    "n_running": 0,
    "n_waiting": 0,
    "n_waiting_tokens": 0,
    "prefill_tokens_per_s": 1e5,
    "inter_token_ms": 1.0,
    "n_cached_blocks": 0,
    "n_cache_blocks": 100,
}
