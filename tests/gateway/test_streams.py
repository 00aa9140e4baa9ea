"""Streams: events stay in order, interruptions are resumed or visible to the client."""

import asyncio

import pytest

from buckthornrock.gateway import stream_relay
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


def whole_body(body: bytes, content_type: bytes = b"text/event-stream"):
    """Return a script that sends a body with its length and ends regularly."""

    async def script(received_request):
        head = (
            b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id) + STAMP
        )
        head += b"Content-Type: %s\r\n" % content_type
        head += b"Content-Length: %d\r\n\r\n" % len(body)
        await received_request.send(head + body)

    return script


ERROR_TEXT = b'{"error": "no such run"}'


@pytest.mark.parametrize(
    "second_run",
    [
        whole_body(ERROR_TEXT),
        whole_body(ERROR_TEXT, b"application/json"),
        whole_body(ERROR_TEXT + b"\n\n"),
        whole_body(b"id: 4\nda"),
        whole_body(b"id: 4\ndata: piece 4\n\nid: 5\nda"),
        whole_body(b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"),
        whole_body(b""),
        whole_body(event(1) + event(2) + event(3)),
        whole_body(event(5) + event(6)),
        whole_body(b": comment\n\n"),
        whole_body(b"data: piece 4\n\n"),
    ],
)
def test_resumed_stream_that_does_not_continue_the_first_is_incomplete(second_run):
    async def main():
        upstream = ScriptedUpstream(stream(3, is_ended=False), second_run)
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.status, reply.is_complete) == (200, False)
        assert EVENTS.startswith(reply.body.replace(b": comment\n\n", b""))

    run(main)


@pytest.mark.parametrize(
    ("path", "n_attempts"), [("/note/1", 3), ("/long/1", 1)], ids=["again", "once"]
)
def test_stream_that_ends_within_an_event_is_interrupted(path, n_attempts):
    async def main():
        upstream = ScriptedUpstream(whole_body(event(1) + b"id: 2\nda"))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request(path))
        assert (reply.body, reply.is_complete) == (event(1), False)
        assert len(upstream.received) == n_attempts

    run(main)


def until_close(body: bytes):
    """Return a script that sends events without a length, until the connection ends."""

    async def script(received_request):
        first = int(received_request.header(b"last-event-id") or 0)
        head = (
            b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id) + STAMP
        )
        head += b"Content-Type: text/event-stream\r\n\r\n"
        await received_request.send(head + (EVENTS if first else body))
        received_request.writer.close()

    return script


@pytest.mark.parametrize("path", ["/long/1", "/note/1"])
def test_stream_that_ends_with_its_connection_is_complete(path):
    async def main():
        upstream = ScriptedUpstream(until_close(EVENTS))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request(path))
        assert (reply.status, reply.body, reply.is_complete) == (200, EVENTS, True)
        assert len(upstream.received) == 1

    run(main)


@pytest.mark.parametrize(
    ("body", "whole"),
    [(event(1) + b"id: 2\nda", event(1)), (b"id: 1\nda", b""), (b"", b"")],
    ids=["after an event", "first event", "no event"],
)
def test_stream_whose_connection_ends_within_an_event_is_broken_off(body, whole):
    async def main():
        upstream = ScriptedUpstream(until_close(body))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/long/1"))
        if whole:
            assert (reply.body, reply.is_complete) == (whole, False)
            return
        assert reply.status == 502

    run(main)


def test_stream_whose_connection_ends_within_an_event_is_resumed():
    async def main():
        upstream = ScriptedUpstream(until_close(event(1) + b"id: 2\nda"))
        harness = await start_gateway(upstream, ScriptedUpstream(until_close(EVENTS)))
        for number in range(2):
            message = request("/note/1", b"r%d" % number)
            reply = await ask(harness.client_address, message)
            assert (reply.body, reply.is_complete) == (EVENTS, True)

    run(main)


def test_plain_body_of_a_streaming_route_is_forwarded_whole():
    async def main():
        upstream = ScriptedUpstream(whole_body(ERROR_TEXT, b"application/json"))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/long/1"))
        assert (reply.status, reply.body, reply.is_complete) == (200, ERROR_TEXT, True)

    run(main)


def test_events_with_carriage_returns_are_forwarded_as_they_arrive():
    async def main():
        body = EVENTS.replace(b"\n", b"\r\n")
        upstream = ScriptedUpstream(whole_body(body))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.body, reply.is_complete) == (body, True)

    run(main)


async def drip(received_request):
    """Send one event and then a comment now and then, without end."""
    head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id) + STAMP
    await received_request.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
    piece = event(1)
    while True:
        await received_request.send(b"%x\r\n%s\r\n" % (len(piece), piece))
        await asyncio.sleep(0.02)
        piece = b": still here\n\n"


async def drip_bytes(received_request):
    """Send one event and then single bytes of the next one, without end."""
    head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id) + STAMP
    await received_request.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
    piece = event(1)
    while True:
        await received_request.send(b"%x\r\n%s\r\n" % (len(piece), piece))
        await asyncio.sleep(0.02)
        piece = b"x"


@pytest.mark.parametrize("stalled", [drip, drip_bytes])
def test_stalled_stream_that_still_sends_bytes_is_resumed(stalled, monkeypatch):
    monkeypatch.setattr(stream_relay, "EVENT_TIMEOUT_MS", 100.0)

    async def main():
        scripts = iter([stalled, stream(N_EVENTS)])

        async def next_script(received_request):
            await next(scripts)(received_request)

        upstreams = [ScriptedUpstream(next_script) for _ in range(2)]
        harness = await start_gateway(*upstreams)
        reply = await ask(harness.client_address, request("/note/1"))
        events = reply.body.replace(b": still here\n\n", b"")
        assert (events, reply.is_complete) == (EVENTS, True)

    run(main)


@pytest.mark.parametrize("stalled", [drip, drip_bytes])
def test_stalled_stream_that_still_sends_bytes_ends_at_the_deadline(stalled):
    async def main():
        upstream = ScriptedUpstream(stalled)
        harness = await start_gateway(upstream)
        deadline = b"X-Buckthornrock-Deadline-Ms: 300\r\n"
        reply = await ask(harness.client_address, request("/long/1", extra=deadline))
        assert (reply.status, reply.is_complete) == (200, False)

    run(main)


@pytest.mark.parametrize("n_upstreams", [1, 2])
def test_slow_but_sound_stream_is_not_cut(n_upstreams, monkeypatch):
    """Each pause exceeds the limit after which a stalled stream is resumed."""
    monkeypatch.setattr(stream_relay, "EVENT_TIMEOUT_MS", 50.0)

    async def main():
        slow = stream(N_EVENTS, gap_s=0.12)
        upstreams = [ScriptedUpstream(slow) for _ in range(n_upstreams)]
        harness = await start_gateway(*upstreams)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.body, reply.is_complete) == (EVENTS, True)

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
