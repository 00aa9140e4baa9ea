"""Sends messages to peers and handles the messages that peers send."""

import atexit
import contextlib
import itertools
import queue
import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import pynng
from expression import Error, Ok, Result

from ..conf.settings import WireSettings
from ..events import membership as events
from ..telemetry import Telemetry
from ..telemetry.metrics import WIRE_BYTES, WIRE_FRAMES_DROPPED
from .codec import Codec, Envelope, Identity
from .dialer import Dialer, close_context
from .errors import (
    PeerFailed,
    PeerFailure,
    PeerNotReached,
    PeerUnreachable,
    PeerUnsupported,
)
from .message import (
    Ack,
    HandlerFailed,
    Message,
    Misaddressed,
    Overloaded,
    Unsupported,
)
from .replay import ReplayFilter

N_SEND_THREADS = 2
MAX_QUEUED_SENDS = 1_024
N_SLOW_THREADS = 16
#: Limit on slow messages in progress or queued; more are refused as overload.
MAX_SLOW_MESSAGES = 64
CLOSE_TIMEOUT_S = 1.0
#: Frames of up to this multiple of the limit are received, so that a frame just over
#: the limit is counted before it is dropped.
OVERSIZE_FACTOR = 2

#: ``handler(sender_id, message)`` returns the reply, or None for a bare Ack.
Handler = Callable[[str, Message], Message | None]


class PeerAddress(NamedTuple):
    """The address (IP:PORT) that an instance listens at."""

    instance_id: str
    address: str


class _Subscription(NamedTuple):
    handler: Handler
    is_slow: bool


