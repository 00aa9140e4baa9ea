"""An engine that answers every completion with paced tokens, and nothing else.

Each token's text is the monotonic time in nanoseconds at which it was sent, so that
a caller on the same machine sees what was added on the way.
"""

import threading
import time

import msgspec

from buckthornrock.httpd import Exchange, start_server

N_THREADS = 160


def _handle(exchange: Exchange) -> None:
    if exchange.path == "/load":
        exchange.respond_json(200, _load())
        return
    if exchange.path != "/v1/completions":
        exchange.respond_json(200, {"incarnation": "paced", "events": []})
        return
    body = msgspec.json.decode(exchange.read_body().ok)
    pace_s = body["pace_ms"] / 1000.0
    chunk = {
        "id": exchange.headers["x-request-id"],
        "stream": f"stream-{threading.get_ident()}",
        "offset": 0,
        "weights": "w1",
        "cache_salt": body.get("cache_salt", ""),
        "choices": [{"index": 0, "text": "", "finish_reason": None}],
    }
    exchange.start_stream(200, {"Content-Type": "text/event-stream"})
    due_s = time.monotonic()
    for offset in range(body["max_tokens"]):
        due_s += pace_s
        time.sleep(max(0.0, due_s - time.monotonic()))
        chunk["offset"] = offset
        chunk["choices"][0]["text"] = str(time.monotonic_ns())
        exchange.send_part(b"data: " + msgspec.json.encode(chunk) + b"\n\n")
    exchange.send_part(b"data: [DONE]\n\n")


def _load() -> dict:
    return {
        "incarnation": "paced",
        "models": ["small"],
        "weights_version": "w1",
        "n_running": 0,
        "n_waiting": 0,
        "n_waiting_tokens": 0,
        "prefill_tokens_per_s": 1e6,
        "inter_token_ms": 36.0,
        "n_cached_blocks": 0,
        "n_cache_blocks": 1000,
    }


def main() -> None:
    """Serve on a free port and print it."""
    server = start_server("127.0.0.1", 0, _handle, N_THREADS)
    print(server.port, flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
