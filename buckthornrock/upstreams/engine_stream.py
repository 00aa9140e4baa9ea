"""Reads and checks the events of one engine stream, without blocking."""

import socket
from typing import NamedTuple

import msgspec
import urllib3

from ..runtime.decoding import UNDECODABLE
from .chunked import ChunkedBody, FramingError
from .engine_messages import EngineChunk

READ_BYTES = 65_536
#: Size limit of an event; a larger one breaks the stream.
MAX_EVENT_BYTES = 1_048_576
EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"
OTHER_WEIGHTS = "answer of other weights"

_decode_chunk = msgspec.json.Decoder(EngineChunk).decode


class EngineCall(NamedTuple):
    """A completion as it is sent to one engine.

    ``body`` is the caller's JSON object; the other fields take precedence over it.

    Parameters
    ----------
    output_offset : int
        Index of the first token to generate.
    generated : str
        The text of the tokens before it, if another engine generated them.
    resume_stream : str
        The engine's stream to resume; "" starts a new stream.
    timeout_ms : float
        Time limit for the first token.
    """

    upstream_id: str
    address: str
    request_id: str
    body: dict
    cache_salt: str
    weights_version: str
    priority: int
    output_offset: int
    generated: str = ""
    resume_stream: str = ""
    timeout_ms: float = 30_000.0


class BrokenStreamError(Exception):
    """The stream is not the complete response to its request, without gaps.

    Attributes
    ----------
    reason : str
        What is wrong with the stream.
    is_connection_lost : bool
        Whether only the connection ended, so that the engine may still hold the
        stream.
    """

    def __init__(self, reason: str, is_connection_lost: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_connection_lost = is_connection_lost


class EngineStream:
    """The body of one engine response, read from the connection's socket.

    urllib3 has read the head and owns the connection. The body bypasses its decoding
    layers, which streamed JSON does not need.

    Attributes
    ----------
    call : EngineCall
        The call that was sent.
    stream_id : str
        The engine's id of the stream; "" until the first chunk has arrived.
    next_offset : int
        Index of the next expected token.
    is_complete : bool
        Whether the end mark has arrived.
    """

    def __init__(self, response: urllib3.HTTPResponse, call: EngineCall) -> None:
        self.call = call
        self.stream_id = ""
        self.next_offset = call.output_offset
        self.is_complete = False
        self._is_finished = False
        self._response = response
        self._socket = _socket_of(response)
        self._timeout_s = self._socket.gettimeout()
        self._socket.setblocking(False)
        self._body = ChunkedBody() if _is_chunked(response) else None
        self._pending = b""
        # http.client may have buffered the start of the body along with the head.
        self._unread = _buffered(response)

    def fileno(self) -> int:
        """Return the file descriptor to wait on."""
        return self._socket.fileno()

    def read(self) -> list[EngineChunk]:
        """Return the chunks that can be read now, after checking each.

        Raises
        ------
        BrokenStreamError
            If the stream ended early or a chunk does not belong to it.
        """
        try:
            events = self._read_events()
            return self._chunks(events)
        except BlockingIOError:
            return []
        except OSError as error:
            raise BrokenStreamError(
                type(error).__name__, is_connection_lost=True
            ) from error
        except (FramingError, *UNDECODABLE) as error:
            raise BrokenStreamError(type(error).__name__) from error

    def finish(self) -> None:
        """Release the connection for reuse if the body has ended, or close it."""
        if not self._is_reusable():
            self._response.close()
            return
        self._socket.settimeout(self._timeout_s)
        self._response._original_response.close()
        self._response.release_conn()

    def _is_reusable(self) -> bool:
        if not self.is_complete or self._pending or self._body is None:
            return False
        if not self._body.is_ended:
            self._read_end()
        return self._body.is_ended and not self._body.n_extra_bytes

    def _read_end(self) -> None:
        try:
            self._body.feed(self._socket.recv(READ_BYTES))
        except (OSError, FramingError):
            return

    def _read_events(self) -> list[bytes]:
        raw = self._unread or self._socket.recv(READ_BYTES)
        self._unread = b""
        if not raw:
            raise BrokenStreamError(
                "ended without its end mark", is_connection_lost=True
            )
        part = self._body.feed(raw) if self._body else raw
        *events, self._pending = (self._pending + part).split(EVENT_END)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise BrokenStreamError("an event is too long")
        if not events and self._body and self._body.is_ended:
            raise BrokenStreamError(
                "ended without its end mark", is_connection_lost=True
            )
        return events

    def _chunks(self, events: list[bytes]) -> list[EngineChunk]:
        chunks = []
        for event in events:
            data = event.removeprefix(DATA)
            if data == DONE:
                self._end()
                return chunks
            chunk = _decode_chunk(data)
            self._check(chunk)
            chunks.append(chunk)
        return chunks

    def _end(self) -> None:
        """Accept the end mark, which is valid only after a finish reason."""
        if not self._is_finished:
            raise BrokenStreamError("end mark before the last token")
        self.is_complete = True

    def _check(self, chunk: EngineChunk) -> None:
        call = self.call
        if not self.stream_id:
            self.stream_id = chunk.stream
        if chunk.offset != self.next_offset:
            raise BrokenStreamError("gap or repeat in the offsets")
        if chunk.id != call.request_id:
            raise BrokenStreamError("answer to another request")
        if chunk.stream != self.stream_id:
            raise BrokenStreamError("chunk of another stream")
        if chunk.cache_salt != call.cache_salt:
            raise BrokenStreamError("answer for another cache salt")
        if chunk.weights != call.weights_version:
            raise BrokenStreamError(OTHER_WEIGHTS)
        self.next_offset += chunk.n_tokens
        self._is_finished = chunk.choices[0].finish_reason is not None


def _is_chunked(response: urllib3.HTTPResponse) -> bool:
    return "chunked" in response.headers.get("Transfer-Encoding", "").lower()


def _buffered(response: urllib3.HTTPResponse) -> bytes:
    try:
        return response._original_response.fp.peek()
    except OSError as error:
        raise BrokenStreamError(
            type(error).__name__, is_connection_lost=True
        ) from error


def _socket_of(response: urllib3.HTTPResponse) -> socket.socket:
    """Return the socket of the body.

    Raises
    ------
    BrokenStreamError
        If the response ended with its head.
    """
    connection = response.connection
    if connection is not None and connection.sock is not None:
        return connection.sock
    # A response that closes its connection is the only owner of the socket.
    reader = response._original_response.fp
    if reader is None:
        raise BrokenStreamError("the answer has no body", is_connection_lost=True)
    return reader.raw._sock