class Transport:
    """One listening socket, a dialer and the threads that serve and send.

    Attributes
    ----------
    address : str
        IP:PORT of the listening socket; the actual port if port 0 was requested.
    n_bytes_sent, n_bytes_received, n_dropped : int
        Bytes sent and received and frames dropped since the start.
    """

    def __init__(
        self, identity: Identity, settings: WireSettings, telemetry: Telemetry
    ) -> None:
        self.identity = identity
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.n_dropped = 0
        self._settings = settings
        self._telemetry = telemetry
        self._codec = Codec(settings.shared_secret, settings.max_frame_bytes)
        self._sequence = itertools.count()
        self._replay_filter = ReplayFilter()
        self._replay_lock = threading.Lock()
        self._incarnations: dict[str, str] = {}
        self._subscriptions: dict[type[Message], _Subscription] = {}
        self._send_queue: queue.Queue = queue.Queue(MAX_QUEUED_SENDS)
        self._slow_pool = ThreadPoolExecutor(N_SLOW_THREADS, "wire-slow")
        self._slow_slots = threading.BoundedSemaphore(MAX_SLOW_MESSAGES)
        self._threads: list[threading.Thread] = []
        max_received_bytes = settings.max_frame_bytes * OVERSIZE_FACTOR
        self._dialer = Dialer(max_received_bytes)
        self._socket = pynng.Rep0(recv_max_size=max_received_bytes)
        listener = self._socket.listen(f"tcp://{settings.host}:{settings.port}")
        self.address = f"{settings.host}:{_listening_port(listener)}"
        self._start_threads()
        # The library aborts if it is shut down while threads still wait in it.
        atexit.register(self.close)

    def subscribe(
        self, message_type: type[Message], handler: Handler, is_slow: bool = False
    ) -> None:
        """Handle messages of ``message_type`` with ``handler``.

        A handler that may block (on the platform, an upstream or another peer) is
        slow: it runs in a separate thread pool, so that it never delays heartbeats.
        """
        self._subscriptions[message_type] = _Subscription(handler, is_slow)

    def ask(
        self, peer: PeerAddress, message: Message, timeout_ms: float
    ) -> Result[Message, PeerFailure]:
        """Send ``message`` and return the peer's reply."""
        if peer.instance_id == self.identity.instance_id:
            return self._reply_to_result(peer, self._handle(peer.instance_id, message))
        reply = self._exchange(peer, message, timeout_ms)
        if reply.is_ok() and isinstance(reply.ok, Misaddressed):
            # The peer didn't handle the message, and its reply named its current
            # incarnation: send the message once more, to that one.
            reply = self._exchange(peer, message, timeout_ms)
        return reply.bind(lambda body: self._reply_to_result(peer, body))

    def tell(self, peer: PeerAddress, message: Message) -> None:
        """Queue ``message`` to be sent in the background, without a guarantee."""
        try:
            self._send_queue.put_nowait((peer, message))
        except queue.Full:
            self._count_dropped("tells_full")

    def forget(self, peer: PeerAddress) -> None:
        """Close the connection to a peer that has left or died."""
        self._incarnations.pop(peer.instance_id, None)
        self._dialer.forget(peer.address)

    def close(self) -> None:
        """Stop listening and sending."""
        atexit.unregister(self.close)
        self._socket.close()
        self._dialer.close()
        self._slow_pool.shutdown(wait=False, cancel_futures=True)
        for _ in range(N_SEND_THREADS):
            with contextlib.suppress(queue.Full):
                self._send_queue.put_nowait(None)
        for thread in self._threads:
            thread.join(CLOSE_TIMEOUT_S)

    def _start_threads(self) -> None:
        workers = [self._serve] * self._settings.n_contexts
        workers += [self._send_queued] * N_SEND_THREADS
        for index, worker in enumerate(workers):
            name = f"wire-{index}"
            thread = threading.Thread(target=worker, name=name, daemon=True)
            thread.start()
            self._threads.append(thread)

    def _send_queued(self) -> None:
        while (item := self._send_queue.get()) is not None:
            peer, message = item
            self.ask(peer, message, self._settings.timeout_ms)

    def _exchange(
        self, peer: PeerAddress, message: Message, timeout_ms: float
    ) -> Result[Message, PeerFailure]:
        sequence = next(self._sequence)
        incarnation = self._incarnations.get(peer.instance_id, "")
        recipient = Identity(peer.instance_id, incarnation)
        frame = self._codec.encode_frame(
            "request", self.identity, recipient, sequence, message
        )
        if len(frame) > self._settings.max_frame_bytes:
            self._count_dropped("oversized")
            return Error(PeerNotReached(peer.instance_id))
        try:
            context = self._dialer.open_context(peer.address, timeout_ms)
        except pynng.NNGException:
            return Error(PeerNotReached(peer.instance_id))
        try:
            raw = self._round_trip(context, peer, frame)
        finally:
            close_context(context)
        return raw.bind(lambda raw: self._open_reply(peer, sequence, raw))

    def _round_trip(
        self, context: pynng.Context, peer: PeerAddress, frame: bytes
    ) -> Result[bytes, PeerFailure]:
        try:
            context.send(frame)
        except pynng.Timeout:
            # Sending times out only while there is no connection, so nothing was sent.
            return Error(PeerNotReached(peer.instance_id))
        except pynng.NNGException:
            return Error(PeerUnreachable(peer.instance_id))
        self._count_sent(len(frame))
        try:
            raw = context.recv()
        except pynng.NNGException:
            return Error(PeerUnreachable(peer.instance_id))
        self._count_received(len(raw))
        return Ok(raw)

    def _open_reply(
        self, peer: PeerAddress, sequence: int, raw: bytes
    ) -> Result[Message, PeerFailure]:
        opened = self._codec.decode_frame("reply", raw)
        if opened.is_error():
            self._count_dropped(opened.error.reason)
            return Error(PeerUnreachable(peer.instance_id))
        envelope = opened.ok
        addressing = (envelope.sender, envelope.sequence, _recipient(envelope))
        if addressing != (peer.instance_id, sequence, self.identity):
            self._count_dropped("misaddressed")
            return Error(PeerUnreachable(peer.instance_id))
        self._incarnations[peer.instance_id] = envelope.sender_incarnation
        body = self._codec.decode_body(envelope)
        if body.is_error():
            self._count_dropped(body.error.reason)
            return Error(PeerUnreachable(peer.instance_id))
        return body

    def _reply_to_result(
        self, peer: PeerAddress, body: Message
    ) -> Result[Message, PeerFailure]:
        match body:
            case Unsupported():
                return Error(PeerUnsupported(peer.instance_id))
            case HandlerFailed():
                return Error(PeerFailed(peer.instance_id))
            case Misaddressed() | Overloaded():
                return Error(PeerNotReached(peer.instance_id))
        return Ok(body)

    def _serve(self) -> None:
        context = self._open_context()
        while context is not None:
            try:
                raw = context.recv()
            except pynng.Closed:
                close_context(context)
                return
            except pynng.NNGException:
                continue
            self._count_received(len(raw))
            envelope = self._decode_request(raw)
            if envelope is None:
                continue
            body = self._decode_body(envelope)
            subscription = self._subscriptions.get(type(body))
            if not subscription or not subscription.is_slow:
                self._reply(context, envelope, body)
            elif self._slow_slots.acquire(blocking=False):
                self._slow_pool.submit(self._reply_in_pool, context, envelope, body)
                context = self._open_context()
            else:
                self._count_dropped("slow_full")
                self._reply(context, envelope, Overloaded())

    def _open_context(self) -> pynng.Context | None:
        """Return a context to receive with; None if the transport is closed."""
        try:
            return self._socket.new_context()
        except pynng.Closed:
            return None

    def _decode_request(self, raw: bytes) -> Envelope | None:
        opened = self._codec.decode_frame("request", raw)
        if opened.is_error():
            self._count_dropped(opened.error.reason)
            return None
        envelope = opened.ok
        with self._replay_lock:
            is_new = self._replay_filter.accept(
                envelope.sender_incarnation, envelope.sequence
            )
        if not is_new:
            self._count_dropped("replayed")
            return None
        return envelope

    def _decode_body(self, envelope: Envelope) -> Message:
        """Return the message, or the reply that says why it is not handled."""
        if _recipient(envelope) != self.identity:
            return Misaddressed()
        body = self._codec.decode_body(envelope)
        if body.is_error():
            self._count_dropped(body.error.reason)
            return Unsupported()
        return body.ok

    def _reply_in_pool(
        self, context: pynng.Context, envelope: Envelope, body: Message
    ) -> None:
        try:
            self._reply(context, envelope, body)
        finally:
            self._slow_slots.release()
            close_context(context)

    def _reply(self, context: pynng.Context, envelope: Envelope, body: Message) -> None:
        is_reply = isinstance(body, Misaddressed | Unsupported | Overloaded)
        reply = body if is_reply else self._handle(envelope.sender, body)
        frame = self._codec.encode_frame(
            "reply",
            self.identity,
            Identity(envelope.sender, envelope.sender_incarnation),
            envelope.sequence,
            reply,
        )
        try:
            context.send(frame)
        except pynng.NNGException:
            return
        self._count_sent(len(frame))

    def _handle(self, sender_id: str, body: Message) -> Message:
        subscription = self._subscriptions.get(type(body))
        if subscription is None:
            return Unsupported()
        try:
            return subscription.handler(sender_id, body) or Ack()
        except Exception as error:  # noqa: BLE001 - a failing handler must not end the thread
            self._telemetry.log(
                events.HANDLER_FAILED,
                message=type(body).__name__,
                sender=sender_id,
                error_type=type(error).__name__,
                reason=str(error),
            )
            return HandlerFailed()

    def _count_sent(self, n_bytes: int) -> None:
        self.n_bytes_sent += n_bytes
        self._telemetry.metrics.incr(WIRE_BYTES, n_bytes, label="sent")

    def _count_received(self, n_bytes: int) -> None:
        self.n_bytes_received += n_bytes
        self._telemetry.metrics.incr(WIRE_BYTES, n_bytes, label="received")

    def _count_dropped(self, reason: str) -> None:
        self.n_dropped += 1
        self._telemetry.metrics.incr(WIRE_FRAMES_DROPPED, label=reason)


def open_transport(
    identity: Identity, settings: WireSettings, telemetry: Telemetry
) -> Transport:
    """Open a transport that listens at the address in the settings.

    Raises
    ------
    pynng.NNGException
        If the address can't be bound.
    """
    return Transport(identity, settings, telemetry)


def _recipient(envelope: Envelope) -> Identity:
    return Identity(envelope.recipient, envelope.recipient_incarnation)


def _listening_port(listener: pynng.nng.Listener) -> int:
    # The library returns the port in network byte order.
    return socket.ntohs(listener.local_address.port)
