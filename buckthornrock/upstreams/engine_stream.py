"""One engine stream: reads its events, checks them and hands them on."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
import urllib3
from expression import Error, Ok, Result

from ..errors import CallerGone
from .engine_messages import EngineChunk
from .errors import StreamBroken

READ_BYTES = 65_536
#: Longest event that is waited for; a longer one breaks the stream.
MAX_EVENT_BYTES = 1_048_576
EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"

_decode_chunk = msgspec.json.Decoder(EngineChunk).decode


class EngineCall(NamedTuple):
    """A completion as it is sent to one engine.

    ``body`` is the caller's JSON object; the other fields go before it.
    """

    upstream_id: str
    address: str
    request_id: str
    body: dict
    cache_salt: str
    weights_version: str
    priority: int
    output_offset: int


#: Takes the chunks of one read; False means that the caller is gone.
WriteChunks = Callable[[list[EngineChunk]], bool]


class EngineStream:
    """The body of one engine answer.

    Attributes
    ----------
    stream_id : str
        The engine's name for the stream, once the first chunk has come.
    next_offset : int
        Index of the token that is to come next.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse, call: EngineCall) -> None:
        self._response = response
        self._call = call
        self._pending = b""
        self.stream_id = ""
        self.next_offset = call.output_offset

    def relay(self, write: WriteChunks) -> Result[None, StreamBroken | CallerGone]:
        """Hand every chunk to ``write``, in order, until the stream's explicit end.

        Anything but a whole, gapless stream of this very request is a
        :class:`StreamBroken`; what was handed on before it was correct.
        """
        is_whole = False
        try:
            while not is_whole:
                chunks, is_whole = self._read_chunks()
                if chunks and not write(chunks):
                    return Error(CallerGone(self.next_offset))
            return Ok(None)
        except _BrokenError as error:
            return Error(StreamBroken(self._call.upstream_id, error.reason))
        except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError) as error:
            return Error(StreamBroken(self._call.upstream_id, type(error).__name__))
        finally:
            self._finish(is_whole)

    def interrupt(self) -> None:
        """Wake :meth:`relay` in another thread; it then returns a failure."""
        try:
            self._response.shutdown()
        except (RuntimeError, ValueError, OSError):
            # The stream has ended meanwhile, so there is nothing to wake.
            return

    def _read_chunks(self) -> tuple[list[EngineChunk], bool]:
        part = self._response.read1(READ_BYTES, decode_content=False)
        if not part:
            raise _BrokenError("ended without its end mark")
        *events, self._pending = (self._pending + part).split(EVENT_END)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise _BrokenError("an event is too long")
        chunks = []
        for event in events:
            data = event.removeprefix(DATA)
            if data == DONE:
                return chunks, True
            chunks.append(self._checked(_decode_chunk(data)))
        return chunks, False

    def _checked(self, chunk: EngineChunk) -> EngineChunk:
        call = self._call
        if not self.stream_id:
            self.stream_id = chunk.stream
        if chunk.offset != self.next_offset:
            raise _BrokenError("gap or repeat in the offsets")
        if chunk.id != call.request_id:
            raise _BrokenError("answer to another request")
        if chunk.stream != self.stream_id:
            raise _BrokenError("chunk of another stream")
        if chunk.cache_salt != call.cache_salt:
            raise _BrokenError("answer for another cache salt")
        if chunk.weights != call.weights_version:
            raise _BrokenError("answer of other weights")
        self.next_offset += chunk.n_tokens
        return chunk

    def _finish(self, is_whole: bool) -> None:
        # A connection is kept only if the body's framing has ended as well.
        if not is_whole or self._pending:
            self._response.close()
            return
        try:
            if self._response.read1(READ_BYTES, decode_content=False):
                self._response.close()
        except (urllib3.exceptions.HTTPError, OSError):
            self._response.close()


class _BrokenError(Exception):
    """Ends the reading loop with a reason."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
