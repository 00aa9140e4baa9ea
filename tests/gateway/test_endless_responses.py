"""Upstreams whose responses never end are cut off in time."""

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
from tests.gateway.test_upstream_responses import BODY, complete_response

#: Most bytes that an upstream may send before it is cut off, with socket buffers.
MAX_SENT_BYTES = 24_000_000
#: Half of the five seconds that a request may take.
MAX_DURATION_MS = 2_500.0
#: Pause between the writes of an upstream that sends a few bytes at a time.
TRICKLE_PAUSE_S = 0.01


def head(received_request, status=b"200 OK", extra=b""):
    start = b"HTTP/1.1 %s\r\n%s: %s\r\n" % (status, ID, received_request.request_id)
    return start + STAMP + extra


def endless_script(begin, part, pause_s=0.0):
    """Return a script that sends ``begin`` and then repeats ``part``."""

    async def script(received_request):
        n_bytes = 0
        try:
            await received_request.send(begin(received_request))
            while n_bytes < MAX_SENT_BYTES * 2:
                await received_request.send(part)
                n_bytes += len(part)
                await asyncio.sleep(pause_s)
        finally:
            script.n_bytes += n_bytes
            script.n_ended += 1

    script.n_bytes = script.n_ended = 0
    return script


def no_head(received_request):
    return b""


def head_without_length(received_request):
    return head(received_request) + b"\r\n"


def head_with_huge_length(received_request):
    return head(received_request, extra=b"Content-Length: 900000000000\r\n") + b"\r\n"


def chunked_head(received_request):
    return head(received_request, extra=b"Transfer-Encoding: chunked\r\n") + b"\r\n"


def endless_chunk_size(received_request):
    return chunked_head(received_request) + b"5;"


def refusal_head(received_request):
    extra = b"X-Buckthornrock-Not-Executed: 1\r\n"
    return head(received_request, b"503 Full", extra) + b"\r\n"


KB = b"x" * 1_000
OTHER = b"HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 1000\r\n\r\n" % ID + KB
ENDLESS = {
    "bytes before a head": (no_head, KB),
    "headers": (head, b"X-More: 1234567890\r\n"),
    "a header": (head, KB),
    "heads of interim responses": (no_head, b"HTTP/1.1 100 Continue\r\n\r\n" * 20),
    "responses to other requests": (no_head, OTHER),
    "a body without length": (head_without_length, KB),
    "a body with a length": (head_with_huge_length, KB),
    "chunks": (chunked_head, b"3e8\r\n" + KB + b"\r\n"),
    "a chunk's size": (endless_chunk_size, KB),
}
TRICKLES = {
    "a header": (head, b"x"),
    "heads of interim responses": (no_head, b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a body without length": (head_without_length, b"x"),
    "chunks": (chunked_head, b"1\r\nx\r\n"),
}


async def ask_timed(harness, message):
    started_at_ms = now_ms()
    reply = await ask(harness.client_address, message)
    return reply, now_ms() - started_at_ms


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("path", ["/book/1", "/long/1", "/note/1"])
@pytest.mark.parametrize("shape", ENDLESS.values(), ids=ENDLESS)
def test_endless_response_is_cut_off(shape, path):
    async def main():
        script = endless_script(*shape)
        harness = await start_gateway(ScriptedUpstream(script))
        reply, duration_ms = await ask_timed(harness, request(path))
        assert not (reply.status == 200 and reply.is_complete)
        assert reply.status != 503
        assert duration_ms < MAX_DURATION_MS
        await wait_until(lambda: script.n_ended)
        assert script.n_bytes < MAX_SENT_BYTES

    run(main)


def test_endless_refusal_is_still_a_refusal():
    async def main():
        script = endless_script(refusal_head, KB)
        harness = await start_gateway(ScriptedUpstream(script))
        reply, duration_ms = await ask_timed(harness, request("/book/1"))
        assert reply.status == 503
        assert duration_ms < MAX_DURATION_MS
        await wait_until(lambda: script.n_ended)
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
def test_request_with_endless_response_is_retried_elsewhere(shape, pause_s):
    async def main():
        script = endless_script(*shape, pause_s)
        bad, good = ScriptedUpstream(script), ScriptedUpstream(complete_response)
        harness = await start_gateway(bad, good)
        for number in range(4):
            message = request("/read/1", b"r%d" % number)
            reply, duration_ms = await ask_timed(harness, message)
            assert (reply.status, reply.body) == (200, BODY)
            assert duration_ms < MAX_DURATION_MS + 100.0
        assert bad.received
        await wait_until(lambda: script.n_ended == len(bad.received))

    run(main)


def test_endless_bytes_after_a_response_are_not_read():
    async def main():
        script = endless_script(no_head, KB)

        async def whole_then_more(received_request):
            await complete_response(received_request)
            await script(received_request)

        harness = await start_gateway(ScriptedUpstream(whole_then_more))
        reply, _ = await ask_timed(harness, request("/book/1"))
        assert (reply.status, reply.body) == (200, BODY)
        await wait_until(lambda: script.n_ended)
        assert script.n_bytes < MAX_SENT_BYTES

    run(main)
