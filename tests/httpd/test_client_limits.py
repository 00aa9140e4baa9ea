"""What a server refuses at its limits, and that the refusals are true and are read."""

import socket
import time
from contextlib import ExitStack, contextmanager

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornrock.httpd import Limit, ServerLimits, start_server
from buckthornrock.httpd import arrivals as arrivals_module
from buckthornrock.httpd.bodies import MAX_PARTS_PER_TURN, BodyCollector
from buckthornrock.httpd.budget import STALL_MS

WAIT_S = 20.0
HEAD = b"POST /%b HTTP/1.1\r\nHost: x\r\n"
LARGE_BYTES = 4_000_000
TINY_CHUNK = b"1\r\nx\r\n"


class Served:
    """A server that notes its calls, and answers with what it has read."""

    def __init__(self, **limits):
        self.paths = []
        self.limits = []
        self.server = start_server(
            "127.0.0.1",
            0,
            self._handle,
            4,
            ServerLimits(**limits),
            lambda head: head.path != "/refused",
            self.limits.append,
        )
        self.port = self.server.port

    def _handle(self, exchange):
        self.paths.append(exchange.path)
        if exchange.path == "/refused":
            exchange.respond(404, b"")
            return
        if exchange.path == "/large":
            exchange.respond(200, b"x" * LARGE_BYTES)
            return
        body = exchange.read_body(is_decoded=exchange.path == "/decoded")
        if body.is_error():
            status = getattr(body.error, "status", 503)
            exchange.respond(status, body.error.code.encode())
            return
        exchange.respond(200, body.ok)

    @contextmanager
    def connect(self):
        with socket.create_connection(("127.0.0.1", self.port), WAIT_S) as caller:
            yield caller

    def wait_for(self, condition):
        give_up_at_s = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < give_up_at_s
            time.sleep(0.01)

    def wait_for_partial_body(self):
        """Wait until a request with a parsed head is received from again.

        Before, a worker thread has the connection for a moment.
        """
        arrivals = self.server._arrivals._arrivals
        self.wait_for(lambda: any(a.connection.parsed for a in list(arrivals.values())))


@pytest.fixture
def serve():
    started = []

    def serve(**limits):
        started.append(Served(**limits))
        return started[-1]

    yield serve
    for served in started:
        served.server.stop()


@pytest.fixture(scope="module")
def plain():
    served = Served()
    yield served
    served.server.stop()


def with_length(path, n_bytes, body=b""):
    return HEAD % path + b"Content-Length: %d\r\n\r\n" % n_bytes + body


def in_tiny_chunks(path, n_bytes):
    chunks = TINY_CHUNK * n_bytes + b"0\r\n\r\n"
    return HEAD % path + b"Transfer-Encoding: chunked\r\n\r\n" + chunks


def read_status(caller):
    return caller.makefile("rb").readline().split(b" ")[1]


def test_request_that_is_refused_for_its_head_does_not_wait_for_its_body(serve):
    """The thread once waited for the body that it then dropped."""
    served = serve(read_timeout_ms=60_000)
    with served.connect() as caller:
        caller.sendall(with_length(b"refused", 1_000_000, b"x" * 10))
        assert read_status(caller) == b"404"


def test_lack_of_descriptors_closes_idle_then_refused_connections(serve, monkeypatch):
    """Only the connection that was registered first was tried, whatever it did."""
    monkeypatch.setattr(arrivals_module, "LINGER_S", 60.0)
    served = serve(read_timeout_ms=60_000)
    arrivals = served.server._arrivals
    with (
        served.connect() as refused,
        served.connect() as busy,
        served.connect() as idle,
    ):
        refused.sendall(with_length(b"refused", 1_000_000, b"x" * 10))
        assert read_status(refused) == b"404"
        busy.sendall(with_length(b"x", 4, b"fou"))
        served.wait_for_partial_body()
        served.wait_for(lambda: len(arrivals._arrivals) == 3)
        arrivals.make_descriptor()
        assert idle.recv(1) == b""
        assert len(arrivals._arrivals) == 2
        arrivals.make_descriptor()
        assert len(arrivals._arrivals) == 1
        busy.sendall(b"r")
        assert read_status(busy) == b"200"
    assert served.limits == [Limit.CONNECTIONS]


def test_lack_of_descriptors_refuses_a_request_in_arrival_last(serve):
    served = serve(read_timeout_ms=60_000)
    with served.connect() as busy:
        busy.sendall(with_length(b"x", 4, b"fou"))
        served.wait_for_partial_body()
        served.server._arrivals.make_descriptor()
        assert read_status(busy) == b"503"
    assert served.paths == []


def test_refusal_is_read_by_a_client_that_sends_on(serve):
    """Closing with unread data would make the kernel discard the response."""
    served = serve(max_body_bytes=1_000)
    with served.connect() as caller:
        caller.sendall(with_length(b"x", 3_000_000, b"x" * 1_000_000))
        assert read_status(caller) == b"413"
    assert served.limits == [Limit.BODY_BYTES]


