"""Relays an event stream from one or more upstreams to a client."""

import asyncio

from .client_connection import ClientConnection
from .dispatcher import Reservation
from .event_stream import EventSplitter, StreamEvent
from .ports import Headers
from .upstream_connection import UpstreamConnection

#: Time without an event after which a resumable stream is treated as broken.
TCP_USER_TIMEOUT_MS = 1_500.0


class StreamRelay:
    """Forwards each complete event once, also when another upstream resumes the stream.

    Parameters
    ----------
    client : ClientConnection
        Receives the events.
    last_event_id : str
        Id of the last event that the client already has, "" for none.
    is_resumable : bool
        Whether a stalled stream may be abandoned and resumed at another upstream.
    """

    def __init__(
        self, client: ClientConnection, last_event_id: str, is_resumable: bool
    ) -> None:
        self._client = client
        self._event_timeout_s = TCP_USER_TIMEOUT_MS / 1000.0 if is_resumable else None
        self.last_event_id = last_event_id

    async def run(
        self, connection: UpstreamConnection, headers: Headers, reservation: Reservation
    ) -> None:
        """Relay the stream of one upstream to its end.

        Raises
        ------
        ConnectionBrokenError
            If the stream was interrupted; ``last_event_id`` tells where to resume it.
        TimeoutError
            If a resumable stream had no event for ``EVENT_TIMEOUT_MS``.
        """
        splitter = EventSplitter()
        events: list[StreamEvent] | None = []
        while events is not None:
            async with asyncio.timeout(self._event_timeout_s):
                events = await self._read_events(connection, splitter)
            reservation.on_first_event()
            for event in events or ():
                self._forward(event, headers)
        self._finish(splitter.rest, headers)

    async def _read_events(
        self, connection: UpstreamConnection, splitter: EventSplitter
    ) -> list[StreamEvent] | None:
        """Return the next complete events, or None at the end of the stream."""
        while data := await connection.read_chunk():
            if events := splitter.feed(data):
                return events
        return None

    def _forward(self, event: StreamEvent, headers: Headers) -> None:
        if self._is_duplicate(event):
            return
        self._send(event.raw, headers)
        if event.event_id is not None:
            self.last_event_id = str(event.event_id)

    def _is_duplicate(self, event: StreamEvent) -> bool:
        if event.event_id is None or not self.last_event_id.isdigit():
            return False
        return event.event_id <= int(self.last_event_id)

    def _finish(self, rest: bytes, headers: Headers) -> None:
        if rest or not self._client.has_sent_head:
            self._send(rest, headers)
        self._client.end_stream()

    def _send(self, chunk: bytes, headers: Headers) -> None:
        if self._client.has_sent_head:
            self._client.send_chunk(chunk)
            return
        self._client.start_stream(200, headers, chunk)
