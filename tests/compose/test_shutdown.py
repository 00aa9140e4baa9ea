"""A graceful stop cuts nothing; the limit and a second signal cut what they must."""

import http.client
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.dispatch.service_world import ServiceWorld
from tests.upstreams.raw_server import RawServer, answer

N_STREAMS = 100
COUNT_LOCK = threading.Lock()
N_PARTS = 12


def send_slowly(server, connection):
    """Send a large answer in parts, so that it is streamed while the stop begins."""
    while head := server.read_request(connection):
        name = head.split(b" ")[1].strip(b"/")
        body = name.ljust(10_000, b".") * N_PARTS
        connection.sendall(answer(body)[: -len(body)])
        for index in range(N_PARTS):
            time.sleep(0.3)
            connection.sendall(body[index * 10_000 : (index + 1) * 10_000])
        with COUNT_LOCK:
            server.n_answered += 1


@pytest.fixture
def start():
    started = []

    def start(script, **entry):
        server = RawServer(script)
        settings = {"n_threads": 110, "drain_grace_ms": 200, **entry}
        world = ServiceWorld(
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
    world, server = start(send_slowly)
    server.n_answered = 0
    instance = world.instances[0]
    with ThreadPoolExecutor(N_STREAMS + 1) as pool:
        reads = [pool.submit(read_stream, world, n) for n in range(N_STREAMS)]
        while instance.n_open() < N_STREAMS:
            time.sleep(0.01)
        stopping = pool.submit(instance.stop)
        while world.operate(0, "GET", "/readyz").status != 503:
            time.sleep(0.01)
        late = read_stream(world, "late")
        assert stopping.result() == 0
        # The last parts had been sent when the instance said that it had ended.
        assert server.n_answered == N_STREAMS + 1
        for index, read in enumerate(reads):
            name = b"%d" % index
            assert read.result()[:2] == (200, name.ljust(10_000, b".") * N_PARTS)
    assert late[0] == 200
    assert late[2] == "close"


def test_requests_on_open_connections_are_served_until_the_end(start):
    world, _ = start(lambda server, connection: hold(server, connection, 0.6))
    instance = world.instances[0]
    connection = http.client.HTTPConnection(
        "127.0.0.1", instance.entry.port, timeout=10
    )
    headers = {"Authorization": "Bearer key-a"}
    connection.request("GET", "/services/orders/1", headers=headers)
    assert connection.getresponse().read() == b"held"
    with ThreadPoolExecutor(2) as pool:
        busy = pool.submit(read_stream, world, "busy")
        while not instance.n_open():
            time.sleep(0.01)
        stopping = pool.submit(instance.stop)
        time.sleep(0.35)  # the instance accepts no more connections by now
        connection.request("GET", "/services/orders/2", headers=headers)
        response = connection.getresponse()
        assert (response.read(), response.headers["Connection"]) == (b"held", "close")
        assert busy.result()[0] == 200
        assert stopping.result() == 0


def hold(server, connection, duration_s):
    while server.read_request(connection):
        time.sleep(duration_s)
        connection.sendall(answer(b"held"))


def test_drain_limit_reports_what_it_cuts(start):
    release = threading.Event()

    def block(server, connection):
        server.read_request(connection)
        release.wait(20)

    world, _ = start(block, drain_limit_ms=400, drain_grace_ms=50)
    instance = world.instances[0]
    with ThreadPoolExecutor(1) as pool:
        read = pool.submit(read_stream, world, "stuck")
        while not instance.n_open():
            time.sleep(0.01)
        assert instance.stop() == 1
        release.set()
        read.result()