def test_body_that_stops_gets_408_and_is_not_run(serve):
    served = serve(read_timeout_ms=300)
    with served.connect() as caller:
        caller.sendall(with_length(b"x", 10, b"four"))
        assert read_status(caller) == b"408"
    assert served.limits == [Limit.BODY_TIMEOUT]


def test_body_that_drips_gets_408(serve):
    """Parts that come in time must not extend the body's time without an end."""
    served = serve(read_timeout_ms=5_000, body_timeout_ms=500)
    with served.connect() as caller:
        caller.sendall(with_length(b"x", 1_000))
        for _ in range(8):
            caller.sendall(b"x")
            time.sleep(0.1)
        assert read_status(caller) == b"408"


def test_client_that_expects_it_is_told_to_continue_once(plain):
    with plain.connect() as caller:
        caller.sendall(
            HEAD % b"x" + b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"
        )
        reader = caller.makefile("rb")
        assert reader.readline() == b"HTTP/1.1 100 Continue\r\n"
        assert reader.readline() == b"\r\n"
        caller.sendall(b"four")
        assert reader.readline() == b"HTTP/1.1 200 OK\r\n"


def test_held_bytes_are_taken_from_the_client_that_holds_most(serve):
    served = serve(max_held_bytes=1_000_000)
    with served.connect() as large, served.connect() as small:
        large.sendall(with_length(b"large-body", 2_000_000, b"x" * 700_000))
        served.wait_for(lambda: served.server.n_held_bytes() > 700_000)
        small.sendall(with_length(b"small-body", 300_000, b"x" * 299_999))
        assert read_status(large) == b"503"
        small.sendall(b"x")
        assert read_status(small) == b"200"
    assert served.paths == ["/small-body"]
    served.wait_for(lambda: served.limits == [Limit.HELD_BYTES])


def test_body_that_would_take_too_much_decoded_gets_503(serve):
    served = serve(max_held_bytes=1_000_000)
    with served.connect() as caller:
        body = b"[" + b"[]," * 20_000 + b"[]]"
        caller.sendall(with_length(b"decoded", len(body), body))
        assert read_status(caller) == b"503"
    with served.connect() as caller:
        caller.sendall(with_length(b"decoded", 2, b"{}"))
        assert read_status(caller) == b"200"


def test_connections_above_the_limit_close_idle_ones(serve):
    """The connection is closed for the limit, long before its timeout."""
    served = serve(max_connections=2, read_timeout_ms=60_000)
    budget, now_ms = served.server._arrivals.budget, 0.0
    budget._now_ms = lambda: now_ms
    with served.connect() as idle, served.connect() as busy:
        busy.sendall(with_length(b"x", 4, b"fo"))
        served.wait_for(lambda: served.server._arrivals.n_begun() == 1)
        now_ms = 2.0 * STALL_MS
        n_held_bytes = served.server.n_held_bytes()
        busy.sendall(b"u")
        served.wait_for(lambda: served.server.n_held_bytes() > n_held_bytes)
        with served.connect() as caller:
            caller.sendall(with_length(b"x", 2, b"{}"))
            assert read_status(caller) == b"200"
        assert idle.recv(1) == b""
        busy.sendall(b"r")
        assert read_status(busy) == b"200"
    # The limit is noted after the connection was closed.
    served.wait_for(lambda: Limit.CONNECTIONS in served.limits)


def test_connections_above_the_limit_close_those_idle_after_a_response(serve):
    """They counted as being served, so that nobody else could connect."""
    served = serve(max_connections=2, read_timeout_ms=60_000)
    with served.connect() as first, served.connect() as second:
        for caller in (first, second):
            caller.sendall(with_length(b"x", 0))
            assert read_status(caller) == b"200"
        served.wait_for(lambda: served.server.n_busy() == 0)
        with served.connect() as third:
            third.sendall(with_length(b"x", 0))
            assert read_status(third) == b"200"
    assert Limit.CONNECTIONS in served.limits


def test_body_that_stops_after_its_first_part_gives_way_to_others(serve):
    """The part read with the head counted as being served, and was never given up."""
    served = serve(max_held_bytes=100_000, read_timeout_ms=60_000)
    with served.connect() as large, served.connect() as small:
        large.sendall(with_length(b"large-body", 70_000, b"x" * 60_000))
        served.wait_for(lambda: served.server.n_held_bytes() > 60_000)
        small.sendall(with_length(b"small-body", 40_000, b"x" * 39_999))
        assert read_status(large) == b"503"
        small.sendall(b"x")
        assert read_status(small) == b"200"
    assert served.paths == ["/small-body"]


def test_unread_responses_that_hold_all_threads_are_cut(serve):
    """Clients that don't read must not hold all threads until a timeout."""
    served = serve(read_timeout_ms=60_000, send_timeout_ms=60_000)
    unread = [socket.socket() for _ in range(4)]
    try:
        for caller in unread:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.connect(("127.0.0.1", served.port))
            caller.sendall(with_length(b"large", 0))
        served.wait_for(lambda: served.paths.count("/large") == 4)
        with served.connect() as ordinary:
            ordinary.sendall(with_length(b"x", 2, b"{}"))
            assert read_status(ordinary) == b"200"
    finally:
        for caller in unread:
            caller.close()
    served.wait_for(lambda: Limit.THREADS in served.limits)


