"""A model engine over HTTP: a thin wrapper around :class:`.engine_core.EngineCore`.

Output token ``k`` is a function of the weights version, the prompt and ``k``, so an
answer continued on another engine equals the undisturbed one.
"""

import os
import threading
from collections import deque
from typing import NamedTuple, Protocol

import msgspec
import urllib3

from ..httpd import Exchange, HttpServer, start_server
from ..runtime import system_clock
from .cache_oracle import CacheObserver
from .engine_core import Counters, EngineCore, Sequence
from .engine_faults import FaultSchedule, Script
from .engine_parameters import (
    BLOCK_BYTES,
    TOKEN_BYTES,
    CompletionBody,
    EngineParameters,
    block_hashes,
    n_prompt_tokens,
    output_token,
    rendered_prompt,
)
from .engine_streams import Stream, send_stream

__all__ = [
    "BLOCK_BYTES",
    "TOKEN_BYTES",
    "EngineParameters",
    "EngineStandin",
    "Served",
    "output_token",
    "start_engine",
]

#: Period at which a busy engine takes a load snapshot and looks for faults.
SNAPSHOT_PERIOD_MS = 20.0
#: The same for an engine without work, orders and faults.
IDLE_PERIOD_MS = 500.0
N_HTTP_THREADS = 64
N_EVENTS_PER_ANSWER = 1_024
N_HASHES_PER_CALL = 256


class Served(NamedTuple):
    """What an engine serves at the moment."""

    models: tuple[str, ...]
    weights_version: str
    adapters: tuple[str, ...] = ()
    is_loading: bool = False


class OrdersPort(Protocol):
    """Orders of an engine: which models, adapters and role it has."""

    def handle(self, exchange: Exchange) -> None:
        """Answer a call to ``/orders``."""

    def served(self, now_ms: float) -> Served:
        """Return what is served now."""

    def restart(self, now_ms: float) -> None:
        """Forget what a cold start forgets."""


class _TransferBody(msgspec.Struct):
    hashes: list[str]
    store: str
    cache_salt: str = ""


