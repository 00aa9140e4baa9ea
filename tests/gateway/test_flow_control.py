"""Clients and upstreams that read slowly slow down the other side, and harm nobody."""

import asyncio

import pytest

from buckthornrock.catalog.configuration import RouteKind
from buckthornrock.gateway import stream_relay
from buckthornrock.gateway.memory_budget import MAX_UNSENT_BYTES
from buckthornrock.scheduling.loads import UpstreamLoad
from tests.gateway.harness import (
    ID,
    ROUTES,
    STAMP,
    ScriptedUpstream,
    connect,
    read_reply,
    request,
    route,
    run,
    start_gateway,
)
from tests.gateway.test_upstream_responses import complete_response

N_EVENTS = 500
EVENT_BYTES = 65_536
#: What may wait in the instance and in the buffers of three sockets.
MAX_SENT_BYTES = MAX_UNSENT_BYTES + 16_000_000
assert N_EVENTS * EVENT_BYTES > MAX_SENT_BYTES


def event(number: int) -> bytes:
    start = b"id: %d\ndata: " % number
    return start + b"x" * (EVENT_BYTES - len(start) - 2) + b"\n\n"


class LongStream:
    """Script of an upstream that streams as fast as it is read.

    With ``reset_after_s`` it resets the connection once nothing was read for so long.
    """

    def __init__(self, reset_after_s: float | None = None) -> None:
        self.n_sent_bytes = 0
        self._reset_after_s = reset_after_s

    async def __call__(self, received_request):
        head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id)
        head += b"Content-Type: text/event-stream\r\n" + STAMP
        await received_request.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, N_EVENTS + 1):
            piece = event(number)
            try:
                async with asyncio.timeout(self._reset_after_s):
                    await received_request.send(b"%x\r\n%s\r\n" % (len(piece), piece))
            except TimeoutError:
                received_request.writer.transport.abort()
                return
            self.n_sent_bytes += len(piece)
        await received_request.send(b"0\r\n\r\n")


def test_stream_waits_for_its_client_and_ends_whole(monkeypatch):
    """An instance that reads on would hold the stream, or abort it.

    While the client takes nothing there is no event, which must not count as a stalled
    upstream: the stream would be resumed elsewhere.
    """
    monkeypatch.setattr(stream_relay, "EVENT_TIMEOUT_MS", 900.0)
    long = route(RouteKind.STREAM, "note", is_resumable=True, n_attempts=3)
    routes = (long._replace(timeout_ms=60_000.0),)

    async def main():
        scripts = [LongStream(), LongStream()]
        upstreams = [ScriptedUpstream(script) for script in scripts]
        harness = await start_gateway(*upstreams, routes=routes)
        reader, writer = await connect(harness.client_address)
        writer.write(request("/note/1"))
        await asyncio.sleep(1.4)
        assert sum(script.n_sent_bytes for script in scripts) < MAX_SENT_BYTES
        await reader.readuntil(b"\r\n\r\n")
        for number in range(1, N_EVENTS + 1):
            assert int(await reader.readuntil(b"\r\n"), 16) == EVENT_BYTES
            chunk = await reader.readexactly(EVENT_BYTES + 2)
            assert chunk == event(number) + b"\r\n"
        assert await reader.readuntil(b"\r\n") == b"0\r\n"
        assert sum(len(upstream.received) for upstream in upstreams) == 1

    run(main)


def test_upstream_that_cuts_off_an_unread_stream_has_not_failed(monkeypatch):
    """Slow clients would otherwise take sound upstreams out of service."""
    outcomes = []
    monkeypatch.setattr(
        UpstreamLoad,
        "on_outcome",
        lambda load, is_failure, _: outcomes.append(is_failure),
    )

    async def main():
        harness = await start_gateway(ScriptedUpstream(LongStream(reset_after_s=0.8)))
        reader, writer = await connect(harness.client_address)
        writer.write(request("/long/1"))
        await asyncio.sleep(1.7)
        reply = await read_reply(reader)
        assert not reply.is_complete
        assert dict(harness.logged)["gateway.attempt_failed"]
        assert True not in outcomes

    run(main)