def test_response_that_is_not_taken_in_time_is_cut(serve):
    served = serve(read_timeout_ms=300)
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        caller.connect(("127.0.0.1", served.port))
        caller.sendall(with_length(b"large", 0))
        served.wait_for(lambda: Limit.SEND_TIMEOUT in served.limits)


def test_one_turn_parses_few_chunks(serve, monkeypatch):
    """A worker thread once parsed 64 KB of one-byte chunks at once."""
    n_taken_bytes = []
    take = BodyCollector.take

    def note_and_take(collector, received, *limits):
        n_before = len(received)
        take(collector, received, *limits)
        n_taken_bytes.append(n_before - len(received))

    monkeypatch.setattr(BodyCollector, "take", note_and_take)
    served = serve()
    with served.connect() as caller:
        caller.sendall(in_tiny_chunks(b"x", 20_000))
        assert read_status(caller) == b"200"
    assert sum(n_taken_bytes) == len(TINY_CHUNK) * 20_000 + len(b"0\r\n\r\n")
    assert max(n_taken_bytes) <= len(TINY_CHUNK) * MAX_PARTS_PER_TURN


def test_other_requests_do_not_wait_for_tiny_chunks(serve):
    """Threads that parsed whole bodies of one-byte chunks kept the others waiting."""
    n_bodies = 16
    served = serve()
    with ExitStack() as stack:
        callers = [stack.enter_context(served.connect()) for _ in range(n_bodies)]
        for caller in callers:
            caller.sendall(in_tiny_chunks(b"tiny", 40_000))
        with served.connect() as ordinary:
            ordinary.sendall(with_length(b"x", 2, b"{}"))
            assert read_status(ordinary) == b"200"
        assert served.paths.index("/x") < n_bodies / 2
        for caller in callers:
            assert read_status(caller) == b"200"


def test_chunks_that_wait_for_their_turn_wake_the_receiver(serve, monkeypatch):
    """Chunks left over by a worker would wait until something else is received."""
    monkeypatch.setattr(arrivals_module, "CHECK_PERIOD_S", 3.0 * WAIT_S)
    served = serve(read_timeout_ms=60_000)
    with served.connect() as first, served.connect() as second:
        for caller in (first, second):
            caller.sendall(in_tiny_chunks(b"x", 1_000))
            assert read_status(caller) == b"200"


def test_chunks_are_served_whose_client_has_ended_its_side(serve):
    """The end must not be read before the chunks that wait for their turn."""
    served = serve()
    with served.connect() as caller:
        caller.sendall(in_tiny_chunks(b"x", 20_000))
        caller.shutdown(socket.SHUT_WR)
        reader = caller.makefile("rb")
        assert reader.readline() == b"HTTP/1.1 200 OK\r\n"
        assert reader.read().endswith(b"x" * 20_000)


def test_refusal_is_read_by_a_client_whose_chunks_wait_for_their_turn(
    serve, monkeypatch
):
    """Nothing is read while they wait, which has to end with the refusal."""
    monkeypatch.setattr(arrivals_module, "N_TURNS_PER_ITERATION", 0)
    served = serve(read_timeout_ms=60_000)
    arrivals = served.server._arrivals
    with served.connect() as caller:
        caller.sendall(in_tiny_chunks(b"x", 5_000))
        served.wait_for(lambda: arrivals._parse_queue)
        arrivals.refuse_begun()
        caller.sendall(b"x" * 20_000_000)
        assert read_status(caller) == b"503"
    assert served.paths == []


@st.composite
def requests(draw):
    """Return bodies and the pipelined requests that carry them."""
    bodies = draw(st.lists(st.binary(max_size=5_000), min_size=1, max_size=5))
    raw = b""
    for body in bodies:
        fields = b"".join(b"X-%d: v\r\n" % n for n in range(draw(st.integers(0, 300))))
        if draw(st.booleans()):
            raw += HEAD % b"x" + fields
            raw += b"Content-Length: %d\r\n\r\n" % len(body) + body
            continue
        size = draw(st.integers(1, 700))
        parts = [body[n : n + size] for n in range(0, len(body), size)]
        raw += HEAD % b"x" + fields + b"Transfer-Encoding: chunked\r\n\r\n"
        raw += b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"
    return bodies, raw


@settings(max_examples=60)
@given(requests(), st.lists(st.integers(0, 50_000), max_size=8))
def test_pipelined_requests_in_any_fragments_are_answered_in_order(
    plain, pipelined, cuts
):
    bodies, raw = pipelined
    edges = sorted({0, len(raw), *(cut % (len(raw) + 1) for cut in cuts)})
    with plain.connect() as caller:
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for begin, end in zip(edges, edges[1:], strict=False):
            caller.sendall(raw[begin:end])
        reader = caller.makefile("rb")
        for body in bodies:
            assert reader.readline() == b"HTTP/1.1 200 OK\r\n"
            length = 0
            while (line := reader.readline()) != b"\r\n":
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            assert reader.read(length) == body