class EngineStandin:
    """One engine: its core, streams, faults and HTTP handlers.

    Parameters
    ----------
    parameters : EngineParameters
        Capabilities.
    name : str
        Name towards the observer.
    observer : CacheObserver, optional
        Takes notes of the cache and of prefills.
    orders : OrdersPort, optional
        Without it the engine always serves what its parameters say.

    Attributes
    ----------
    incarnation : str
        Changes with every cold start.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        name: str = "engine",
        observer: CacheObserver | None = None,
        orders: OrdersPort | None = None,
    ) -> None:
        self.parameters = parameters
        self.incarnation = os.urandom(8).hex()
        self.orders = orders
        self._clock = system_clock()
        self._core = EngineCore(parameters, name, observer)
        self._faults = FaultSchedule()
        self._streams: dict[str, Stream] = {}
        self._n_streams = 0
        self._served = Served(parameters.models, parameters.weights_version)
        self._snapshots: deque[tuple[float, dict]] = deque()
        self._changed = threading.Condition()
        self._pool = urllib3.PoolManager(retries=False)
        self._take_snapshot(self._clock.now_ms() - parameters.load_lag_ms)
        threading.Thread(target=self._run, name=f"{name}-steps", daemon=True).start()

    @property
    def n_hit_tokens(self) -> int:
        """Prompt tokens found in the cache."""
        return self._core.counters.n_hit_tokens

    @property
    def n_prompt_tokens(self) -> int:
        """All prompt tokens."""
        return self._core.counters.n_prompt_tokens

    def counters(self) -> Counters:
        """Return what was counted since the start, over all incarnations."""
        return self._core.counters

    def is_crashed(self) -> bool:
        """Return whether a scripted crash holds the engine down."""
        return self._faults.active("crash", self._clock.now_ms()) is not None

    def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        if exchange.path == "/control":
            self._control(exchange)
            return
        if self.is_crashed():
            exchange.abort()
            return
        if exchange.path.endswith("/cancel"):
            self._cancel(exchange)
            return
        if exchange.path == "/orders" and self.orders is not None:
            self.orders.handle(exchange)
            return
        handler = _HANDLERS.get(exchange.path)
        if handler is None:
            exchange.respond_json(404, {"error": "not found"})
            return
        handler(self, exchange)

    def control(self, script: Script) -> str:
        """Start a script of faults; returns a problem, or an empty string."""
        with self._changed:
            problem = self._faults.set_script(script, self._clock.now_ms())
            self._changed.notify()
        return problem

    def _control(self, exchange: Exchange) -> None:
        try:
            script = msgspec.json.decode(exchange.read_body().ok, type=Script)
        except msgspec.MsgspecError as error:
            exchange.respond_json(400, {"error": str(error)})
            return
        problem = self.control(script)
        exchange.respond_json(400 if problem else 200, {"error": problem})

    def _complete(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.read_body().ok, type=CompletionBody)
        if body.resume_stream:
            stream = self._resumed(body)
        else:
            stream = self._started(body, exchange.headers.get("x-request-id", ""))
        if stream is None:
            exchange.respond_json(404, {"error": "nothing to serve this"})
            return
        is_whole = False
        # The head goes out with the first token, as the engines' servers do.
        n_available = stream.progress.get()
        try:
            if n_available is not None:
                exchange.start_stream(200, {"Content-Type": "text/event-stream"})
                is_whole = send_stream(
                    exchange,
                    stream,
                    n_available,
                    body.output_offset,
                    self.parameters.tokens_per_event,
                )
        except OSError:
            is_whole = False
        self._end(stream, is_whole)
        if not is_whole:
            exchange.abort()

    def _started(self, body: CompletionBody, request_id: str) -> Stream | None:
        if body.model not in self._served.models:
            return None
        prompt = (rendered_prompt(body) + body.generated).encode()
        now_ms = self._clock.now_ms()
        with self._changed:
            self._n_streams += 1
            sequence = Sequence(
                stream_id=f"{self.incarnation}-{self._n_streams}",
                hashes=block_hashes(prompt, body.cache_salt),
                n_prompt_tokens=n_prompt_tokens(prompt),
                n_generated=body.output_offset,
                max_tokens=body.max_tokens,
                priority=body.priority,
            )
            faults = self._faults.for_answer(body.max_tokens, now_ms)
            version = self._served.weights_version
            stream = Stream(request_id, body, version, sequence, faults)
            self._streams[sequence.stream_id] = stream
            self._notify(self._core.advance(now_ms))
            self._core.submit(sequence, now_ms)
            self._changed.notify()
        return stream

    def _resumed(self, body: CompletionBody) -> Stream | None:
        with self._changed:
            old = self._streams.get(body.resume_stream)
            if old is None or body.output_offset > old.sequence.n_generated:
                return None
            stream = Stream(
                old.request_id, old.body, old.weights_version, old.sequence, old.faults
            )
            stream.faults = old.faults._replace(cut_after=-1)
            old.progress.put(None)
            self._streams[body.resume_stream] = stream
            stream.progress.put(stream.sequence.n_generated)
        return stream

    def _end(self, stream: Stream, is_whole: bool) -> None:
        with self._changed:
            stream_id = stream.sequence.stream_id
            if self._streams.get(stream_id) is not stream:
                return
            if is_whole or stream.sequence.state == "cancelled":
                del self._streams[stream_id]
                return
            # Nobody reads it; it may be resumed for a while.
            stream.detached_at_ms = self._clock.now_ms()

    def _cancel(self, exchange: Exchange) -> None:
        stream_id = exchange.path.split("/")[3]
        with self._changed:
            stream = self._streams.pop(stream_id, None)
            if stream is not None:
                self._core.cancel(stream.sequence)
                stream.progress.put(None)
        exchange.respond_json(200 if stream else 404, {"cancelled": bool(stream)})

    def _respond_load(self, exchange: Exchange) -> None:
        newest_at_ms = self._clock.now_ms() - self.parameters.load_lag_ms
        with self._changed:
            while len(self._snapshots) > 1 and self._snapshots[1][0] <= newest_at_ms:
                self._snapshots.popleft()
            snapshot = self._snapshots[0][1]
        exchange.respond_json(200, snapshot)

    def _respond_events(self, exchange: Exchange) -> None:
        since = int(exchange.query.partition("since=")[2] or 0)
        with self._changed:
            feed, incarnation = self._core.feed, self.incarnation
            events = feed.since(since, self._clock.now_ms())[:N_EVENTS_PER_ANSWER]
        rows = [{"seq": e.seq, "kind": e.kind, "hashes": e.hashes} for e in events]
        answer = {"incarnation": incarnation, "events": rows}
        exchange.respond_json(200, answer | {"oldest_seq": feed.oldest_seq})

    def _respond_counters(self, exchange: Exchange) -> None:
        exchange.respond_json(200, self._core.counters._asdict())

    def _export(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.read_body().ok, type=_TransferBody)
        with self._changed:
            held = self._core.cache.held(body.hashes)
        self._transfer(exchange, "PUT", body.store, held)

    def _import(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.read_body().ok, type=_TransferBody)
        incarnation = self.incarnation
        imported = self._transfer(exchange, "GET", body.store, body.hashes)
        with self._changed:
            if imported and self.incarnation == incarnation:
                self._core.insert_blocks(imported, self._clock.now_ms())

    def _transfer(
        self, exchange: Exchange, method: str, store: str, hashes: list[str]
    ) -> list[str]:
        moved: list[str] = []
        status = 200
        for start in range(0, len(hashes), N_HASHES_PER_CALL):
            batch = ",".join(hashes[start : start + N_HASHES_PER_CALL])
            url = f"http://{store}/blocks/{batch}"
            try:
                response = self._pool.request(method, url)
            except urllib3.exceptions.HTTPError:
                status = 502
                break
            if response.status != 200:
                status = response.status
                break
            moved += response.json()["hashes"]
        self._clock.sleep_ms(
            1000.0 * len(moved) / self.parameters.transfer_blocks_per_s
        )
        exchange.respond_json(status, {"n_blocks": len(moved)})
        return moved

    def _run(self) -> None:
        """Run the steps of the core, in a thread of its own."""
        while True:
            with self._changed:
                now_ms = self._clock.now_ms()
                self._apply_faults(now_ms)
                self._notify(self._core.advance(now_ms))
                self._cancel_detached(now_ms)
                self._core.cache.evict(now_ms)
                self._take_snapshot(now_ms)
                wait_ms = self._wait_ms()
                if wait_ms > 0:
                    self._changed.wait(wait_ms / 1000.0)

    def _wait_ms(self) -> float:
        event_ms = self._core.next_event_ms()
        if event_ms is not None:
            return min(SNAPSHOT_PERIOD_MS, event_ms - self._clock.now_ms())
        newest = self._snapshots[-1][1]
        is_settled = not newest["n_running"] and not newest["n_waiting"]
        is_scripted = self._faults.has_script or self.orders is not None
        if is_settled and not is_scripted and not self._streams:
            return IDLE_PERIOD_MS
        return SNAPSHOT_PERIOD_MS

    def _apply_faults(self, now_ms: float) -> None:
        core = self._core
        core.slowness = self._faults.slowness(now_ms)
        lost = self._faults.active("lost_events", now_ms)
        core.feed.loss = lost.share if lost else self.parameters.event_loss
        stall = self._faults.begins("stall", now_ms)
        if stall is not None:
            core.stalled_until_ms = now_ms + stall.for_ms
        if self._faults.begins("crash", now_ms):
            self._crash(now_ms)

    def _crash(self, now_ms: float) -> None:
        self._core.crash(now_ms)
        self.incarnation = os.urandom(8).hex()
        for stream in self._streams.values():
            stream.progress.put(None)
        self._streams.clear()
        self._snapshots.clear()
        if self.orders is not None:
            self.orders.restart(now_ms)

    def _notify(self, progressed: list[Sequence]) -> None:
        for sequence in progressed:
            stream = self._streams.get(sequence.stream_id)
            if stream is not None:
                stream.progress.put(sequence.n_generated)

    def _cancel_detached(self, now_ms: float) -> None:
        window_ms = self.parameters.resume_window_ms
        expired = [
            stream
            for stream in self._streams.values()
            if stream.detached_at_ms is not None
            and now_ms - stream.detached_at_ms > window_ms
        ]
        for stream in expired:
            self._core.cancel(stream.sequence)
            del self._streams[stream.sequence.stream_id]

    def _take_snapshot(self, now_ms: float) -> None:
        is_recent = (
            self._snapshots and now_ms - self._snapshots[-1][0] < SNAPSHOT_PERIOD_MS
        )
        if is_recent:
            return
        self._update_served(now_ms)
        self._snapshots.append((now_ms, self._load(now_ms)))

    def _update_served(self, now_ms: float) -> None:
        if self.orders is None:
            return
        served = self.orders.served(now_ms)
        if served.weights_version != self._served.weights_version:
            # Blocks computed by other weights are useless.
            self._core.cache.clear(now_ms)
        self._served = served

    def _load(self, now_ms: float) -> dict:
        parameters, core, served = self.parameters, self._core, self._served
        return {
            "incarnation": self.incarnation,
            "models": served.models,
            "weights_version": served.weights_version,
            "n_running": len(core.running),
            "n_waiting": core.n_waiting,
            "n_waiting_tokens": core.n_waiting_tokens,
            "prefill_tokens_per_s": parameters.prefill_tokens_per_s,
            "inter_token_ms": parameters.inter_token_ms,
            "n_cached_blocks": len(core.cache),
            "n_cache_blocks": parameters.n_cache_blocks,
            "state": "loading" if served.is_loading else "live",
            "adapters": served.adapters,
        }


_HANDLERS = {
    "/v1/completions": EngineStandin._complete,
    "/load": EngineStandin._respond_load,
    "/kv_events": EngineStandin._respond_events,
    "/kv_cache/export": EngineStandin._export,
    "/kv_cache/import": EngineStandin._import,
    "/counters": EngineStandin._respond_counters,
}


def start_engine(
    standin: EngineStandin, port: int = 0, n_threads: int = N_HTTP_THREADS
) -> HttpServer:
    """Serve ``standin`` on loopback."""
    return start_server("127.0.0.1", port, standin.handle, n_threads)
