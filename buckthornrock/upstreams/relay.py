"""Relays all streams of the instance from engines to callers, in one thread.

One thread per stream would cost a wake-up and a cold CPU cache for each chunk; one
thread that polls all sockets avoids both. The thread never blocks on one socket: bytes
that a slow caller does not accept are buffered up to a limit, beyond which its engine
is not read.
"""

import select
import socket
import threading
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..errors import CallerGone
from .engine_messages import EngineChunk
from .engine_stream import BrokenStreamError, EngineStream
from .errors import StreamBroken

#: Bytes buffered for a slow caller before reading from its engine is paused.
MAX_BUFFERED_BYTES = 262_144
CHECK_PERIOD_MS = 250.0
STOP_TIMEOUT_S = 1.0


class RelaySink(NamedTuple):
    """Where a stream is delivered.

    Parameters
    ----------
    encode : callable
        ``encode(chunks) -> bytes`` returns what to send to the caller.
    socket : socket.socket or None
        The caller's connection; None if the response is kept in memory.
    """

    encode: Callable[[list[EngineChunk]], bytes]
    socket: socket.socket | None


RelayFailure = StreamBroken | CallerGone


def is_gone(caller: socket.socket) -> bool:
    """Tell whether the caller has closed its connection or its sending half."""
    poll = select.poll()
    poll.register(caller, select.POLLRDHUP)
    return bool(poll.poll(0))


class _Flow:
    """The state of one relayed stream."""

    def __init__(self, stream: EngineStream, sink: RelaySink, now_ms: float) -> None:
        self.stream = stream
        self.sink = sink
        self.pending = b""
        self.is_reading = True
        self.progressed_at_ms = now_ms
        self.ended = threading.Lock()
        self.ended.acquire()
        self.result: Result[None, RelayFailure] | None = None


