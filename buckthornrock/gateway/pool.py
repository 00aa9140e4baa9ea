"""Pool of idle keep-alive connections to upstreams, by incarnation."""

import asyncio
import math
from collections import defaultdict
from collections.abc import Callable, Collection

from expression import Error, Ok, Result

from ..catalog.upstreams import Incarnation, Upstream
from .errors import NotReached
from .ports import HeaderCodec
from .sockets import configure_socket
from .upstream_connection import RECEIVE_BYTES, UpstreamConnection

CONNECT_TIMEOUT_MS = 250.0
#: Idle limit of a connection whose upstream sent no Keep-Alive timeout.
DEFAULT_IDLE_LIMIT_MS = 3_000.0
#: A connection is not reused this long before the upstream is due to close it, since a
#: request could cross the close on the way.
IDLE_MARGIN_MS = 400.0


class ConnectionPool:
    """Idle connections to upstreams, the most recently used one reused first.

    With ``max_connections`` of them, an idle one is closed before another is opened.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        now_ms: Callable[[], float],
        max_connections: float = math.inf,
    ) -> None:
        self._codec = codec
        self._now_ms = now_ms
        self._max_connections = max_connections
        self._receive_buffer = memoryview(bytearray(RECEIVE_BYTES))
        self._open_connections: set[UpstreamConnection] = set()
        self._n_connecting = 0
        self._idle: dict[Incarnation, list[UpstreamConnection]] = defaultdict(list)

    async def acquire(
        self,
        upstream: Upstream,
        limit_ms: float,
        excluded: Collection[UpstreamConnection] = (),
        request_id: str = "",
    ) -> Result[UpstreamConnection, NotReached]:
        """Return an idle connection that is not excluded, or open one.

        A request excludes the connections of its earlier attempts. All its attempts
        have the same id, so a response that the upstream repeats on one of these
        connections would be taken for that of the later attempt.
        """
        connection = self._take_idle(upstream, excluded, request_id)
        if connection is not None:
            return Ok(connection)
        return await self._open(upstream, min(limit_ms, CONNECT_TIMEOUT_MS))

    async def can_connect(self, upstream: Upstream) -> bool:
        """Return whether the upstream accepts a connection, which is then kept idle."""
        opened = await self._open(upstream, CONNECT_TIMEOUT_MS)
        if opened.is_error():
            return False
        opened.ok.idle_since_ms = self._now_ms()
        self._idle[upstream.incarnation].append(opened.ok)
        return True

    def release(self, upstream: Upstream, connection: UpstreamConnection) -> None:
        """Return a connection to the pool if it can carry another request."""
        if connection.finish(self._now_ms()):
            self._idle[upstream.incarnation].append(connection)

    def put_back(self, upstream: Upstream, connection: UpstreamConnection) -> None:
        """Return an acquired connection on which nothing was sent."""
        if not connection.is_open:
            return
        connection.idle_since_ms = connection.idle_since_ms or self._now_ms()
        self._idle[upstream.incarnation].append(connection)

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Close the connections to removed upstreams, and stale ones."""
        for incarnation in list(self._idle):
            connections = self._idle[incarnation]
            remaining = [c for c in connections if c.is_open and self._is_fresh(c)]
            if incarnation not in incarnations:
                remaining = []
            for connection in set(connections) - set(remaining):
                connection.close()
            self._idle[incarnation] = remaining
            if not remaining:
                del self._idle[incarnation]

    def _take_idle(
        self,
        upstream: Upstream,
        excluded: Collection[UpstreamConnection],
        request_id: str,
    ) -> UpstreamConnection | None:
        connections = self._idle[upstream.incarnation]
        for connection in reversed(list(connections)):
            # A client may come back with the id of a request that was refused.
            if connection in excluded or hash(request_id) in connection.request_ids:
                continue
            connections.remove(connection)
            if connection.is_open and self._is_fresh(connection):
                return connection
            connection.close()
        return None

    def _is_fresh(self, connection: UpstreamConnection) -> bool:
        limit_ms = connection.idle_limit_ms
        if limit_ms is None:
            limit_ms = DEFAULT_IDLE_LIMIT_MS
        idle_ms = self._now_ms() - connection.idle_since_ms
        return idle_ms < limit_ms - IDLE_MARGIN_MS

    async def _open(
        self, upstream: Upstream, limit_ms: float
    ) -> Result[UpstreamConnection, NotReached]:
        host, _, port = upstream.address.rpartition(":")
        loop = asyncio.get_running_loop()
        n_connections = len(self._open_connections) + self._n_connecting
        if n_connections >= self._max_connections:
            self._close_oldest_idle()
        self._n_connecting += 1
        try:
            async with asyncio.timeout(limit_ms / 1000.0):
                transport, connection = await loop.create_connection(
                    self._new_connection, host, int(port)
                )
        except (OSError, ValueError, OverflowError) as error:
            # The latter two: nothing can be connected to at such an address.
            return Error(NotReached(type(error).__name__))
        finally:
            self._n_connecting -= 1
        self._open_connections.add(connection)
        configure_socket(transport.get_extra_info("socket"))
        return Ok(connection)

    def _new_connection(self) -> UpstreamConnection:
        return UpstreamConnection(
            self._codec, self._receive_buffer, self._open_connections.discard
        )

    def _close_oldest_idle(self) -> None:
        idle = [c for of_one in self._idle.values() for c in of_one if c.is_open]
        oldest = min(idle, key=lambda c: c.idle_since_ms, default=None)
        if oldest is not None:
            oldest.close()
