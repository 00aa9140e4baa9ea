"""A failed attempt reports truthfully whether it may have run."""

import socket
import time

import pytest

from buckthornrock.conf.settings import UpstreamsSettings
from buckthornrock.upstreams.service_client import ServiceCall, ServiceClient
from tests.upstreams import raw_server
from tests.upstreams.raw_server import RawServer, make_response


def now_ms():
    return time.monotonic() * 1000.0


def make_client(**settings):
    return ServiceClient(UpstreamsSettings((), **settings), now_ms)


def make_call(address, **changes):
    call = ServiceCall(
        upstream_id="u",
        address=address,
        request_id="request-1",
        method="POST",
        path="/kilo%2F1?x=1",
        headers={"content-type": "text/plain"},
        body=b"bale",
        deadline_at_ms=now_ms() + 5_000.0,
        is_repeatable=False,
    )
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


BREAKS = [
    raw_server.close_at_once,
    raw_server.close_in_request,
    raw_server.close_after_request,
    raw_server.close_in_head,
    raw_server.close_after_head_line,
    raw_server.close_in_body,
    raw_server.respond_with_wrong_id,
]


@pytest.mark.parametrize("script", BREAKS, ids=lambda s: s.__name__)
@pytest.mark.parametrize("is_repeatable", [False, True])
def test_broken_attempt_is_unknown(serve, script, is_repeatable):
    server = serve(script)
    call = make_call(server.address, is_repeatable=is_repeatable)
    assert make_client().call(call).error.not_run == "unknown"
    assert server.n_connections == 1


def test_refused_connect_is_not_run():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    assert make_client().call(make_call(address)).error.not_run == "true"


def test_request_arrives_as_sent(serve):
    server = serve(raw_server.keep_responding)
    result = make_client().call(make_call(server.address))
    assert (result.ok.status, result.ok.body, result.ok.rest) == (200, b"ok", None)
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    assert head.startswith(b"POST /kilo%2F1?x=1 HTTP/1.1\r\n")
    assert body == b"bale"
    assert b"X-Request-Id: request-1" in head
    assert b"user-agent" not in head.lower()
    assert b"accept-encoding" not in head.lower()


SHARING = [
    # Repeatable calls, server that echoes request ids -> connections for three calls.
    (raw_server.keep_echoing, True, 1),
    (raw_server.keep_echoing, False, 3),
    (raw_server.keep_responding, True, 3),
    (raw_server.keep_responding, False, 3),
]


@pytest.mark.parametrize(("script", "is_repeatable", "n_connections"), SHARING)
def test_only_repeatable_calls_with_echoed_ids_share_connections(
    serve, script, is_repeatable, n_connections
):
    server = serve(script)
    client = make_client()
    for _ in range(3):
        call = make_call(server.address, is_repeatable=is_repeatable)
        assert client.call(call).is_ok()
    assert server.n_connections == n_connections


def test_late_response_reaches_no_other_call(serve):
    def respond_late(server, connection):
        head = server.read_request(connection)
        if b"request-1" in head:
            time.sleep(0.4)
        body = b"for 1" if b"request-1" in head else b"for 2"
        connection.sendall(make_response(body))
        raw_server.keep_responding(server, connection)

    server = serve(respond_late)
    client = make_client()
    first = make_call(
        server.address, deadline_at_ms=now_ms() + 100.0, is_repeatable=True
    )
    assert client.call(first).error.not_run == "unknown"
    time.sleep(0.5)
    second = make_call(server.address, request_id="request-2", is_repeatable=True)
    assert client.call(second).ok.body == b"for 2"


def test_unexpected_bytes_on_idle_connection_are_dropped(serve):
    def respond_twice(server, connection):
        server.read_request(connection)
        connection.sendall(make_response(b"first"))
        time.sleep(0.1)
        connection.sendall(make_response(b"unasked"))
        time.sleep(2)

    server = serve(respond_twice)
    client = make_client()
    call = make_call(server.address, is_repeatable=True)
    assert client.call(call).ok.body == b"first"
    time.sleep(0.3)
    assert client.call(call).ok.body == b"first"
    assert server.n_connections == 2


@pytest.mark.parametrize("echoes_id", [True, False])
def test_late_second_copy_of_a_response_reaches_no_other_call(serve, echoes_id):
    """The copy arrives when the connection already carries the next call."""

    def respond(connection, number):
        echo = b"X-Request-Id: request-%d\r\n" % number if echoes_id else b""
        connection.sendall(make_response(b"for %d" % number, echo))

    def repeat_late(server, connection):
        for number in (1, 2):
            if not (head := server.read_request(connection)):
                return
            if number == 2:
                respond(connection, 1)
            respond(connection, 2 if b"request-2" in head else 1)

    server = serve(repeat_late)
    client = make_client()
    call = make_call(server.address, is_repeatable=True)
    assert client.call(call).ok.body == b"for 1"
    second = client.call(call._replace(request_id="request-2"))
    if echoes_id:
        # The call was answered, but on a connection that can't be trusted.
        assert second.error.not_run == "unknown"
        return
    assert second.ok.body == b"for 2"


def test_slow_body_ends_at_deadline(serve):
    def send_slowly(server, connection):
        server.read_request(connection)
        connection.sendall(make_response(b"x" * 1_000)[:-1_000])
        for _ in range(200):
            connection.sendall(b"x")
            time.sleep(0.05)

    server = serve(send_slowly)
    started_ms = now_ms()
    call = make_call(server.address, deadline_at_ms=started_ms + 300.0)
    assert make_client().call(call).error.not_run == "unknown"
    assert now_ms() - started_ms < 5_000.0


def send_large(server, connection):
    server.read_request(connection)
    connection.sendall(make_response(b"y" * 1_000_000))


@pytest.mark.parametrize(
    ("limit", "is_complete"), [(2_000_000, True), (500_000, False)]
)
def test_large_response_is_streamed_within_its_limit(serve, limit, is_complete):
    server = serve(send_large)
    client = make_client(answer_buffer_bytes=10_000, max_answer_bytes=limit)
    result = client.call(make_call(server.address)).ok
    assert len(result.body) < 200_000
    closed = []
    result.rest.on_close(closed.append)
    if is_complete:
        assert len(result.body + b"".join(result.rest)) == 1_000_000
        assert closed == [True]
        return
    with pytest.raises(ConnectionError):
        list(result.rest)
    result.rest.close()
    assert closed == [False]
