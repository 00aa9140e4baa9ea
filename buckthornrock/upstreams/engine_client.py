"""Calls to model engines: streamed completions and load reports.

The head of an answer is read by urllib3. The body of a stream is then read line by
line from urllib3's buffered file, without the layers between.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec
import urllib3
from expression import Error, Ok, Result

from ..conf.settings import UpstreamsSettings
from .engine_messages import EngineChunk, LoadReport
from .errors import AttemptFailed, StreamBroken, StreamFailure, UpstreamRefused

N_POOLED_CONNECTIONS = 64
DONE = b"[DONE]"
DATA = b"data: "

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


class EngineClient:
    """Connection pools to engines."""

    def __init__(self, settings: UpstreamsSettings) -> None:
        timeout = urllib3.Timeout(
            connect=settings.connect_timeout_ms / 1000.0,
            read=settings.read_timeout_ms / 1000.0,
        )
        self._pool = urllib3.PoolManager(
            maxsize=N_POOLED_CONNECTIONS, retries=False, timeout=timeout
        )

    def load(self, address: str) -> Result[LoadReport, AttemptFailed]:
        """Return the engine's load report."""
        try:
            response = self._pool.request("GET", f"http://{address}/load")
            return Ok(msgspec.json.decode(response.data, type=LoadReport))
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            return Error(AttemptFailed(address, type(error).__name__, "true"))

    def open_stream(
        self, call: EngineCall
    ) -> Result[Iterator[Result[EngineChunk, StreamBroken]], StreamFailure]:
        """Send the completion and return its checked chunks.

        The iterator ends after the stream's explicit end; anything else is a
        :class:`StreamBroken` as its last item.
        """
        body = dict(call.body)
        body |= {"stream": True, "cache_salt": call.cache_salt}
        body |= {"priority": call.priority, "output_offset": call.output_offset}
        try:
            response = self._pool.request(
                "POST",
                f"http://{call.address}/v1/completions",
                body=msgspec.json.encode(body),
                headers={"X-Request-Id": call.request_id},
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            name = type(error).__name__
            return Error(AttemptFailed(call.upstream_id, name, "true"))
        except urllib3.exceptions.HTTPError as error:
            name = type(error).__name__
            return Error(AttemptFailed(call.upstream_id, name, "unknown"))
        if response.status != 200:
            response.drain_conn()
            return Error(UpstreamRefused(call.upstream_id, response.status))
        return Ok(_checked_chunks(response, call))


def _checked_chunks(
    response: urllib3.BaseHTTPResponse, call: EngineCall
) -> Iterator[Result[EngineChunk, StreamBroken]]:
    next_offset = call.output_offset
    stream_id = ""
    try:
        for data in _events(response):
            if data == DONE:
                response.drain_conn()
                return
            chunk = _decode_chunk(data)
            stream_id = stream_id or chunk.stream
            reason = _mismatch(chunk, call, stream_id, next_offset)
            if reason:
                yield Error(StreamBroken(call.upstream_id, reason))
                return
            next_offset += chunk.n_tokens
            yield Ok(chunk)
        yield Error(StreamBroken(call.upstream_id, "ended without its end mark"))
    except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError) as error:
        yield Error(StreamBroken(call.upstream_id, type(error).__name__))
    finally:
        response.close()


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b""
    for part in response.stream(65_536):
        pending += part
        *events, pending = pending.split(b"\n\n")
        for event in events:
            yield event.removeprefix(DATA)


def _mismatch(
    chunk: EngineChunk, call: EngineCall, stream_id: str, next_offset: int
) -> str:
    if chunk.id != call.request_id:
        return "answer to another request"
    if chunk.stream != stream_id:
        return "chunk of another stream"
    if chunk.cache_salt != call.cache_salt:
        return "answer for another cache salt"
    if chunk.weights != call.weights_version:
        return "answer of other weights"
    if chunk.offset != next_offset:
        return "gap or repeat in the offsets"
    return ""
