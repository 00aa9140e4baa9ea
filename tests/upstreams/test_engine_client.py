"""Requests as an engine receives them, and engines that close the connection early."""

import socket
import struct
import threading
import time

import msgspec
import pytest
import urllib3

from buckthornrock.conf.settings import UpstreamsSettings
from buckthornrock.upstreams.engine_client import EngineClient
from buckthornrock.upstreams.engine_stream import EngineCall
from buckthornrock.upstreams.errors import StreamBroken
from buckthornrock.upstreams.relay import Relay, RelaySink
from tests.upstreams.raw_server import RawServer, make_response

WAIT_S = 10.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def make_call(address, **changes):
    call = EngineCall("e", address, "r", {}, "aa", "w", 0, 0)
    return call._replace(**changes)


@pytest.fixture
def serve():
    servers = []

    def start(script):
        servers.append(RawServer(script))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


#: Fields that a caller must not set, and the values that the router sends instead.
RESERVED = {
    "cache_salt": "aa",
    "priority": 0,
    "output_offset": 0,
    "generated": "",
    "resume_stream": "",
    "stream": True,
}


def test_caller_cannot_set_router_fields(serve):
    def refuse(server, connection):
        server.read_request(connection)
        connection.sendall(make_response(status=b"404 Not Found"))

    server = serve(refuse)
    body = dict.fromkeys(RESERVED, "of another")
    body |= {"seed": 7, "stream_options": {"include_usage": True}}
    client = EngineClient(UpstreamsSettings(()))
    assert client.open_stream(make_call(server.address, body=body)).is_error()
    sent = msgspec.json.decode(server.requests[0].partition(b"\r\n\r\n")[2])
    kept = {name: sent.get(name, value) for name, value in RESERVED.items()}
    assert kept == RESERVED
    assert sent["seed"] == 7
    # The usage event that it requests has no token and no offset.
    assert "stream_options" not in sent


def test_reset_after_the_head_is_a_broken_stream(serve, monkeypatch):
    may_reset, is_reset = threading.Event(), threading.Event()

    def send_head_and_reset(server, connection):
        server.read_request(connection)
        connection.sendall(HEAD)
        may_reset.wait(WAIT_S)
        linger = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.setsockopt(*linger)
        connection.close()
        is_reset.set()

    server = serve(send_head_and_reset)
    urlopen = urllib3.HTTPConnectionPool.urlopen

    def urlopen_then_reset(pool, *args, **kwargs):
        response = urlopen(pool, *args, **kwargs)
        may_reset.set()
        is_reset.wait(WAIT_S)
        return response

    monkeypatch.setattr(urllib3.HTTPConnectionPool, "urlopen", urlopen_then_reset)
    client = EngineClient(UpstreamsSettings(()))
    opened = client.open_stream(make_call(server.address))
    assert isinstance(opened.error, StreamBroken)
    assert opened.error.is_connection_lost


def test_stopped_relay_refuses_streams(serve):
    def send_head(server, connection):
        server.read_request(connection)
        connection.sendall(HEAD)
        connection.recv(1)

    stream = EngineClient(UpstreamsSettings(())).open_stream(
        make_call(serve(send_head).address)
    )
    relay = Relay(lambda: time.monotonic() * 1000.0, 60_000.0, 60_000.0)
    relay.stop()
    results = []
    sink = RelaySink(lambda chunks: b"", None)
    runner = threading.Thread(
        target=lambda: results.append(relay.run(stream.ok, sink)), daemon=True
    )
    runner.start()
    runner.join(3.0)
    assert results, "the caller of a stopped relay waits forever"
    assert results[0].error == StreamBroken("e", "stopped")
    stream.ok.finish()