class Relay:
    """The thread that relays streams.

    Parameters
    ----------
    now_ms : callable
        Monotonic clock.
    stall_timeout_ms : float
        A stream whose engine sends no whole chunk for this long is ended.
    caller_timeout_ms : float
        A stream whose caller accepts nothing for this long is ended.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        stall_timeout_ms: float,
        caller_timeout_ms: float,
    ) -> None:
        self._now_ms = now_ms
        self._stall_timeout_ms = stall_timeout_ms
        self._caller_timeout_ms = caller_timeout_ms
        self._epoll = select.epoll()
        self._flows: dict[int, _Flow] = {}
        self._checked_at_ms = now_ms()
        self._is_stopped = False
        self._stop_lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)
        self._thread.start()

    def run(self, stream: EngineStream, sink: RelaySink) -> Result[None, RelayFailure]:
        """Relay ``stream`` to ``sink``; block until it is complete or has failed.

        The caller of this method must finish the stream.
        """
        flow = _Flow(stream, sink, self._now_ms())
        caller = sink.socket
        timeout_s = caller.gettimeout() if caller else None
        if caller:
            caller.setblocking(False)
        # The engine's descriptor is registered last: an event of the caller's can only
        # end the flow, but data must not be relayed before both are registered.
        with self._stop_lock:
            if self._is_stopped:
                self._end(flow, _stopped_result(flow))
            else:
                self._add(flow)
        flow.ended.acquire()
        if caller:
            caller.settimeout(timeout_s)
        return _flush_pending(flow)

    def stop(self) -> None:
        """End the thread; streams in progress fail."""
        with self._stop_lock:
            self._is_stopped = True
        self._thread.join(STOP_TIMEOUT_S)
        for flow in set(self._flows.values()):
            self._end(flow, _stopped_result(flow))

    def _add(self, flow: _Flow) -> None:
        caller = flow.sink.socket
        if caller:
            self._flows[caller.fileno()] = flow
        self._flows[flow.stream.fileno()] = flow
        if caller:
            self._epoll.register(caller.fileno(), select.EPOLLRDHUP)
        # EPOLLOUT wakes the thread once, to read body bytes buffered with the head.
        self._epoll.register(flow.stream.fileno(), select.EPOLLIN | select.EPOLLOUT)

    def _run(self) -> None:
        while not self._is_stopped:
            for descriptor, events in self._epoll.poll(CHECK_PERIOD_MS / 1000.0):
                flow = self._flows.get(descriptor)
                if flow is not None:
                    self._handle_event(flow, descriptor, events)
            if self._now_ms() - self._checked_at_ms > CHECK_PERIOD_MS:
                self._end_stalled()

    def _handle_event(self, flow: _Flow, descriptor: int, events: int) -> None:
        try:
            if descriptor == flow.stream.fileno():
                self._read(flow, events)
            elif events & ~select.EPOLLOUT:
                self._end_if_gone(flow)
            else:
                self._send(flow, b"")
        except BrokenStreamError as error:
            upstream_id = flow.stream.call.upstream_id
            failure = StreamBroken(upstream_id, error.reason, error.is_connection_lost)
            self._end(flow, Error(failure))
        except OSError:
            self._end(flow, Error(CallerGone(flow.stream.next_offset)))
        except Exception as error:  # noqa: BLE001 - a failing flow must not end the others
            upstream_id = flow.stream.call.upstream_id
            self._end(flow, Error(StreamBroken(upstream_id, type(error).__name__)))

    def _end_if_gone(self, flow: _Flow) -> None:
        # The event may be stale, from an earlier connection with the same descriptor,
        # so the socket itself is checked.
        if is_gone(flow.sink.socket):
            self._end(flow, Error(CallerGone(flow.stream.next_offset)))

    def _read(self, flow: _Flow, events: int) -> None:
        if events & select.EPOLLOUT:
            self._epoll.modify(flow.stream.fileno(), select.EPOLLIN)
        chunks = flow.stream.read()
        if chunks:
            flow.progressed_at_ms = self._now_ms()
            self._send(flow, flow.sink.encode(chunks))
        elif flow.stream.is_complete:
            self._send(flow, b"")

    def _send(self, flow: _Flow, part: bytes) -> None:
        caller = flow.sink.socket
        if caller is None:
            self._end_if_complete(flow)
            return
        had_pending = bool(flow.pending)
        out = flow.pending + part if had_pending else part
        if out:
            try:
                n_sent = caller.send(out)
                flow.progressed_at_ms = self._now_ms()
            except BlockingIOError:
                n_sent = 0
            flow.pending = out[n_sent:]
        if had_pending or flow.pending:
            self._update_events(flow, caller)
        if not flow.pending:
            self._end_if_complete(flow)

    def _update_events(self, flow: _Flow, caller: socket.socket) -> None:
        wanted = select.EPOLLRDHUP
        if flow.pending:
            wanted |= select.EPOLLOUT
        self._epoll.modify(caller.fileno(), wanted)
        is_reading = len(flow.pending) < MAX_BUFFERED_BYTES
        if is_reading != flow.is_reading:
            flow.is_reading = is_reading
            engine_events = select.EPOLLIN if is_reading else 0
            self._epoll.modify(flow.stream.fileno(), engine_events)

    def _end_if_complete(self, flow: _Flow) -> None:
        if flow.stream.is_complete:
            self._end(flow, Ok(None))

    def _end(self, flow: _Flow, result: Result[None, RelayFailure]) -> None:
        if flow.result is not None:
            return
        sockets = (flow.stream, flow.sink.socket)
        for descriptor in (s.fileno() for s in sockets if s is not None):
            self._flows.pop(descriptor, None)
            try:
                self._epoll.unregister(descriptor)
            except OSError:
                # The descriptor was closed, which also unregisters it.
                continue
        flow.result = result
        flow.ended.release()

    def _end_stalled(self) -> None:
        self._checked_at_ms = self._now_ms()
        for flow in set(self._flows.values()):
            is_caller_slow = bool(flow.pending)
            timeout_ms = (
                self._caller_timeout_ms if is_caller_slow else self._stall_timeout_ms
            )
            if self._checked_at_ms - flow.progressed_at_ms < timeout_ms:
                continue
            upstream_id = flow.stream.call.upstream_id
            gone = CallerGone(flow.stream.next_offset)
            self._end(
                flow,
                Error(gone if is_caller_slow else StreamBroken(upstream_id, "stalled")),
            )


def _stopped_result(flow: _Flow) -> Result[None, RelayFailure]:
    return Error(StreamBroken(flow.stream.call.upstream_id, "stopped"))


def _flush_pending(flow: _Flow) -> Result[None, RelayFailure]:
    """Send what a broken stream left buffered, so that another can continue it."""
    result = flow.result
    is_broken = result.is_error() and isinstance(result.error, StreamBroken)
    if not is_broken or not flow.pending:
        return result
    try:
        flow.sink.socket.sendall(flow.pending)
    except OSError:
        return Error(CallerGone(flow.stream.next_offset))
    return result
