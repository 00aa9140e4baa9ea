"""Starts and stops cheroot servers that call a handler function."""

import socket
import threading
from collections.abc import Callable
from contextlib import suppress

from cheroot.server import Gateway, HTTPConnection, HTTPServer

from .exchange import Exchange
from .heads import HeadReceiver

#: Handles one request; must send exactly one response.
Handler = Callable[[Exchange], None]

STOP_TIMEOUT_S = 1.0
MAX_HEAD_BYTES = 65_536


class HttpServer:
    """A running server.

    Attributes
    ----------
    port : int
        The port that the server listens on, also if 0 was requested.
    """

    def __init__(self, server: HTTPServer, heads: HeadReceiver, n_threads: int) -> None:
        self._server = server
        self._heads = heads
        self._n_threads = n_threads
        self.port: int = server.bind_addr[1]
        self._thread = threading.Thread(
            target=server.serve, name=f"http-{self.port}", daemon=True
        )
        self._thread.start()

    def n_busy(self) -> int:
        """Return how many requests are in progress, queued or partly received."""
        pool = self._server.requests
        return self._n_threads - pool.idle + pool.qsize + self._heads.n_begun()

    def stop_accepting(self) -> None:
        """Close the listening socket, but keep serving open connections.

        Connections that the kernel has accepted already are served as well. cheroot
        offers no public way to do this without stopping everything.
        """
        server = self._server
        listener, server.socket = server.socket, None
        if listener is None:
            return
        server._connections._selector.unregister(listener.fileno())
        listener.setblocking(False)
        while (connection := _accept(server, listener)) is not None:
            server.process_conn(connection)
        listener.close()

    def close_idle(self) -> None:
        """Close the connections on which no part of a request was received.

        cheroot closes them only when the whole server stops, and reads requests from
        them until then.
        """
        self._heads.close_idle()
        selector = self._server._connections._selector
        for file_number, connection in list(selector.connections):
            # The selector's thread may be passing this connection to a worker.
            with suppress(KeyError, ValueError):
                selector.unregister(file_number)
                connection.close()

    def stop(self) -> None:
        """Close all connections; requests in progress are aborted.

        cheroot waits for its threads without a timeout, so a separate thread stops
        it.
        """
        self._heads.stop()
        stopping = threading.Thread(target=self._server.stop, daemon=True)
        stopping.start()
        stopping.join(2.0 * STOP_TIMEOUT_S)
        self._thread.join(STOP_TIMEOUT_S)


def _prepare(server: HTTPServer) -> None:
    """Bind and start the worker threads, as daemon threads.

    cheroot's workers take this from the thread that starts them; workers that are not
    daemon threads would keep a process alive whose start failed elsewhere.
    """
    failures: list[OSError] = []

    def prepare() -> None:
        try:
            server.prepare()
        except OSError as error:
            failures.append(error)

    preparing = threading.Thread(target=prepare, daemon=True)
    preparing.start()
    preparing.join()
    if failures:
        raise failures[0]


def _accept(server: HTTPServer, listener: socket.socket) -> HTTPConnection | None:
    try:
        return server._connections._from_server_socket(listener)
    except OSError:
        return None


def start_server(
    host: str,
    port: int,
    handler: Handler,
    n_threads: int,
    max_body_bytes: int = 0,
    read_timeout_ms: int = 10_000,
) -> HttpServer:
    """Listen on ``host``:``port`` and serve requests with ``handler``.

    Parameters
    ----------
    host, port : str, int
        IP number and port; port 0 takes a free one.
    handler : callable
        Called in a worker thread with an :class:`Exchange`.
    n_threads : int
        Number of worker threads; a request in progress occupies one.
    max_body_bytes : int
        Larger request bodies are refused; 0 means no limit.
    read_timeout_ms : int
        Timeout for a request head, and for each read from a slow caller.

    Raises
    ------
    OSError
        If the port can't be bound.
    """

    class _HandlerGateway(Gateway):
        def respond(self) -> None:
            handler(Exchange(self.req))

    server = HTTPServer(
        (host, port),
        _HandlerGateway,
        minthreads=n_threads,
        maxthreads=n_threads,
        server_name="buckthornrock",
    )
    server.max_request_header_size = MAX_HEAD_BYTES
    server.max_request_body_size = max_body_bytes
    server.timeout = read_timeout_ms / 1000.0
    server.shutdown_timeout = STOP_TIMEOUT_S
    server.request_queue_size = 512
    heads = HeadReceiver(server.process_conn, MAX_HEAD_BYTES, server.timeout)
    # cheroot calls this for each connection from which a request is to be read.
    server.process_conn = heads.add
    _prepare(server)
    return HttpServer(server, heads, n_threads)
