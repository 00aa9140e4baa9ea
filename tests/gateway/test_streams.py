"""Streams: whole events in order, resumed where they may be, never falsely complete."""

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


def stream(until: int, is_ended: bool = True, rest: bytes = b"", gap_s: float = 0.0):
    """Return a script that streams events up to a number, from where it is asked."""

    async def script(arrival):
        head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, arrival.request_id) + STAMP
        head += b"Content-Type: text/event-stream\r\n"
        await arrival.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        first = int(arrival.header(b"last-event-id") or 0) + 1
        for number in range(first, until + 1):
            piece = event(number)
            await arrival.send(b"%x\r\n%s\r\n" % (len(piece), piece))
            await asyncio.sleep(gap_s)
        if is_ended:
            await arrival.send(b"0\r\n\r\n")
            return
        if rest:
            await arrival.send(b"%x\r\n%s\r\n" % (len(rest), rest))
        arrival.writer.close()

    return script


def test_stream_is_relayed_whole():
    async def main():
        harness = await start_gateway(ScriptedUpstream(stream(N_EVENTS)))
        reply = await ask(harness.client_address, request("/long/1"))
        assert (reply.status, reply.body, reply.is_whole) == (200, EVENTS, True)

    run(main)


@pytest.mark.parametrize("until", [0, 1, 3])
@pytest.mark.parametrize("rest", [b"", b"id: 4\nda"])
def test_broken_stream_is_resumed_and_joined(until, rest):
    async def main():
        broken = stream(until, is_ended=False, rest=rest)
        upstreams = [ScriptedUpstream(broken, stream(N_EVENTS)) for _ in range(2)]
        harness = await start_gateway(*upstreams)
        reply = await ask(harness.client_address, request("/note/1"))
        if reply.body != EVENTS:
            # Both upstreams broke off once; the third attempt is the last.
            assert not reply.is_whole
            return
        assert reply.is_whole

    run(main)


def test_resumed_stream_asks_for_what_is_missing():
    async def main():
        upstream = ScriptedUpstream(stream(3, is_ended=False), stream(N_EVENTS))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.body, reply.is_whole) == (EVENTS, True)
        last_ids = [a.header(b"last-event-id") for a in upstream.arrivals]
        assert last_ids == [b"", b"3"]

    run(main)


def test_events_that_the_client_has_are_not_sent_again():
    async def from_the_start(arrival):
        head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, arrival.request_id) + STAMP
        await arrival.send(head + b"Content-Length: %d\r\n\r\n" % len(EVENTS))
        await arrival.send(EVENTS)

    async def main():
        upstream = ScriptedUpstream(stream(3, is_ended=False), from_the_start)
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.body, reply.is_whole) == (EVENTS, True)

    run(main)


@pytest.mark.parametrize("until", [1, 4])
def test_stream_that_may_not_be_resumed_never_looks_complete(until):
    async def main():
        upstream = ScriptedUpstream(stream(until, is_ended=False))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/long/1"))
        assert not reply.is_whole
        assert len(upstream.arrivals) == 1

    run(main)


def test_upstream_stops_when_the_client_leaves():
    async def main():
        upstream = ScriptedUpstream(stream(10_000, gap_s=0.01))
        harness = await start_gateway(upstream)
        _, writer = await connect(harness.client_address)
        writer.write(request("/long/1"))
        while not upstream.arrivals:
            await asyncio.sleep(0.01)
        writer.close()
        while not upstream.n_closed_by_peer:
            await asyncio.sleep(0.01)

    run(main)


def test_resumed_stream_that_fails_is_broken_off():
    async def own_failure(arrival):
        head = b"HTTP/1.1 500 Broken\r\n%s: %s\r\n" % (ID, arrival.request_id)
        await arrival.send(head + STAMP + b"Content-Length: 0\r\n\r\n")

    async def main():
        upstream = ScriptedUpstream(stream(2, is_ended=False), own_failure)
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.status, reply.is_whole) == (200, False)

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
