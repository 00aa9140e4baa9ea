"""HTTP/1.1 over asyncio streams with h11, for both ends."""

import asyncio

import h11

CHUNK_BYTES = 65_536


class HttpConnection:
    """One connection; ``role`` is h11.CLIENT or h11.SERVER."""

    def __init__(self, reader, writer, role) -> None:
        self.reader, self.writer = reader, writer
        self.state = h11.Connection(role)

    async def next_event(self):
        """Return the next event; raise h11.RemoteProtocolError if it is malformed."""
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.state.receive_data(await self.reader.read(CHUNK_BYTES))

    async def send(self, *events) -> None:
        """Send events."""
        for event in events:
            self.writer.write(self.state.send(event) or b"")
        await self.writer.drain()

    async def read_body(self) -> bytes:
        """Return the rest of the current message's body."""
        body = bytearray()
        while isinstance(event := await self.next_event(), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            raise h11.RemoteProtocolError("the connection ended within a message")
        return bytes(body)

    def may_continue(self) -> bool:
        """Make the connection ready for another message if both ends allow it."""
        if self.state.our_state is not h11.DONE:
            return False
        if self.state.their_state is not h11.DONE:
            return False
        self.state.start_next_cycle()
        return True

    def is_closed_by_peer(self) -> bool:
        """Return whether the other end has closed or reset the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    def abort(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


async def connect(address: str, limit_s: float = 2.0) -> HttpConnection:
    """Open a client's connection to IP:PORT."""
    host, _, port = address.rpartition(":")
    opening = asyncio.open_connection(host, int(port))
    reader, writer = await asyncio.wait_for(opening, limit_s)
    return HttpConnection(reader, writer, h11.CLIENT)


def header(headers, name: str) -> str:
    """Return the value of a header, "" for none."""
    wanted = name.lower().encode()
    return next((value.decode() for key, value in headers if key == wanted), "")