def test_client_that_never_reads_holds_its_upstream_until_the_route_ends():
    """A slot that is never released would be lost to all other requests."""
    short = route(RouteKind.STREAM, "long", timeout_ms=1_000.0)
    routes = (short, *(r for r in ROUTES if r.name != "long"))

    async def main():
        script = LongStream()
        upstream = ScriptedUpstream(script)
        harness = await start_gateway(upstream, routes=routes)
        _, writer = await connect(harness.client_address)
        writer.write(request("/long/1"))
        while not upstream.n_closed_by_peer:
            await asyncio.sleep(0.05)
        ended = dict(harness.logged)["gateway.not_served"]
        assert (ended["status"], ended["failure"]) == (0, "deadline")

    run(main)


@pytest.mark.parametrize("n_bytes", [0, 1, 65_536, 65_537, 4_194_304])
def test_bodies_and_responses_of_any_size_pass_whole(n_bytes):
    """Data is written in pieces; a lost or repeated one would change it."""
    body = bytes(range(256)) * (n_bytes // 256 + 1)
    body = body[:n_bytes]

    async def echo(received_request):
        length = b"Content-Length: %d\r\n\r\n" % len(received_request.body)
        head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id)
        await received_request.send(head + STAMP + length + received_request.body)

    async def main():
        upstream = ScriptedUpstream(echo)
        harness = await start_gateway(upstream)
        reader, writer = await connect(harness.client_address)
        extra = b"Content-Length: %d\r\n" % n_bytes
        for number in (b"r1", b"r2"):
            writer.write(request("/book/1", number, b"POST", extra) + body)
            await asyncio.sleep(0.05)
            reply = await read_reply(reader)
            assert reply.body == body
        assert [r.body for r in upstream.received] == [body, body]

    run(main)


def test_pipelined_requests_wait_until_responses_are_read():
    """A client that reads nothing would otherwise make the instance hold them all."""
    n_requests, size = 40, 1_000_000

    async def large(received_request):
        length = b"Content-Length: %d\r\n\r\n" % size
        head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id)
        await received_request.send(head + STAMP + length + b"x" * size)

    async def main():
        upstream = ScriptedUpstream(large)
        harness = await start_gateway(upstream)
        reader, writer = await connect(harness.client_address)
        ids = [b"r%d" % n for n in range(n_requests)]
        writer.write(b"".join(request("/read/1", i) for i in ids))
        await asyncio.sleep(1.0)
        assert len(upstream.received) < n_requests
        for request_id in ids:
            reply = await read_reply(reader)
            assert reply.headers[ID.lower()] == request_id
            assert len(reply.body) == size

    run(main)


def test_refusal_arrives_though_the_client_goes_on_sending():
    """Closing at once would reset the connection before the client reads it."""

    async def main():
        harness = await start_gateway(ScriptedUpstream(complete_response))
        reader, writer = await connect(harness.client_address)
        extra = b"Transfer-Encoding: chunked\r\n"
        writer.write(request("/book/1", method=b"POST", extra=extra))
        chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
        for _ in range(100):
            writer.write(chunk)
        reply = await read_reply(reader)
        assert reply.status == 413
        assert await reader.read() == b""

    run(main)


def test_half_closed_client_gets_the_rest_of_its_response():
    """What waits here to be written would be lost with the connection."""
    size = 4_000_000

    async def large(received_request):
        length = b"Content-Length: %d\r\n\r\n" % size
        head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id)
        await received_request.send(head + STAMP + length + b"x" * size)

    async def main():
        harness = await start_gateway(ScriptedUpstream(large))
        reader, writer = await connect(harness.client_address)
        writer.write(request("/read/1"))
        await reader.readexactly(1)
        await asyncio.sleep(0.2)
        writer.write_eof()
        await asyncio.sleep(0.1)
        assert len(await reader.read()) > size

    run(main)
