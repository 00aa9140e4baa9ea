"""Callers that send nothing, or too much, take nothing from the others."""

import socket

import pytest

from buckthornrock.httpd import start_server

WAIT_S = 10.0
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"


@pytest.fixture
def port():
    """Serve with one thread, which a silent caller would hold beyond the test."""
    server = start_server(
        "127.0.0.1", 0, lambda exchange: exchange.respond(200, b""), 1, 0, 60_000
    )
    yield server.port
    server.stop()


def ask(port, raw):
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as caller:
        caller.sendall(raw)
        return caller.recv(65_536)


def test_silent_connections_hold_no_thread(port):
    silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(3)]
    try:
        assert ask(port, REQUEST + b"\r\n").startswith(b"HTTP/1.1 200 ")
    finally:
        for caller in silent:
            caller.close()


def test_endless_head_is_refused(port):
    head = REQUEST + b"X-Long: " + b"x" * 200_000
    assert ask(port, head).startswith(b"HTTP/1.1 413 ")
