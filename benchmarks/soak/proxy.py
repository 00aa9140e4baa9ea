"""A loopback proxy of TCP connections that injects faults."""

import asyncio

CHUNK_BYTES = 65_536
TO_SERVER, TO_CLIENT = "to-server", "to-client"


class _Link:
    """One forwarded connection; nothing is forwarded in its silent directions."""

    def __init__(self, *writers) -> None:
        self.writers = writers
        self.silent: set[str] = set()

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Forwards the connections to ``address`` to ``target``.

    Attributes
    ----------
    delay_s : float
        Time for which each chunk is held.
    cut : str
        Direction in which nothing is forwarded, "" for none. A connection that lost
        bytes stays silent in that direction, since its later bytes would be garbled.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.cut = ""
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()

    async def start(self, ip: str) -> None:
        """Listen on a free port of an address."""
        self._ip, self._port = ip, 0
        await self.listen()

    async def listen(self) -> None:
        """Accept connections again, at the address of before."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(
            self._accept, self._ip, self._port, backlog=256
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{self._port}"

    def refuse(self) -> None:
        """Refuse new connections, as the address of a process that ended does."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def silence(self) -> int:
        """Make the open connections silent for good; return their number."""
        for link in self._links:
            link.silent |= {TO_SERVER, TO_CLIENT}
        return len(self._links)

    def reset(self) -> int:
        """Reset the open connections; return their number."""
        for link in self._links:
            link.abort()
        return len(self._links)

    async def _accept(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, server_writer)
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pump(reader, server_writer, link, TO_SERVER),
                self._pump(server_reader, writer, link, TO_CLIENT),
            )
        except asyncio.CancelledError:
            pass  # The run is over; asyncio.streams would log the cancellation.
        finally:
            self._links.discard(link)
            link.abort()

    async def _pump(self, reader, writer, link: _Link, direction: str) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.cut == direction:
                    link.silent.add(direction)
                if direction in link.silent:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            link.abort()
            return
        # The end of a silent direction isn't forwarded either.
        if direction not in link.silent:
            writer.close()
