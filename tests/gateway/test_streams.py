"""Streams: events stay in order, interruptions are resumed or visible to the client."""

import asyncio

import pytest

from tests.gateway.harness import (
    ID,
    STAMP,
    ScriptedUpstream,
    ask,
    connect,
    read_reply,
    request,
    run,
    start_gateway,
)

N_EVENTS = 6


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


EVENTS = b"".join(event(number) for number in range(1, N_EVENTS + 1))


def stream(
    last_number: int, is_ended: bool = True, rest: bytes = b"", gap_s: float = 0.0
):
    """Return a script that streams the events after Last-Event-Id to a last number."""

    async def script(received_request):
        head = (
            b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id) + STAMP
        )
        head += b"Content-Type: text/event-stream\r\n"
        await received_request.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        first = int(received_request.header(b"last-event-id") or 0) + 1
        for number in range(first, last_number + 1):
            piece = event(number)
            await received_request.send(b"%x\r\n%s\r\n" % (len(piece), piece))
            await asyncio.sleep(gap_s)
        if is_ended:
            await received_request.send(b"0\r\n\r\n")
            return
        if rest:
            await received_request.send(b"%x\r\n%s\r\n" % (len(rest), rest))
        received_request.writer.close()

    return script


def test_stream_is_relayed_completely():
    async def main():
        harness = await start_gateway(ScriptedUpstream(stream(N_EVENTS)))
        reply = await ask(harness.client_address, request("/long/1"))
        assert (reply.status, reply.body, reply.is_complete) == (200, EVENTS, True)

    run(main)


@pytest.mark.parametrize("last_number", [0, 1, 3])
@pytest.mark.parametrize("rest", [b"", b"id: 4\nda"])
def test_interrupted_stream_is_resumed_without_gap(last_number, rest):
    async def main():
        broken = stream(last_number, is_ended=False, rest=rest)
        upstreams = [ScriptedUpstream(broken, stream(N_EVENTS)) for _ in range(2)]
        harness = await start_gateway(*upstreams)
        reply = await ask(harness.client_address, request("/note/1"))
        if reply.body != EVENTS:
            # Both upstreams were interrupted once and the third attempt is the last.
            assert not reply.is_complete
            return
        assert reply.is_complete

    run(main)


def test_resumed_stream_requests_the_missing_events():
    async def main():
        upstream = ScriptedUpstream(stream(3, is_ended=False), stream(N_EVENTS))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.body, reply.is_complete) == (EVENTS, True)
        last_ids = [a.header(b"last-event-id") for a in upstream.received]
        assert last_ids == [b"", b"3"]

    run(main)


def test_duplicate_events_are_not_forwarded():
    async def from_the_start(received_request):
        head = (
            b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id) + STAMP
        )
        await received_request.send(head + b"Content-Length: %d\r\n\r\n" % len(EVENTS))
        await received_request.send(EVENTS)

    async def main():
        upstream = ScriptedUpstream(stream(3, is_ended=False), from_the_start)
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.body, reply.is_complete) == (EVENTS, True)

    run(main)


@pytest.mark.parametrize("last_number", [1, 4])
def test_interrupted_non_resumable_stream_is_incomplete(last_number):
    async def main():
        upstream = ScriptedUpstream(stream(last_number, is_ended=False))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/long/1"))
        assert not reply.is_complete
        assert len(upstream.received) == 1

    run(main)


def test_upstream_connection_is_closed_when_the_client_disconnects():
    async def main():
        upstream = ScriptedUpstream(stream(10_000, gap_s=0.01))
        harness = await start_gateway(upstream)
        _, writer = await connect(harness.client_address)
        writer.write(request("/long/1"))
        while not upstream.received:
            await asyncio.sleep(0.01)
        writer.close()
        while not upstream.n_closed_by_peer:
            await asyncio.sleep(0.01)

    run(main)


def test_resumed_stream_with_an_error_response_is_aborted():
    async def server_error(received_request):
        head = b"HTTP/1.1 500 Broken\r\n%s: %s\r\n" % (ID, received_request.request_id)
        await received_request.send(head + STAMP + b"Content-Length: 0\r\n\r\n")

    async def main():
        upstream = ScriptedUpstream(stream(2, is_ended=False), server_error)
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.status, reply.is_complete) == (200, False)

    run(main)


def test_client_resumes_after_the_event_it_has():
    async def main():
        upstream = ScriptedUpstream(stream(N_EVENTS))
        harness = await start_gateway(upstream)
        reader, writer = await connect(harness.client_address)
        writer.write(request("/note/1", extra=b"Last-Event-Id: 4\r\n"))
        reply = await read_reply(reader)
        assert reply.body == event(5) + event(6)

    run(main)
