"""Starts and stops cheroot servers that call a handler function."""

import errno
import queue
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import NamedTuple

from cheroot.server import Gateway, HTTPServer

from .arrivals import ArrivalLimits, ArrivalReceiver, ThreadLoad
from .budget import BudgetLimits, Limit
from .connection import Connection, NextStep, RequestHead, ServingLimits
from .exchange import Exchange

#: Handles one request; must send exactly one response.
Handler = Callable[[Exchange], None]

STOP_TIMEOUT_S = 1.0
MAX_HEAD_BYTES = 65_536
#: Pause before the next connection is accepted when no descriptor is left.
DESCRIPTOR_PAUSE_S = 0.05


class ServerLimits(NamedTuple):
    """What clients may make a server hold.

    Parameters
    ----------
    max_body_bytes : int
        Larger request bodies are refused; 0 means no limit.
    read_timeout_ms : int
        Timeout for a request head, between two parts of a body, and for a client that
        takes nothing of a response.
    body_timeout_ms : int
        Time within which a body must be complete.
    send_timeout_ms : int
        Time within which a client must take what is sent at once.
    max_held_bytes : int
        What requests and unread responses may take; 0 means no limit.
    max_connections : int
        Open connections; 0 means no limit.
    """

    max_body_bytes: int = 0
    read_timeout_ms: int = 10_000
    body_timeout_ms: int = 120_000
    send_timeout_ms: int = 120_000
    max_held_bytes: int = 0
    max_connections: int = 0


DEFAULT_LIMITS = ServerLimits()


def _ignore_limit(limit: Limit) -> None:
    """Report nothing."""


def _needs_any_body(head: RequestHead) -> bool:
    """Let every request wait for its body."""
    return True


