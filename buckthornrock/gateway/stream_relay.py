"""Relays an event stream to a client, over one or more upstreams."""

import asyncio

from .client_connection import ClientConnection
from .dispatcher import Ticket
from .event_stream import EventSplitter, StreamEvent
from .ports import Headers
from .upstream_connection import UpstreamConnection

#: Silence after which a stream that may be resumed is taken to be broken.
TCP_USER_TIMEOUT_MS = 1_500.0


class StreamRelay:
    """Hands on whole events once each; a resumed stream goes on where it broke.

    Parameters
    ----------
    client : FrontConnection
        Receives the events.
    resumes_after : str
        Id of the last event that the client has already, "" for none.
    is_resumable : bool
        Whether a silent stream may be given up and resumed elsewhere.
    """

    def __init__(
        self, client: ClientConnection, resumes_after: str, is_resumable: bool
    ) -> None:
        self._client = client
        self._silence_limit_s = TCP_USER_TIMEOUT_MS / 1000.0 if is_resumable else None
        self.last_event_id = resumes_after

    async def run(
        self, connection: UpstreamConnection, headers: Headers, ticket: Ticket
    ) -> None:
        """Relay one upstream's stream to its end.

        Raises
        ------
        ConnectionBrokenError
            If the stream broke off; what was relayed is kept.
        TimeoutError
            If the upstream sent no event for too long.
        """
        splitter = EventSplitter()
        events: list[StreamEvent] | None = []
        while events is not None:
            async with asyncio.timeout(self._silence_limit_s):
                events = await self._read_events(connection, splitter)
            ticket.on_first_event()
            for event in events or ():
                self._hand_on(event, headers)
        self._finish(splitter.rest, headers)

    async def _read_events(
        self, connection: UpstreamConnection, splitter: EventSplitter
    ) -> list[StreamEvent] | None:
        """Return the next events that are whole, None at the stream's end."""
        while data := await connection.read_chunk():
            if events := splitter.feed(data):
                return events
        return None

    def _hand_on(self, event: StreamEvent, headers: Headers) -> None:
        if self._is_known(event):
            return
        self._send(event.raw, headers)
        if event.event_id is not None:
            self.last_event_id = str(event.event_id)

    def _is_known(self, event: StreamEvent) -> bool:
        if event.event_id is None or not self.last_event_id.isdigit():
            return False
        return event.event_id <= int(self.last_event_id)

    def _finish(self, rest: bytes, headers: Headers) -> None:
        if rest or not self._client.has_started:
            self._send(rest, headers)
        self._client.end()

    def _send(self, part: bytes, headers: Headers) -> None:
        if self._client.has_started:
            self._client.send_part(part)
            return
        self._client.start(200, headers, part)
