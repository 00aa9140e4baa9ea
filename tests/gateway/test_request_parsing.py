"""The application sees the requests that were sent, however they arrive.

Guards against lost, repeated, merged or reordered requests and bytes where a connection
parses in turns, pauses reading and keeps what arrives while a request is served.
"""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornrock.catalog.configuration import ClientLimits
from buckthornrock.gateway.client_connection import (
    ClientConnection,
    ClientConnectionContext,
)
from buckthornrock.gateway.client_limits import ClientLimitsEnforcer
from buckthornrock.gateway.memory_budget import (
    CONNECTION_BYTES,
    BudgetLimits,
    MemoryBudget,
)
from buckthornrock.gateway.parse_queue import ParseQueue
from buckthornrock.gateway.request_receiver import RECEIVE_BYTES
from buckthornrock.gateway.requests import Refusal
from buckthornrock.platform.headers import open_header_codec
from buckthornrock.telemetry import Telemetry, open_metrics
from tests.gateway.harness import now_ms

LIMITS = ClientLimits(2_048, 40_000, 5_000.0, 5_000.0)
TELEMETRY = Telemetry(lambda event, **fields: None, open_metrics("", 0, ""))


class FakeTransport:
    """Records what is written and whether reading is paused."""

    def __init__(self):
        self.written = bytearray()
        self.is_reading = True
        self.is_closed = False
        self.is_aborted = False
        self.has_ended = False
        self.n_unsent_bytes = 0

    def get_extra_info(self, name):
        return ("127.0.0.1", 1) if name == "peername" else FakeSocket()

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return self.n_unsent_bytes

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def write_eof(self):
        self.has_ended = True

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = self.is_aborted = True


class FakeSocket:
    def setsockopt(self, *args):
        pass


class World:
    """One connection, and the requests that its application sees."""

    def __init__(
        self,
        refuse_at_head=lambda request: None,
        limits=None,
        client_limits=LIMITS,
    ):
        self.seen = []
        self.transport = FakeTransport()
        self.budget = MemoryBudget(limits or BudgetLimits())
        self.buffer = memoryview(bytearray(RECEIVE_BYTES))
        context = ClientConnectionContext(
            serve=self._serve,
            limits=lambda: client_limits,
            is_draining=lambda: False,
            codec=open_header_codec(),
            now_ms=now_ms,
            connections=set(),
            limits_enforcer=ClientLimitsEnforcer(self.budget, now_ms, TELEMETRY),
            parse_queue=ParseQueue(asyncio.get_running_loop().call_soon),
            receive_buffer=self.buffer,
            refuse_at_head=refuse_at_head,
        )
        self.connection = ClientConnection(context)
        self.connection.connection_made(self.transport)

    async def _serve(self, request, client):
        fields = [(n, v) for n, v in request.headers if n.startswith(b"x-f")]
        self.seen.append((request.method, request.target, fields, bytes(request.body)))
        await asyncio.sleep(0)
        client.send_response(200, [], b"ok")

    async def receive(self, data):
        """Deliver data as a transport does, which reads nothing while paused."""
        for n in range(0, len(data), RECEIVE_BYTES):
            part = data[n : n + RECEIVE_BYTES]
            while not self.transport.is_reading:
                await asyncio.sleep(0)
            self.connection.get_buffer(-1)[: len(part)] = part
            self.connection.buffer_updated(len(part))

    async def settle(self, n_requests):
        for _ in range(20_000):
            if len(self.seen) >= n_requests and not self.connection.is_busy:
                return
            await asyncio.sleep(0)


def encode(method, target, fields, body, chunk_sizes):
    head = b"%s %s HTTP/1.1\r\nHost: h\r\n" % (method, target)
    head += b"".join(b"%s: %s\r\n" % field for field in fields)
    if chunk_sizes is None:
        length = b"Content-Length: %d\r\n" % len(body) if body else b""
        return head + length + b"\r\n" + body
    parts, rest = [], body
    for size in chunk_sizes:
        if rest:
            chunk, rest = rest[:size], rest[size:]
            parts.append(b"%x\r\n%s\r\n" % (len(chunk), chunk))
    if rest:
        parts.append(b"%x\r\n%s\r\n" % (len(rest), rest))
    coding = b"Transfer-Encoding: chunked\r\n\r\n"
    return head + coding + b"".join(parts) + b"0\r\n\r\n"


