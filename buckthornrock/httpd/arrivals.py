"""Receives request heads and bodies, so that slow clients occupy no worker thread."""

import os
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from .arrival import (
    OVERLOADED_RESPONSE,
    TIMEOUT_RESPONSE,
    Arrival,
    receive,
    send_refusal,
)
from .bodies import MALFORMED, MAX_PARTS_PER_TURN, TOO_LATE
from .budget import BudgetLimits, ClientBudget, Holder, Limit, Phase
from .connection import Connection

READ_BYTES = 65_536
#: Less is read of a chunked body, as what isn't parsed in one turn is kept.
CHUNKED_READ_BYTES = 16_384
#: Turns of connections with unparsed chunks between two polls of the sockets.
N_TURNS_PER_ITERATION = 4
#: Pause after these turns, so that other threads get the interpreter lock. CPython
#: makes a running thread release it only after its switch interval of 5 ms.
TURN_PAUSE_S = 0.0001
CHECK_PERIOD_S = 0.25
STOP_TIMEOUT_S = 1.0
#: A refused client may go on sending for so long before its connection is closed: an
#: earlier close would make the kernel discard the refusal.
LINGER_S = 2.0
#: Refused connections that are still read from; the oldest is closed for another.
N_LINGERING = 32


class ArrivalLimits(NamedTuple):
    """Limits of one server.

    Parameters
    ----------
    max_head_bytes : int
        A head that exceeds this size is passed on without waiting for its end.
    read_timeout_ms : int
        Time within which a head must be complete, and between two parts of a body.
    body_timeout_ms : int
        Time within which a body must be complete.
    budget : BudgetLimits
    """

    max_head_bytes: int
    read_timeout_ms: int
    body_timeout_ms: int
    budget: BudgetLimits


class ThreadLoad(NamedTuple):
    """How busy the worker threads are."""

    n_idle: int
    n_queued: int


