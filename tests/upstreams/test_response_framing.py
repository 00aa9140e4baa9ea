"""Engine responses are read completely in every framing that HTTP allows."""

import time

import pytest

from buckthornrock.conf.settings import UpstreamsSettings
from buckthornrock.upstreams.engine_client import EngineClient
from buckthornrock.upstreams.engine_stream import EngineCall
from buckthornrock.upstreams.relay import Relay, RelaySink
from tests.upstreams.raw_server import RawServer

EVENTS = [
    b'data: {"id":"r","stream":"s","offset":%d,"weights":"w","cache_salt":"aa",'
    b'"choices":[{"index":0,"text":"t%d","finish_reason":%b}]}\n\n'
    % (index, index, b'"stop"' if index == 2 else b"null")
    for index in range(3)
]
EVENTS.append(b"data: [DONE]\n\n")
BODY = b"".join(EVENTS)
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = OK + b"Content-Length: %d\r\n\r\n" % len(BODY)
N_REQUESTS = 3


def chunk(part):
    return b"%x\r\n%b\r\n" % (len(part), part)


ONE_CHUNK = chunk(BODY) + b"0\r\n\r\n"
SHAPES = {
    "one packet, chunked": [CHUNKED + ONE_CHUNK],
    "one packet, length": [LENGTH + BODY],
    "no framing": [OK + b"Connection: close\r\n\r\n" + BODY],
    "old protocol": [b"HTTP/1.0 200 OK\r\n\r\n" + BODY],
    "continue first": [b"HTTP/1.1 100 Continue\r\n\r\n", CHUNKED, ONE_CHUNK],
    "closes after chunks": [CHUNKED[:-2] + b"Connection: close\r\n\r\n" + ONE_CHUNK],
    "byte by byte": [bytes([byte]) for byte in CHUNKED + ONE_CHUNK],
    "late last chunk": [CHUNKED, chunk(BODY), b"0\r\n", b"\r\n"],
    "trailer": [CHUNKED, chunk(BODY), b"0\r\nX-Sum: 1\r\n\r\n"],
    "chunk extension": [CHUNKED, b"%x;a=b\r\n%b\r\n" % (len(BODY), BODY), b"0\r\n\r\n"],
}


@pytest.fixture
def relay():
    relay = Relay(lambda: time.monotonic() * 1000.0, 5_000.0, 5_000.0)
    yield relay
    relay.stop()


@pytest.mark.parametrize("parts", SHAPES.values(), ids=SHAPES)
def test_response_is_read_completely(relay, parts):
    def script(server, connection):
        while server.read_request(connection):
            for part in parts:
                connection.sendall(part)
            if b"chunked" not in parts[0] and b"Length" not in parts[0]:
                return

    server = RawServer(script)
    client = EngineClient(UpstreamsSettings(()))
    for _ in range(N_REQUESTS):
        texts = []

        def encode(chunks, texts=texts):
            texts.extend(chunk.choices[0].text for chunk in chunks)
            return b""

        call = EngineCall("e", server.address, "r", {}, "aa", "w", 0, 0)
        stream = client.open_stream(call).ok
        assert relay.run(stream, RelaySink(encode, None)).is_ok()
        stream.finish()
        assert texts == ["t0", "t1", "t2"]
    server.stop()


def send(client, server):
    return client.open_stream(EngineCall("e", server.address, "r", {}, "aa", "w", 0, 0))


def test_reused_connection_that_was_closed_is_replaced(relay):
    """The engine reads a request on a reused connection and closes it unanswered.

    Under load this race made a completion fail although its engine was healthy.
    """
    n_read = []

    def script(server, connection):
        assert server.read_request(connection)
        n_read.append("first")
        connection.sendall(CHUNKED + ONE_CHUNK)
        if len(n_read) == 1:
            assert server.read_request(connection)
            n_read.append("unanswered")

    server = RawServer(script)
    client = EngineClient(UpstreamsSettings(()))
    for _ in range(2):
        stream = send(client, server).ok
        assert relay.run(stream, RelaySink(lambda chunks: b"", None)).is_ok()
        stream.finish()
    assert n_read == ["first", "unanswered", "first"]
    server.stop()


def test_new_connection_closed_without_a_response_is_a_failure():
    n_read = []

    def script(server, connection):
        server.read_request(connection)
        n_read.append(connection)

    server = RawServer(script)
    failure = send(EngineClient(UpstreamsSettings(())), server).error
    assert (failure.code, failure.not_run) == ("attempt-failed", "unknown")
    assert len(n_read) == 1
    server.stop()


def test_failed_resend_reports_that_the_first_request_may_have_run(relay):
    servers = []

    def script(server, connection):
        server.read_request(connection)
        connection.sendall(CHUNKED + ONE_CHUNK)
        server.read_request(connection)
        server.stop()

    servers.append(RawServer(script))
    client = EngineClient(UpstreamsSettings(()))
    stream = send(client, servers[0]).ok
    assert relay.run(stream, RelaySink(lambda chunks: b"", None)).is_ok()
    stream.finish()
    failure = send(client, servers[0]).error
    assert (failure.code, failure.not_run) == ("attempt-failed", "unknown")