BODIES = st.builds(
    lambda unit, n: (unit * (n // len(unit) + 1))[:n],
    st.sampled_from([b"x", b"\r\n", b"0\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n"]),
    st.one_of(st.integers(0, 300), st.integers(15_000, 40_000)),
)
CHUNK_SIZES = st.one_of(
    st.none(),
    st.lists(st.integers(1, 9), max_size=400),
    st.lists(st.integers(1, 20_000), max_size=5),
)
FIELDS = st.lists(
    st.tuples(
        st.integers(0, 99).map(lambda n: b"x-f%d" % n),
        st.text("abc,;=", max_size=6).map(str.encode),
    ),
    max_size=60,
)
REQUESTS = st.lists(
    st.tuples(
        st.sampled_from([b"POST", b"PUT"]),
        st.integers(0, 9).map(lambda n: b"/p%d" % n),
        FIELDS,
        BODIES,
        CHUNK_SIZES,
    ),
    min_size=1,
    max_size=6,
)


def fragments(data, sizes):
    """Cut data into pieces of the given sizes, over and over."""
    begin = n = 0
    while begin < len(data):
        size = sizes[n % len(sizes)]
        yield data[begin : begin + size]
        begin += size
        n += 1


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    REQUESTS,
    st.lists(
        st.one_of(st.integers(1, 40), st.integers(100, 70_000)),
        min_size=1,
        max_size=6,
    ),
)
def test_requests_are_seen_as_they_were_sent(requests, sizes):
    async def main():
        world = World()
        data = b"".join(encode(*request) for request in requests)
        # Very small pieces of long data take too long.
        sizes_used = sizes if len(data) < 5_000 else [s + 200 for s in sizes]
        for piece in fragments(data, sizes_used):
            await world.receive(piece)
        await world.settle(len(requests))
        assert world.seen == [
            (method, target, [(n, v.strip()) for n, v in fields], body)
            for method, target, fields, body, _ in requests
        ]
        assert world.transport.written.count(b"HTTP/1.1 200") == len(requests)
        world.connection.connection_lost(None)
        assert world.budget.n_bytes == 0

    asyncio.run(main())


@pytest.mark.parametrize("chunk_sizes", [None, [1] * 30_000, [16_384] * 3])
def test_body_of_a_request_refused_at_its_head_is_not_kept(chunk_sizes):
    """A body for a path without a route would otherwise occupy the memory of others."""

    async def main():
        world = World(lambda request: Refusal(404, "no-route", ""))
        message = encode(b"POST", b"/p", [], b"x" * 30_000, chunk_sizes)
        for piece in fragments(message[:-1], [9_000]):
            await world.receive(piece)
            for _ in range(2_000):
                await asyncio.sleep(0)
        assert world.budget.n_bytes < 20_000
        await world.receive(message[-1:])
        await world.settle(1)
        assert [body for *_, body in world.seen] == [b""]

    asyncio.run(main())


def test_body_over_the_limit_is_refused_at_its_head():
    """Without it, the client sends the whole body in vain."""

    async def main():
        world = World()
        head = b"POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
        await world.receive(head + b"Content-Length: 40001\r\n\r\n")
        assert world.transport.written.startswith(b"HTTP/1.1 413 ")
        assert world.transport.has_ended

    asyncio.run(main())


def test_little_is_read_while_a_request_is_served():
    """Pipelined requests would otherwise pile up without limit."""

    async def main():
        world = World()
        await world.receive(encode(b"GET", b"/p", [], b"", None) * 1_000)
        assert not world.transport.is_reading
        await world.settle(1_000)
        assert len(world.seen) == 1_000
        assert world.transport.is_reading

    asyncio.run(main())


def test_pipelined_bytes_that_the_parser_has_are_accounted_for():
    """They arrive with the end of a body, up to 64 KB for each connection."""

    async def main():
        message = encode(b"POST", b"/p", [], b"x" * 20_000, None)
        pipelined = encode(b"GET", b"/p", [], b"", None) * 2_000
        held = []
        for data in (message, message + pipelined[:40_000]):
            world = World()
            await world.receive(data)
            assert world.connection.is_busy
            held.append(world.budget.n_bytes)
        assert held[1] - held[0] >= 40_000

    asyncio.run(main())


def test_a_request_that_gives_way_is_refused_with_503_and_not_run():
    async def main():
        world = World(limits=BudgetLimits(max_bytes=40_000))
        message = encode(b"POST", b"/p", [], b"x" * 39_000, None)
        await world.receive(message[:-1])
        assert world.transport.written.startswith(b"HTTP/1.1 503 ")
        await world.receive(message[-1:])
        await world.settle(1)
        assert not world.seen

    asyncio.run(main())


@pytest.mark.parametrize("field", [(b"connection", b"close"), (b"x-f0", b"v")])
def test_client_that_leaves_the_end_of_a_response_unread_is_closed(field):
    """A transport that is closed waits without limit for its client to read."""

    async def main():
        world = World(client_limits=LIMITS._replace(idle_timeout_ms=30.0))
        world.transport.n_unsent_bytes = 10_000
        await world.receive(encode(b"GET", b"/p", [field], b"", None))
        await world.settle(1)
        assert not world.transport.is_aborted
        for _ in range(500):
            if world.transport.is_aborted:
                return
            await asyncio.sleep(0.01)
        pytest.fail("the connection stays open")

    asyncio.run(main())


def test_connection_that_is_closing_holds_no_request():
    """What the finished request held would count until the last bytes are taken."""

    async def main():
        world = World()
        world.transport.n_unsent_bytes = 10_000
        message = encode(
            b"POST", b"/p", [(b"connection", b"close")], b"x" * 9_000, None
        )
        await world.receive(message)
        await world.settle(1)
        assert world.transport.is_closed
        assert world.budget.n_bytes == CONNECTION_BYTES + 10_000

    asyncio.run(main())