class ArrivalReceiver:
    """Waits in one thread for the request heads and bodies of all connections.

    Parameters
    ----------
    serve : callable
        Passes a connection to a worker thread. It is called once the head or the body
        is complete, too long or ended early.
    limits : ArrivalLimits
    on_limit : callable
        ``on_limit(limit)`` is called for each connection that was refused or closed.
    thread_load : callable
        Returns the load of the worker threads.
    log_error : callable
        ``log_error(message, traceback=True)``.
    """

    def __init__(
        self,
        serve: Callable[[Connection], None],
        limits: ArrivalLimits,
        on_limit: Callable[[Limit], None],
        thread_load: Callable[[], ThreadLoad],
        log_error: Callable[..., None],
    ) -> None:
        self._serve = serve
        self._limits = limits
        self._on_limit = on_limit
        self._thread_load = thread_load
        self._log_error = log_error
        self.budget = ClientBudget(limits.budget, _now_ms)
        self._poll = select.epoll()
        self._lock = threading.Lock()
        self._arrivals: dict[int, Arrival] = {}
        self._lingering: list[Arrival] = []
        self._parse_queue: deque[Arrival] = deque()
        # Ends the wait for data when a worker thread adds to the queue, and to stop.
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poll.register(self._wake, select.EPOLLIN)
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, name="arrivals", daemon=True)
        self._thread.start()

    def add(self, connection: Connection) -> None:
        """Serve a connection as soon as its next request head is received."""
        connection.socket.setblocking(False)
        if connection.holder is None:
            connection.holder = self.budget.open(connection.remote_addr, connection)
            if not self.make_room(connection.holder):
                self._on_limit(Limit.CONNECTIONS)
                connection.close()
                return
        else:
            # While it counts as served, it is never chosen to make room for others.
            self._hold(connection)
        arrival = Arrival(connection, self._limits.read_timeout_ms / 1000.0)
        if arrival.has_whole_head() or self._receive_head(arrival):
            self._pass_on(connection)
            return
        self._await(arrival)

    def add_body(self, connection: Connection) -> None:
        """Serve a connection as soon as the body of its request is received."""
        connection.socket.setblocking(False)
        connection.body_deadline_at_s = (
            time.monotonic() + self._limits.body_timeout_ms / 1000.0
        )
        # The worker thread has received a part, which may exceed the limits already.
        self._hold(connection)
        holder = connection.holder
        self._await(Arrival(connection, self._limits.read_timeout_ms / 1000.0))
        self.make_room(holder)

    def linger(self, connection: Connection) -> None:
        """Close a connection on which the last response was sent."""
        connection.socket.setblocking(False)
        arrival = Arrival(connection, LINGER_S)
        with self._lock:
            oldest = self._begin_linger(arrival)
            is_stopped = self._is_stopped
            if not is_stopped:
                self._register(arrival)
        if oldest is not None:
            oldest.connection.close()
        if is_stopped:
            connection.close()

    def make_room(self, holder: Holder) -> bool:
        """Refuse or close connections until ``holder`` is within the limits.

        Return whether it is.
        """
        passed_over: set[Holder] = set()
        while (limit := self.budget.reached_limit(holder)) is not None:
            chosen = self.budget.choose(holder, limit, passed_over)
            if chosen is None:
                return False
            if self._evict(chosen):
                self._on_limit(limit)
            passed_over.add(chosen)
        return True

    def make_descriptor(self) -> None:
        """Close a connection because the process can open no more descriptors.

        Idle ones come first, then refused ones. A request in arrival is refused last:
        its connection keeps its descriptor for up to ``LINGER_S``.
        """
        with self._lock:
            arrivals = list(self._arrivals.values())
        arrivals.sort(key=lambda a: (a.has_begun or a.is_lingering, not a.is_lingering))
        for arrival in arrivals:
            if arrival.is_lingering:
                if self._take_one(arrival):
                    arrival.connection.close()
                    return
            elif self._evict(arrival.connection.holder):
                self._on_limit(Limit.CONNECTIONS)
                return

    def n_begun(self) -> int:
        """Return the number of requests that are partly received."""
        with self._lock:
            return sum(
                arrival.has_begun and not arrival.is_lingering
                for arrival in self._arrivals.values()
            )

    def close_idle(self) -> None:
        """Close the connections that have sent nothing of their next head."""
        for arrival in self._take(lambda arrival: not arrival.has_begun):
            arrival.connection.close()

    def refuse_begun(self) -> None:
        """Refuse the requests that are partly received."""
        with self._lock:
            for arrival in list(self._arrivals.values()):
                if arrival.has_begun and not arrival.is_lingering:
                    with arrival.lock:
                        self._refuse(arrival, OVERLOADED_RESPONSE)

    def refuse_queued(self, connection: Connection) -> None:
        """Refuse a request that was taken out of the queue of the worker threads."""
        send_refusal(connection, OVERLOADED_RESPONSE)
        self.linger(connection)

    def stop(self) -> None:
        """Stop the thread and close every connection whose request is pending."""
        with self._lock:
            is_first_call = not self._is_stopped
            self._is_stopped = True
            if is_first_call:
                os.eventfd_write(self._wake, 1)
        self._thread.join(STOP_TIMEOUT_S)
        for arrival in self._take(lambda arrival: True):
            arrival.connection.close()
        if is_first_call:
            os.close(self._wake)

    def _run(self) -> None:
        checked_at_s = time.monotonic()
        while not self._is_stopped:
            wait_s = 0.0 if self._parse_queue else CHECK_PERIOD_S
            for descriptor, _ in self._poll.poll(wait_s):
                if descriptor == self._wake:
                    os.eventfd_read(self._wake)
                else:
                    self._advance(self._arrivals.get(descriptor), self._receive)
            self._parse_in_turn()
            now_s = time.monotonic()
            if now_s - checked_at_s > CHECK_PERIOD_S:
                checked_at_s = now_s
                try:
                    self._end_expired(now_s)
                    self._free_threads()
                except Exception as error:  # noqa: BLE001 - the thread must go on
                    self._log_error(repr(error), traceback=True)

    def _parse_in_turn(self) -> None:
        """Let connections with unparsed chunks go on, each for one turn at a time."""
        for _ in range(N_TURNS_PER_ITERATION):
            if not self._parse_queue:
                return
            self._advance(self._parse_queue.popleft(), self._take_turn)
        if self._parse_queue:
            time.sleep(TURN_PAUSE_S)

    def _advance(
        self, arrival: Arrival | None, step: Callable[[Arrival], bool]
    ) -> None:
        """Call ``step`` for a connection; close it if that fails."""
        if arrival is None:
            return
        try:
            self._handle(arrival, step)
        except Exception as error:  # noqa: BLE001 - the others must go on
            self._log_error(repr(error), traceback=True)
            self._drop(arrival)

    def _drop(self, arrival: Arrival) -> None:
        """Close a connection whose data could not be handled."""
        if self._take_one(arrival):
            arrival.connection.close()

    def _pass_on(self, connection: Connection) -> None:
        # A request that waits for a thread can't be refused from here any more.
        connection.holder.phase = Phase.SERVED
        self._serve(connection)

    def _await(self, arrival: Arrival) -> None:
        with self._lock:
            if not self._is_stopped:
                self._register(arrival)
                return
        arrival.connection.close()

    def _register(self, arrival: Arrival) -> None:
        self._arrivals[arrival.connection.socket.fileno()] = arrival
        arrival.is_in_queue = arrival.has_unparsed_body
        self._poll.register(arrival.connection.socket, _events(arrival.is_in_queue))
        if arrival.is_in_queue:
            self._parse_queue.append(arrival)
            os.eventfd_write(self._wake, 1)

    def _set_in_queue(self, arrival: Arrival, is_in_queue: bool) -> None:
        """Let a connection wait for its turn to parse, or read from it again."""
        if arrival.is_in_queue is not is_in_queue:
            self._poll.modify(arrival.connection.socket, _events(is_in_queue))
        arrival.is_in_queue = is_in_queue
        if is_in_queue:
            self._parse_queue.append(arrival)

    def _handle(self, arrival: Arrival, step: Callable[[Arrival], bool]) -> None:
        """Call ``step`` and pass the connection on if it returns True."""
        with arrival.lock:
            if self._arrivals.get(arrival.connection.socket.fileno()) is not arrival:
                return
            is_lingering = arrival.is_lingering
            is_whole = step(arrival)
        if not is_whole:
            self.make_room(arrival.connection.holder)
        elif self._take_one(arrival):
            if is_lingering:
                arrival.connection.close()
            else:
                self._pass_on(arrival.connection)

    def _receive(self, arrival: Arrival) -> bool:
        """Read available data; return whether nothing more is to be read here."""
        if arrival.is_lingering:
            return receive(arrival.connection, READ_BYTES) == b""
        if arrival.connection.parsed is not None:
            return self._receive_body(arrival)
        return self._receive_head(arrival)

    def _receive_head(self, arrival: Arrival) -> bool:
        """Read available data; return whether the head can be passed on."""
        connection = arrival.connection
        part = receive(connection, READ_BYTES)
        if part is None:
            return False
        connection.received += part
        self._hold(connection)
        is_too_long = len(connection.received) > self._limits.max_head_bytes
        return not part or is_too_long or arrival.has_whole_head()

    def _receive_body(self, arrival: Arrival) -> bool:
        """Read available data; return whether the body is complete or unreadable."""
        connection = arrival.connection
        body = connection.body
        part = receive(
            connection, CHUNKED_READ_BYTES if body.is_chunked else READ_BYTES
        )
        if part is None:
            return False
        if not part:
            body.fail(MALFORMED)
        connection.received += part
        return self._parse_body(arrival)

    def _take_turn(self, arrival: Arrival) -> bool:
        """Go on parsing; return whether the body is complete or unreadable."""
        # A connection that was refused meanwhile has nothing left to parse.
        return arrival.is_in_queue and self._parse_body(arrival)

    def _parse_body(self, arrival: Arrival) -> bool:
        """Parse as much as one turn allows; return whether the body is complete."""
        connection = arrival.connection
        body = connection.body
        body.take(connection.received, MAX_PARTS_PER_TURN)
        self._hold(connection)
        self._set_in_queue(arrival, arrival.has_unparsed_body)
        arrival.deadline_at_s = min(
            time.monotonic() + self._limits.read_timeout_ms / 1000.0,
            connection.body_deadline_at_s,
        )
        return body.is_complete

    def _hold(self, connection: Connection) -> None:
        n_bytes = len(connection.received) + len(connection.body or b"")
        if connection.parsed is not None:
            n_bytes += connection.head_cost_bytes
        self.budget.hold(connection.holder, n_bytes, Phase.ARRIVING)

    def _evict(self, holder: Holder) -> bool:
        """Refuse or close a connection; return whether it could be done."""
        connection: Connection = holder.owner
        with self._lock:
            arrival = self._arrivals.get(connection.socket.fileno())
            is_arriving = (
                arrival is not None
                and arrival.connection is connection
                and not arrival.is_lingering
            )
            if is_arriving:
                with arrival.lock:
                    self._refuse(arrival, OVERLOADED_RESPONSE)
                return True
        if holder.phase is not Phase.SENDING:
            return False
        # The thread that sends the response gets an error and closes the connection.
        with suppress(OSError):
            connection.socket.shutdown(socket.SHUT_RDWR)
        self.budget.close(holder)
        return True

    def _refuse(self, arrival: Arrival, response: bytes) -> None:
        """Refuse a request in arrival, or close an idle connection; needs the locks."""
        connection = arrival.connection
        oldest: Arrival | None = arrival
        if arrival.has_begun and send_refusal(connection, response):
            self._set_in_queue(arrival, False)
            oldest = self._begin_linger(arrival)
        if oldest is not None:
            self._remove(oldest)
            oldest.connection.close()

    def _begin_linger(self, arrival: Arrival) -> Arrival | None:
        """Free what a refused connection holds; return one to close for it."""
        connection = arrival.connection
        with suppress(OSError):
            connection.socket.shutdown(socket.SHUT_WR)
        connection.drop_request()
        self.budget.close(connection.holder)
        arrival.is_lingering = True
        arrival.deadline_at_s = time.monotonic() + LINGER_S
        self._lingering = [
            a for a in self._lingering if a.connection.socket.fileno() >= 0
        ]
        self._lingering.append(arrival)
        if len(self._lingering) <= N_LINGERING:
            return None
        oldest = self._lingering.pop(0)
        self._remove(oldest)
        return oldest

    def _remove(self, arrival: Arrival) -> None:
        descriptor = arrival.connection.socket.fileno()
        if self._arrivals.get(descriptor) is arrival:
            del self._arrivals[descriptor]
            self._poll.unregister(descriptor)

    def _end_expired(self, now_s: float) -> None:
        for arrival in self._take(lambda arrival: now_s >= arrival.deadline_at_s):
            connection = arrival.connection
            if arrival.is_lingering:
                connection.close()
            elif connection.parsed is not None:
                self._on_limit(Limit.BODY_TIMEOUT)
                connection.body.fail(TOO_LATE)
                self._pass_on(connection)
            elif arrival.has_begun:
                self._on_limit(Limit.HEAD_TIMEOUT)
                send_refusal(connection, TIMEOUT_RESPONSE)
                connection.close()
            else:
                connection.close()

    def _free_threads(self) -> None:
        """Close connections whose unread responses keep all threads from requests."""
        load = self._thread_load()
        if load.n_idle:
            return
        for _ in range(load.n_queued):
            unread = self.budget.choose_unread()
            if unread is None or not self._evict(unread):
                return
            self._on_limit(Limit.THREADS)

    def _take_one(self, arrival: Arrival) -> bool:
        """Remove an arrival; return False if another thread has removed it."""
        with self._lock:
            is_here = self._arrivals.get(arrival.connection.socket.fileno()) is arrival
            self._remove(arrival)
        return is_here

    def _take(self, is_chosen: Callable[[Arrival], bool]) -> list[Arrival]:
        """Remove arrivals and return them; each is returned to one caller only."""
        with self._lock:
            chosen = {d: a for d, a in self._arrivals.items() if is_chosen(a)}
            for descriptor in chosen:
                del self._arrivals[descriptor]
                self._poll.unregister(descriptor)
        return list(chosen.values())


def _now_ms() -> float:
    return time.monotonic() * 1000.0


def _events(is_in_queue: bool) -> int:
    """Return the epoll events of a connection, none while it is queued for parsing.

    Reading the end of the stream then would fail a body whose data isn't parsed yet.
    """
    return 0 if is_in_queue else select.EPOLLIN
