"""A model engine: deterministic tokens, a prefix cache, streams and load reports.

Output token ``k`` is a function of the weights version, the prompt and ``k``, so an
answer continued on another engine equals the undisturbed one.
"""

import hashlib
import os
import threading
import time
from typing import NamedTuple

import msgspec

from ..httpd import Exchange, HttpServer, start_server

BLOCK_BYTES = 64
TOKEN_BYTES = 4


class EngineParameters(NamedTuple):
    """What an emulated engine is able to do."""

    models: tuple[str, ...] = ("small",)
    weights_version: str = "w1"
    prefill_tokens_per_s: float = 20_000.0
    inter_token_ms: float = 5.0
    n_cache_blocks: int = 4_096


class _Body(msgspec.Struct):
    model: str
    prompt: str
    max_tokens: int = 16
    cache_salt: str = ""
    priority: int = 0
    output_offset: int = 0


def output_token(weights_version: str, prompt: str, index: int) -> str:
    """Return token ``index`` of the answer to ``prompt``."""
    seed = f"{weights_version}|{index}|{prompt}".encode()
    return hashlib.blake2b(seed, digest_size=2).hexdigest() + " "


class EngineStandin:
    """One engine's cache and streams.

    Attributes
    ----------
    n_hit_tokens, n_prompt_tokens : int
        Prompt tokens found in the cache, and all of them.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.incarnation = os.urandom(8).hex()
        self.n_hit_tokens = 0
        self.n_prompt_tokens = 0
        self._lock = threading.Lock()
        self._cache: dict[str, None] = {}
        self._events: list[dict] = []
        self._cancelled: set[str] = set()
        self._n_running = 0
        self._n_streams = 0

    def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        if exchange.path == "/v1/completions":
            self._complete(exchange)
            return
        if exchange.path == "/load":
            exchange.respond_json(200, self._load())
            return
        if exchange.path == "/kv_events":
            self._respond_events(exchange)
            return
        if exchange.path.endswith("/cancel"):
            self._cancelled.add(exchange.path.split("/")[3])
            exchange.respond_json(200, {})
            return
        exchange.respond_json(404, {"error": "not found"})

    def _complete(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.read_body().ok, type=_Body)
        request_id = exchange.headers.get("x-request-id", "")
        with self._lock:
            self._n_running += 1
            self._n_streams += 1
            stream_id = f"{self.incarnation}-{self._n_streams}"
        try:
            self._prefill(body)
            exchange.start_stream(200, {"Content-Type": "text/event-stream"})
            self._decode(exchange, body, request_id, stream_id)
        except OSError:
            exchange.abort()
        finally:
            with self._lock:
                self._n_running -= 1

    def _prefill(self, body: _Body) -> None:
        hashes = _block_hashes(body.prompt.encode(), body.cache_salt)
        n_tokens = max(1, len(body.prompt.encode()) // TOKEN_BYTES)
        with self._lock:
            n_hit_blocks = self._n_hit_blocks(hashes)
            self._store(hashes)
            n_hit_tokens = n_hit_blocks * BLOCK_BYTES // TOKEN_BYTES
            self.n_hit_tokens += n_hit_tokens
            self.n_prompt_tokens += n_tokens
        n_missed = n_tokens - n_hit_tokens
        time.sleep(n_missed / self.parameters.prefill_tokens_per_s)

    def _decode(
        self, exchange: Exchange, body: _Body, request_id: str, stream_id: str
    ) -> None:
        weights_version = self.parameters.weights_version
        for index in range(body.output_offset, body.max_tokens):
            if stream_id in self._cancelled:
                exchange.abort()
                return
            time.sleep(self.parameters.inter_token_ms / 1000.0)
            is_last = index + 1 == body.max_tokens
            chunk = {
                "id": request_id,
                "stream": stream_id,
                "offset": index,
                "weights": weights_version,
                "cache_salt": body.cache_salt,
                "choices": [
                    {
                        "index": 0,
                        "text": output_token(weights_version, body.prompt, index),
                        "finish_reason": "length" if is_last else None,
                    }
                ],
            }
            exchange.send_part(b"data: " + msgspec.json.encode(chunk) + b"\n\n")
        exchange.send_part(b"data: [DONE]\n\n")

    def _n_hit_blocks(self, hashes: list[str]) -> int:
        for index, block_hash in enumerate(hashes):
            if block_hash not in self._cache:
                return index
        return len(hashes)

    def _store(self, hashes: list[str]) -> None:
        for block_hash in hashes:
            self._cache.pop(block_hash, None)
            self._cache[block_hash] = None
        self._append_event("stored", hashes)
        n_over = len(self._cache) - self.parameters.n_cache_blocks
        evicted = list(self._cache)[: max(0, n_over)]
        for block_hash in evicted:
            del self._cache[block_hash]
        if evicted:
            self._append_event("removed", evicted)

    def _append_event(self, kind: str, hashes: list[str]) -> None:
        event = {"seq": len(self._events) + 1, "kind": kind, "hashes": hashes}
        self._events.append(event)

    def _respond_events(self, exchange: Exchange) -> None:
        since = int(exchange.query.partition("since=")[2] or 0)
        with self._lock:
            events = self._events[since:]
        exchange.respond_json(200, {"incarnation": self.incarnation, "events": events})

    def _load(self) -> dict:
        parameters = self.parameters
        with self._lock:
            return {
                "incarnation": self.incarnation,
                "models": parameters.models,
                "weights_version": parameters.weights_version,
                "n_running": self._n_running,
                "n_waiting": 0,
                "n_waiting_tokens": 0,
                "prefill_tokens_per_s": parameters.prefill_tokens_per_s,
                "inter_token_ms": parameters.inter_token_ms,
                "n_cached_blocks": len(self._cache),
                "n_cache_blocks": parameters.n_cache_blocks,
                "state": "live",
            }


def _block_hashes(prompt: bytes, salt: str) -> list[str]:
    key = bytes.fromhex(salt)
    parent = b""
    hashes = []
    for end in range(BLOCK_BYTES, len(prompt) + 1, BLOCK_BYTES):
        block = prompt[end - BLOCK_BYTES : end]
        parent = hashlib.blake2b(parent + block, digest_size=8, key=key).digest()
        hashes.append(parent.hex())
    return hashes


def start_engine(standin: EngineStandin, port: int = 0) -> HttpServer:
    """Serve ``standin`` on loopback."""
    return start_server("127.0.0.1", port, standin.handle, n_threads=64)
