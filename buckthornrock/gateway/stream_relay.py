"""Relays an event stream from one or more upstreams to a client.

Only whole events are forwarded. A run that resumes an interrupted stream must continue
it: its events have ids and follow the last forwarded event without a gap, and there is
at least one of them. A run that sends anything else, such as the text of an error, is
treated as interrupted, so that the client never takes the stream for complete.
"""

import asyncio
from collections.abc import Callable

from ..runtime.decoding import parse_count
from .client_connection import ClientConnection
from .errors import ConnectionBrokenError
from .event_stream import EventSplitter, StreamEvent
from .ports import Headers
from .upstream_connection import MAX_HELD_BACK_BYTES, UpstreamConnection

#: Time without an event after which a stream is abandoned, if it can be resumed.
EVENT_TIMEOUT_MS = 1_500.0


class StreamRelay:
    """Forwards each complete event once, also when another upstream resumes the stream.

    Parameters
    ----------
    client : ClientConnection
        Receives the events.
    last_event_id : str
        Id of the last event that the client already has, "" for none.
    may_abandon : callable
        Returns whether another upstream could resume a stream that is stalled.
    """

    def __init__(
        self,
        client: ClientConnection,
        last_event_id: str,
        may_abandon: Callable[[], bool],
    ) -> None:
        self._client = client
        self._may_abandon = may_abandon
        self._has_gaps = False
        self._stalls_at_s: float | None = None
        self.last_event_id = last_event_id

    async def run(
        self,
        connection: UpstreamConnection,
        headers: Headers,
        on_event: Callable[[], None],
        must_have_event: bool = False,
    ) -> None:
        """Relay the stream of one upstream to its end.

        ``on_event`` is called when events other than comments have arrived. A stream
        without any counts as interrupted if it ``must_have_event``.

        Raises
        ------
        ConnectionBrokenError
            If the stream was interrupted or does not continue the one before;
            ``last_event_id`` tells where to resume it.
        TimeoutError
            If the stream had no event for ``EVENT_TIMEOUT_MS`` and may be abandoned.
        """
        splitter = EventSplitter()
        is_resumed = self._client.has_sent_head
        n_forwarded = 0
        has_event = False
        self._restart_stall_timer()
        while data := await self._read_chunk(connection):
            events = splitter.feed(data)
            self._client.hold_response(splitter.n_rest_bytes)
            if any(not event.is_comment for event in events):
                has_event = True
                on_event()
                self._restart_stall_timer()
            for event in events:
                n_forwarded += self._forward(event, headers, is_resumed)
            if self._client.is_congested:
                await self._wait_for_client(splitter.n_rest_bytes)
        if splitter.rest.strip():
            raise ConnectionBrokenError("the stream ended within an event")
        if must_have_event and not has_event:
            raise ConnectionBrokenError("the stream ended before its first event")
        if is_resumed and not n_forwarded:
            raise ConnectionBrokenError("the resumed stream had no further event")
        if not self._client.has_sent_head:
            self._client.start_stream(200, headers, b"")
        self._client.end_stream()

    def _restart_stall_timer(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._stalls_at_s = now_s + EVENT_TIMEOUT_MS / 1000.0

    async def _wait_for_client(self, n_rest_bytes: int) -> None:
        """Read no more from the upstream while the client doesn't take the events.

        The route's timeout ends this. The upstream isn't stalled meanwhile.
        """
        self._client.hold_response(n_rest_bytes + MAX_HELD_BACK_BYTES)
        await self._client.wait_writable()
        if self._stalls_at_s is not None:
            self._restart_stall_timer()

    async def _read_chunk(self, connection: UpstreamConnection) -> bytes:
        """Return the next bytes of the stream, b"" at its end."""
        try:
            async with asyncio.timeout_at(self._stalls_at_s):
                return await connection.read_chunk()
        except TimeoutError:
            if self._may_abandon():
                raise
        # No other upstream can resume the stream, so a slow one may go on.
        self._stalls_at_s = None
        return await connection.read_chunk()

    def _forward(self, event: StreamEvent, headers: Headers, is_resumed: bool) -> bool:
        """Forward an event unless the client has it; return whether it is a new one."""
        if event.is_comment:
            self._send(event.raw, headers)
            return False
        if event.event_id is None:
            if is_resumed:
                raise ConnectionBrokenError(
                    "the resumed stream has an event with no id"
                )
            self._send(event.raw, headers)
            return True
        last_id = parse_count(self.last_event_id)
        if last_id is not None and not self._is_next(event, last_id, is_resumed):
            return False
        self._send(event.raw, headers)
        self.last_event_id = str(event.event_id)
        return True

    def _is_next(self, event: StreamEvent, last_id: int, is_resumed: bool) -> bool:
        """Return whether an event follows the last one; False for one before it.

        If the ids had no gap before the interruption, there is none after it either.
        """
        if event.event_id <= last_id:
            return False
        is_gap = event.event_id > last_id + 1
        if is_gap and is_resumed and not self._has_gaps:
            raise ConnectionBrokenError("the resumed stream lacks an event")
        self._has_gaps |= is_gap
        return True

    def _send(self, chunk: bytes, headers: Headers) -> None:
        if self._client.has_sent_head:
            self._client.send_chunk(chunk)
            return
        self._client.start_stream(200, headers, chunk)
