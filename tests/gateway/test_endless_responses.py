"""Upstreams whose answers never end."""

import asyncio

import pytest

from tests.gateway.harness import (
    ID,
    STAMP,
    ScriptedUpstream,
    ask,
    now_ms,
    request,
    run,
    start_gateway,
)
from tests.gateway.test_upstream_responses import BODY, whole

#: What an upstream may have sent before it is cut off, socket buffers included.
MAX_SENT_BYTES = 24_000_000
#: Each request has five seconds.
MAX_DURATION_MS = 2_500.0
#: Pause of an upstream that sends without end, but little at a time.
TRICKLE_PAUSE_S = 0.01


def head(arrival, status=b"200 OK", extra=b""):
    start = b"HTTP/1.1 %s\r\n%s: %s\r\n" % (status, ID, arrival.request_id)
    return start + STAMP + extra


def without_end(begin, part, pause_s=0.0):
    """Return a script that sends ``part`` again and again after a beginning."""

    async def script(arrival):
        n_bytes = 0
        try:
            await arrival.send(begin(arrival))
            while n_bytes < MAX_SENT_BYTES * 2:
                await arrival.send(part)
                n_bytes += len(part)
                await asyncio.sleep(pause_s)
        finally:
            script.n_bytes += n_bytes
            script.n_ended += 1

    script.n_bytes = script.n_ended = 0
    return script


def nothing_first(arrival):
    return b""


def open_body(arrival):
    return head(arrival) + b"\r\n"


def long_body(arrival):
    return head(arrival, extra=b"Content-Length: 900000000000\r\n") + b"\r\n"


def chunks(arrival):
    return head(arrival, extra=b"Transfer-Encoding: chunked\r\n") + b"\r\n"


def chunk_size(arrival):
    return chunks(arrival) + b"5;"


def refusal(arrival):
    extra = b"X-Buckthornrock-Not-Executed: 1\r\n"
    return head(arrival, b"503 Full", extra) + b"\r\n"


KB = b"x" * 1_000
OTHER = b"HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 1000\r\n\r\n" % ID + KB
ENDLESS = {
    "bytes before a head": (nothing_first, KB),
    "headers": (head, b"X-More: 1234567890\r\n"),
    "a header": (head, KB),
    "heads of answers to come": (nothing_first, b"HTTP/1.1 100 Continue\r\n\r\n" * 20),
    "answers to others": (nothing_first, OTHER),
    "a body without length": (open_body, KB),
    "a body with a length": (long_body, KB),
    "chunks": (chunks, b"3e8\r\n" + KB + b"\r\n"),
    "a chunk's size": (chunk_size, KB),
}
TRICKLES = {
    "a header": (head, b"x"),
    "heads of answers to come": (nothing_first, b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a body without length": (open_body, b"x"),
    "chunks": (chunks, b"1\r\nx\r\n"),
}


async def timed(harness, message):
    began_at_ms = now_ms()
    reply = await ask(harness.client_address, message)
    return reply, now_ms() - began_at_ms


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("path", ["/book/1", "/long/1", "/note/1"])
@pytest.mark.parametrize("shape", ENDLESS.values(), ids=ENDLESS)
def test_answer_without_end_is_cut_off(shape, path):
    async def main():
        script = without_end(*shape)
        harness = await start_gateway(ScriptedUpstream(script))
        reply, duration_ms = await timed(harness, request(path))
        assert not (reply.status == 200 and reply.is_whole)
        assert reply.status != 503
        assert duration_ms < MAX_DURATION_MS
        await until(lambda: script.n_ended)
        assert script.n_bytes < MAX_SENT_BYTES

    run(main)


def test_refusal_without_end_is_still_a_refusal():
    async def main():
        script = without_end(refusal, KB)
        harness = await start_gateway(ScriptedUpstream(script))
        reply, duration_ms = await timed(harness, request("/book/1"))
        assert reply.status == 503
        assert duration_ms < MAX_DURATION_MS
        await until(lambda: script.n_ended)
        assert script.n_bytes < MAX_SENT_BYTES

    run(main)


@pytest.mark.parametrize(
    ("shape", "pause_s"),
    [
        *((shape, 0.0) for shape in ENDLESS.values()),
        *((shape, TRICKLE_PAUSE_S) for shape in TRICKLES.values()),
    ],
    ids=[*ENDLESS, *(f"{name}, slowly" for name in TRICKLES)],
)
def test_request_whose_answer_has_no_end_is_served_elsewhere(shape, pause_s):
    async def main():
        script = without_end(*shape, pause_s)
        bad, good = ScriptedUpstream(script), ScriptedUpstream(whole)
        harness = await start_gateway(bad, good)
        for number in range(4):
            message = request("/read/1", b"r%d" % number)
            reply, duration_ms = await timed(harness, message)
            assert (reply.status, reply.body) == (200, BODY)
            assert duration_ms < MAX_DURATION_MS + 100.0
        assert bad.arrivals
        await until(lambda: script.n_ended == len(bad.arrivals))

    run(main)


def test_bytes_without_end_after_an_answer_are_not_read():
    async def main():
        script = without_end(nothing_first, KB)

        async def whole_then_more(arrival):
            await whole(arrival)
            await script(arrival)

        harness = await start_gateway(ScriptedUpstream(whole_then_more))
        reply, _ = await timed(harness, request("/book/1"))
        assert (reply.status, reply.body) == (200, BODY)
        await until(lambda: script.n_ended)
        assert script.n_bytes < MAX_SENT_BYTES

    run(main)
