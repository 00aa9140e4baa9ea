"""Callers that send incomplete or endless heads occupy no worker thread."""

import socket
import time
from contextlib import suppress

import pytest

from buckthornrock.httpd import ServerLimits, start_server

WAIT_S = 10.0
LONG_TIMEOUT = ServerLimits(read_timeout_ms=60_000)
SETTLING_S = 0.3
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"


@pytest.fixture
def port():
    """Start a server with one thread and a read timeout longer than the test.

    A stalled caller that held the thread would hold it beyond the test.
    """
    server = start_server(
        "127.0.0.1", 0, lambda exchange: exchange.respond(200, b""), 1, LONG_TIMEOUT
    )
    yield server.port
    server.stop()


def send_raw(port, raw):
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as caller:
        caller.sendall(raw)
        return caller.recv(65_536)


KEEP_ALIVE_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n"
#: What callers send before they stall.
PARTIAL_REQUESTS = {
    "nothing": b"",
    "half a head": REQUEST,
    "half a line": b"GE",
    "half a head behind a request": KEEP_ALIVE_REQUEST + b"\r\n" + KEEP_ALIVE_REQUEST,
    "half a long head": KEEP_ALIVE_REQUEST + b"X-Long: " + b"x" * 40_000,
}


@pytest.mark.parametrize("partial", PARTIAL_REQUESTS.values(), ids=PARTIAL_REQUESTS)
def test_incomplete_heads_occupy_no_thread(port, partial):
    """60 incomplete heads once held every thread; a good request waited 9.7 s."""
    stalled = [socket.create_connection(("127.0.0.1", port)) for _ in range(60)]
    try:
        for caller in stalled:
            caller.sendall(partial)
        time.sleep(SETTLING_S)
        asked_at_s = time.monotonic()
        assert send_raw(port, REQUEST + b"\r\n").startswith(b"HTTP/1.1 200 ")
        assert time.monotonic() - asked_at_s < 1.0
    finally:
        for caller in stalled:
            caller.close()


@pytest.mark.parametrize("part_bytes", [1, 2, 7])
def test_head_sent_in_parts_is_reassembled(port, part_bytes):
    raw = REQUEST + b"\r\n"
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as caller:
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for begin in range(0, len(raw), part_bytes):
            caller.sendall(raw[begin : begin + part_bytes])
            time.sleep(0.001)
        assert caller.recv(65_536).startswith(b"HTTP/1.1 200 ")


def test_pipelined_requests_are_all_served(port):
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as caller:
        caller.sendall((KEEP_ALIVE_REQUEST + b"\r\n") * 3 + REQUEST + b"\r\n")
        responses = caller.makefile("rb").read()
    assert responses.count(b"HTTP/1.1 200 ") == 4


@pytest.mark.parametrize(("partial", "response"), [(b"", b""), (b"GET", b" 408 ")])
def test_head_that_times_out_is_refused(partial, response):
    server = start_server(
        "127.0.0.1", 0, lambda exchange: None, 1, ServerLimits(read_timeout_ms=300)
    )
    try:
        received = send_raw(server.port, partial)
    finally:
        server.stop()
    assert response in received


def test_incomplete_head_counts_as_busy_until_it_is_closed():
    server = start_server("127.0.0.1", 0, lambda exchange: None, 1, LONG_TIMEOUT)
    with (
        socket.create_connection(("127.0.0.1", server.port), timeout=WAIT_S) as partial,
        socket.create_connection(("127.0.0.1", server.port), timeout=WAIT_S) as idle,
    ):
        partial.sendall(b"GET")
        time.sleep(SETTLING_S)
        assert server.n_busy() == 1
        server.stop_accepting()
        server.close_idle()
        assert idle.recv(1) == b""
        assert server.n_busy() == 1
        server.stop()
        assert partial.recv(1) == b""


def test_endless_head_is_refused(port):
    head = REQUEST + b"X-Long: " + b"x" * 200_000
    assert send_raw(port, head).startswith(b"HTTP/1.1 413 ")


def test_refused_connections_beyond_the_lingering_ones_are_closed():
    """A connection closed by two threads once ended the thread that receives heads.

    Clients that go on sending after a refusal keep their connections lingering; more
    of them than may linger let the oldest be closed while others end by themselves.
    """
    limits = ServerLimits(max_body_bytes=1_000)
    server = start_server(
        "127.0.0.1",
        0,
        lambda exchange: exchange.respond(exchange.read_body().error.status, b""),
        2,
        limits,
    )
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 500000\r\n\r\n"
    address = ("127.0.0.1", server.port)
    try:
        for _ in range(3):
            callers = [socket.create_connection(address) for _ in range(100)]
            for caller in callers:
                caller.sendall(head + b"x" * 1_000)
            for caller in callers:
                with suppress(OSError):
                    caller.sendall(b"x" * 1_000)
                caller.close()
        time.sleep(SETTLING_S)
        assert send_raw(server.port, head).startswith(b"HTTP/1.1 413 ")
    finally:
        server.stop()
