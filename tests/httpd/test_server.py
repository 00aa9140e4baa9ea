"""Keep-alive connections of a server that stops."""

import http.client
import time

import pytest

from buckthornrock.httpd import start_server


@pytest.fixture
def served():
    return []


@pytest.fixture
def server(served):
    def handle(exchange):
        served.append(exchange.path)
        exchange.respond(200, b"done")

    server = start_server("127.0.0.1", 0, handle, n_threads=2)
    yield server
    server.stop()


def get(connection, path):
    connection.request("GET", path)
    return connection.getresponse().read()


def test_closed_idle_connection_serves_no_request(server, served):
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=10)
    assert get(connection, "/first") == b"done"
    deadline_at_s = time.monotonic() + 10
    while server.n_busy():
        assert time.monotonic() < deadline_at_s
        time.sleep(0.01)
    server.stop_accepting()
    server.close_idle()
    connection.auto_open = False
    with pytest.raises((ConnectionError, http.client.HTTPException)):
        get(connection, "/second")
    assert served == ["/first"]