class OpenExchanges:
    """The exchanges whose handler runs."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._exchanges: set[Exchange] = set()

    def handle(self, handler: Handler, exchange: Exchange) -> None:
        """Call ``handler`` and count the exchange until it returns."""
        with self._lock:
            self._exchanges.add(exchange)
        try:
            handler(exchange)
        finally:
            with self._lock:
                self._exchanges.remove(exchange)

    def all(self) -> list[Exchange]:
        """Return the exchanges at this moment."""
        with self._lock:
            return list(self._exchanges)


class HttpServer:
    """A running server.

    Attributes
    ----------
    port : int
        The port that the server listens on, also if 0 was requested.
    """

    def __init__(
        self,
        server: HTTPServer,
        arrivals: ArrivalReceiver,
        open_exchanges: OpenExchanges,
        n_threads: int,
    ) -> None:
        self._server = server
        self._open_exchanges = open_exchanges
        self._arrivals = arrivals
        self._n_threads = n_threads
        self.port: int = server.bind_addr[1]
        self._thread = threading.Thread(
            target=server.serve, name=f"http-{self.port}", daemon=True
        )
        self._thread.start()

    def n_busy(self) -> int:
        """Return how many requests are in progress, queued or partly received."""
        pool = self._server.requests
        return self._n_threads - pool.idle + pool.qsize + self._arrivals.n_begun()

    def n_connections(self) -> int:
        """Return the number of open connections."""
        return self._arrivals.budget.n_connections

    def n_held_bytes(self) -> int:
        """Return what clients make the server hold, as it is accounted for."""
        return self._arrivals.budget.n_held_bytes

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
        """Close the connections on which no part of a request was received."""
        self._arrivals.close_idle()

    def respond_to_open(self, respond: Callable[[Exchange], None]) -> None:
        """Respond to every request that is open, before :meth:`stop` aborts it.

        Requests in arrival or waiting for a thread get 503, as they were not run.
        ``respond`` is called for each whose handler runs; it uses
        :meth:`Exchange.take_over`.
        """
        self._arrivals.refuse_begun()
        for connection in self._take_queued():
            self._arrivals.refuse_queued(connection)
        for exchange in self._open_exchanges.all():
            respond(exchange)

    def _take_queued(self) -> Iterator[Connection]:
        with suppress(queue.Empty):
            while True:
                connection = self._server.requests._queue.get_nowait()
                if isinstance(connection, Connection):
                    yield connection

    def stop(self) -> None:
        """Close all connections; requests in progress are aborted.

        cheroot waits for its threads without a timeout, so a separate thread stops
        it.
        """
        self._arrivals.stop()
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


def _accept(server: HTTPServer, listener: socket.socket) -> Connection | None:
    try:
        return server._connections._from_server_socket(listener)
    except OSError:
        return None


def _survive_lack_of_descriptors(
    server: HTTPServer, make_descriptor: Callable[[], None]
) -> None:
    """Let accepting go on when the process can open no more descriptors."""
    accept = server._connections._from_server_socket

    def accept_or_wait(listener: socket.socket) -> Connection | None:
        try:
            return accept(listener)
        except OSError as error:
            if error.errno not in (errno.EMFILE, errno.ENFILE):
                raise
            make_descriptor()
            time.sleep(DESCRIPTOR_PAUSE_S)
            return None

    server._connections._from_server_socket = accept_or_wait


def start_server(
    host: str,
    port: int,
    handler: Handler,
    n_threads: int,
    limits: ServerLimits = DEFAULT_LIMITS,
    needs_body: Callable[[RequestHead], bool] = _needs_any_body,
    on_limit: Callable[[Limit], None] = _ignore_limit,
    log_error: Callable[..., None] | None = None,
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
    limits : ServerLimits
    needs_body : callable
        ``needs_body(head)`` tells whether ``handler`` reads the request's body. If
        not, the handler is called without waiting for it.
    on_limit : callable
        ``on_limit(limit)`` is called for each request or connection that a limit
        refused or closed.
    log_error : callable, optional
        ``log_error(message, level, traceback)`` takes cheroot's messages; by default
        they are written to the standard error stream.

    Raises
    ------
    OSError
        If the port can't be bound.
    """
    open_exchanges = OpenExchanges()

    class _HandlerGateway(Gateway):
        def respond(self) -> None:
            open_exchanges.handle(handler, Exchange(self.req))

    server = HTTPServer(
        (host, port),
        _HandlerGateway,
        minthreads=n_threads,
        maxthreads=n_threads,
        server_name="buckthornrock",
    )
    server.ConnectionClass = Connection
    if log_error is not None:
        server.error_log = log_error
    server.max_request_header_size = MAX_HEAD_BYTES
    # The body's size is checked where it is received.
    server.max_request_body_size = 0
    server.timeout = limits.read_timeout_ms / 1000.0
    server.shutdown_timeout = STOP_TIMEOUT_S
    server.request_queue_size = 512
    arrivals = ArrivalReceiver(
        server.process_conn,
        ArrivalLimits(
            MAX_HEAD_BYTES,
            limits.read_timeout_ms,
            limits.body_timeout_ms,
            BudgetLimits(limits.max_held_bytes, limits.max_connections),
        ),
        on_limit,
        lambda: ThreadLoad(server.requests.idle, server.requests.qsize),
        server.error_log,
    )
    server.serving_limits = ServingLimits(
        limits.max_body_bytes,
        limits.read_timeout_ms,
        limits.send_timeout_ms,
        needs_body,
        arrivals.budget.hold,
        arrivals.budget.close,
        arrivals.make_room,
        on_limit,
    )
    receivers = {
        NextStep.HEAD: arrivals.add,
        NextStep.BODY: arrivals.add_body,
        NextStep.LINGER: arrivals.linger,
    }
    # cheroot calls these for a new connection, and for one that a worker has handled.
    server.process_conn = arrivals.add
    server.put_conn = lambda connection: receivers[connection.next_step](connection)
    _prepare(server)
    _survive_lack_of_descriptors(server, arrivals.make_descriptor)
    return HttpServer(server, arrivals, open_exchanges, n_threads)
