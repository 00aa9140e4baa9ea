"""Truncated request bodies are errors, not shorter bodies."""

import socket

import pytest

from buckthornrock.httpd import start_server

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"

TRUNCATED_BODIES = {
    "shorter than its length": HEAD + b"Content-Length: 10\r\n\r\nfour",
    "no body at all": HEAD + b"Content-Length: 10\r\n\r\n",
    "cut chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n8\r\nfour",
    "no last chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
}


@pytest.fixture(scope="module")
def server():
    """Start a server that keeps the result of reading each body."""
    read = []

    def handle(exchange):
        body = exchange.read_body()
        read.append(body)
        exchange.respond(body.map(lambda _: 200).default_value(400), b"")

    server = start_server("127.0.0.1", 0, handle, 2)
    yield server.port, read
    server.stop()


@pytest.mark.parametrize("raw", TRUNCATED_BODIES.values(), ids=TRUNCATED_BODIES)
def test_truncated_body_is_an_error(server, raw):
    port, read = server
    read.clear()
    with socket.create_connection(("127.0.0.1", port), timeout=10.0) as caller:
        caller.sendall(raw)
        caller.shutdown(socket.SHUT_WR)
        response = caller.makefile("rb").read()
    assert read[0].is_error(), read
    assert response.startswith(b"HTTP/1.1 400 ")
