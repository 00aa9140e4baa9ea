"""A graceful stop cuts nothing; the limit and a second signal cut what they must."""

import http.client
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.dispatch.service_harness import ServiceHarness
from tests.upstreams.raw_server import RawServer, make_response

N_STREAMS = 100
#: Half of the threads may wait for the first part of a response, and further calls are
#: refused. All streams may wait for theirs at the same time.
N_THREADS = 2 * (N_STREAMS + 2)
FIRST_PART_DELAY_S = 0.5
WAIT_S = 30.0
COUNT_LOCK = threading.Lock()
N_PARTS = 8


def send_slowly(server, connection):
    """Send a large answer in parts, most of them only after the stop has begun."""
    while head := server.read_request(connection):
        name = head.split(b" ")[1].strip(b"/")
        body = name.ljust(10_000, b".") * N_PARTS
        time.sleep(FIRST_PART_DELAY_S)
        connection.sendall(make_response(body)[: 10_000 - len(body)])
        server.go.wait(WAIT_S)
        for index in range(1, N_PARTS):
            time.sleep(0.1)
            connection.sendall(body[index * 10_000 : (index + 1) * 10_000])
        with COUNT_LOCK:
            server.n_answered += 1


def wait_for(condition):
    give_up_at_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < give_up_at_s
        time.sleep(0.01)


@pytest.fixture
def start():
    started = []

    def start(script, **entry):
        server = RawServer(script)
        settings = {"n_threads": N_THREADS, "drain_grace_ms": 300, **entry}
        world = ServiceHarness(
            [server.address],
            entry=settings,
            upstreams={"answer_buffer_bytes": 1_000},
        )
        started.append((world, server))
        return world, server

    yield start
    for world, server in started:
        world.stop_platform()
        server.stop()


def read_stream(world, index):
    response = world.call(0, f"/services/orders/{index}", b"", method="GET")
    return response.status, response.data, response.headers.get("Connection")


def test_stop_cuts_none_of_many_streams(start):
    world, server = start(send_slowly, drain_grace_ms=3_000)
    server.n_answered = 0
    server.go = threading.Event()
    instance = world.instances[0]
    with ThreadPoolExecutor(N_STREAMS + 2) as pool:
        reads = [pool.submit(read_stream, world, n) for n in range(N_STREAMS)]
        wait_for(lambda: instance.n_open() >= N_STREAMS)
        stopping = pool.submit(instance.stop)
        wait_for(lambda: world.operate(0, "GET", "/readyz").status == 503)
        late_read = pool.submit(read_stream, world, "late")
        wait_for(lambda: instance.n_open() > N_STREAMS)
        server.go.set()
        late = late_read.result()
        assert stopping.result() == 0
        # The last parts had been sent when the instance said that it had ended.
        assert server.n_answered == N_STREAMS + 1
        for index, read in enumerate(reads):
            name = b"%d" % index
            assert read.result()[:2] == (200, name.ljust(10_000, b".") * N_PARTS)
    assert late[0] == 200
    assert late[2] == "close"


def test_requests_on_open_connections_are_served_until_the_end(start):
    world, _ = start(lambda server, connection: hold(server, connection, 2.0))
    instance = world.instances[0]
    connection = http.client.HTTPConnection(
        "127.0.0.1", instance.entry.port, timeout=10
    )
    headers = {"Authorization": "Bearer key-a"}
    connection.request("GET", "/services/orders/1", headers=headers)
    assert connection.getresponse().read() == b"held"
    with ThreadPoolExecutor(2) as pool:
        busy = pool.submit(read_stream, world, "busy")
        wait_for(instance.n_open)
        stopping = pool.submit(instance.stop)
        wait_for(lambda: not accepts(instance.entry.port))
        connection.request("GET", "/services/orders/2", headers=headers)
        response = connection.getresponse()
        assert (response.read(), response.headers["Connection"]) == (b"held", "close")
        assert busy.result()[0] == 200
        assert stopping.result() == 0


def accepts(port):
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1):
            return True
    except OSError:
        return False


def hold(server, connection, duration_s):
    while head := server.read_request(connection):
        if b" /1 " not in head:
            time.sleep(duration_s)
        connection.sendall(make_response(b"held"))


def test_drain_limit_reports_what_it_cuts(start):
    release = threading.Event()

    def block(server, connection):
        server.read_request(connection)
        release.wait(20)

    world, _ = start(block, drain_limit_ms=400, drain_grace_ms=50)
    instance = world.instances[0]
    with ThreadPoolExecutor(1) as pool:
        read = pool.submit(read_stream, world, "stuck")
        wait_for(instance.n_open)
        assert instance.stop() == 1
        release.set()
        read.result()


def read_problem(world, path):
    response = world.call(0, f"/services/orders/{path}", b"", method="GET")
    return response.status, response.json()


def test_requests_open_at_the_drain_limit_are_answered(start):
    """They were once cut with no response, so that callers learned nothing.

    One runs at its server, one waits for the thread that it holds, and one has not
    arrived whole. Only what was not run may get 503.
    """
    release = threading.Event()

    def block(server, connection):
        server.read_request(connection)
        release.wait(20)

    world, _ = start(block, n_threads=1, drain_limit_ms=1_500, drain_grace_ms=50)
    instance = world.instances[0]
    head = b"POST /services/orders/2 HTTP/1.1\r\nAuthorization: Bearer key-a\r\n"
    address = ("127.0.0.1", instance.entry.port)
    with (
        ThreadPoolExecutor(1) as pool,
        socket.create_connection(address, timeout=WAIT_S) as partial,
        socket.create_connection(address, timeout=WAIT_S) as queued,
    ):
        partial.sendall(head + b"Content-Length: 5\r\n\r\nfour")
        wait_for(instance.n_open)
        running = pool.submit(read_problem, world, "stuck")
        wait_for(lambda: instance.n_open() >= 2)
        queued.sendall(head + b"Content-Length: 4\r\n\r\nfour")
        wait_for(lambda: instance.n_open() >= 3)
        assert instance.stop() == 3
        release.set()
        status, document = running.result()
        assert (status, document["code"]) == (504, "instance-stopped")
        assert document["not_run"] == "unknown"
        for caller in (partial, queued):
            assert caller.makefile("rb").readline() == (
                b"HTTP/1.1 503 Service Unavailable\r\n"
            )
