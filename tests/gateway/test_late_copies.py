"""Upstreams that repeat responses, break refusals off or fall silent for a while."""

import asyncio

import pytest

from tests.gateway.harness import (
    ID,
    STAMP,
    ScriptedUpstream,
    ask,
    request,
    response_bytes,
    run,
    start_gateway,
)
from tests.gateway.test_streams import EVENTS, N_EVENTS, event, stream

SILENCE_S = 0.4
#: Longer than an attempt of a repeatable request may take before another one.
LONG_SILENCE_S = 3.0


def own_body(received_request) -> bytes:
    return b"for " + received_request.request_id


async def respond(received_request):
    message = response_bytes(received_request.request_id, own_body(received_request))
    await received_request.send(message)


class CopyingUpstream(ScriptedUpstream):
    """Sends a second copy of each response, before the next one on its connection.

    With ``is_late`` the copy is sent only once the connection carries the next request.
    """

    def __init__(self, is_late: bool) -> None:
        super().__init__(self._respond)
        self._is_late = is_late
        self._copies = {}

    async def _respond(self, received_request):
        writer = received_request.writer
        await received_request.send(self._copies.pop(writer, b""))
        await respond(received_request)
        copy = response_bytes(received_request.request_id, own_body(received_request))
        if self._is_late:
            self._copies[writer] = copy
            return
        await asyncio.sleep(0.02)
        await received_request.send(copy)


@pytest.mark.parametrize("path", ["/read/1", "/book/1"])
@pytest.mark.parametrize("is_late", [False, True], ids=["early", "late"])
def test_second_copy_of_a_response_reaches_no_other_client(path, is_late):
    async def main():
        upstream = CopyingUpstream(is_late)
        harness = await start_gateway(upstream)
        for number in range(6):
            request_id = b"r%d" % number
            reply = await ask(harness.client_address, request(path, request_id))
            assert (reply.status, reply.body) == (200, b"for " + request_id)
            await asyncio.sleep(0.05)
        assert len(upstream.received) == 6
        connections = {id(received.writer) for received in upstream.received}
        # A copy that comes late is met on a connection that is in use again.
        assert (len(connections) == 1) == is_late

    run(main)


def refusal(status: bytes, body: bytes, n_announced: int):
    async def script(received_request):
        head = b"HTTP/1.1 %s\r\n%s: %s\r\n" % (status, ID, received_request.request_id)
        head += STAMP + b"X-Buckthornrock-Not-Executed: 1\r\n"
        head += b"Content-Length: %d\r\n\r\n" % n_announced
        await received_request.send(head + body)
        received_request.writer.close()

    return script


REFUSALS = {
    "whole": refusal(b"503 Full", b"full", 4),
    "truncated": refusal(b"503 Full", b"fu", 4),
    "without its body": refusal(b"503 Full", b"", 4),
    "with bytes after it": refusal(b"503 Full", b"full and more", 4),
    "misdirected, truncated": refusal(b"421 Other", b"", 9),
}


@pytest.mark.parametrize("refuse", REFUSALS.values(), ids=REFUSALS)
def test_refusal_without_its_whole_body_is_run_once_elsewhere(refuse):
    """The head states that the request did not run; the body can't change that."""

    async def main():
        bad, good = ScriptedUpstream(refuse), ScriptedUpstream(respond)
        harness = await start_gateway(bad, good)
        n_requests = 4
        for number in range(n_requests):
            request_id = b"r%d" % number
            reply = await ask(harness.client_address, request("/book/1", request_id))
            assert (reply.status, reply.body) == (200, b"for " + request_id)
        assert bad.received
        assert len(good.received) == n_requests

    run(main)


@pytest.mark.parametrize(
    "head_line",
    [b"HTTP/1.1 503 Full", b"HTTP/1.1 429 Slow", b"HTTP/1.1 500 Broken"],
)
def test_failure_that_does_not_state_that_nothing_ran_is_not_sent_again(head_line):
    async def fail(received_request):
        head = head_line + b"\r\n%s: %s\r\n" % (ID, received_request.request_id)
        await received_request.send(head + STAMP + b"Content-Length: 0\r\n\r\n")

    async def main():
        upstreams = [ScriptedUpstream(fail) for _ in range(2)]
        harness = await start_gateway(*upstreams)
        await ask(harness.client_address, request("/book/1"))
        assert sum(len(upstream.received) for upstream in upstreams) == 1

    run(main)


@pytest.mark.parametrize("path", ["/book/1", "/read/1"])
def test_response_of_an_upstream_that_left_the_list_is_awaited(path):
    """The store lists it no longer; its work isn't run again elsewhere."""

    async def main():
        harnesses = []

        async def vanish_and_respond(received_request):
            state = harnesses[0].fleet_state
            state.upstreams.change(
                [], [u.upstream_id for u in state.directory.all()], 2
            )
            await asyncio.sleep(SILENCE_S)
            await respond(received_request)

        upstream = ScriptedUpstream(vanish_and_respond)
        harnesses.append(await start_gateway(upstream))
        reply = await ask(harnesses[0].client_address, request(path))
        assert (reply.status, reply.body) == (200, b"for r1")
        assert len(upstream.received) == 1

    run(main)


@pytest.mark.parametrize("path", ["/note/1", "/long/1"])
def test_stream_of_an_upstream_that_left_the_list_goes_on(path):
    async def main():
        harnesses = []
        rest = stream(N_EVENTS, gap_s=0.05)

        async def vanish_and_stream(received_request):
            state = harnesses[0].fleet_state
            state.upstreams.change(
                [], [u.upstream_id for u in state.directory.all()], 2
            )
            await rest(received_request)

        upstreams = [ScriptedUpstream(vanish_and_stream) for _ in range(2)]
        harnesses.append(await start_gateway(*upstreams))
        reply = await ask(harnesses[0].client_address, request(path))
        assert (reply.body, reply.is_complete) == (EVENTS, True)
        assert sum(len(upstream.received) for upstream in upstreams) == 1

    run(main)


def test_request_that_may_not_run_twice_waits_for_a_silent_upstream():
    """It is neither given up nor sent elsewhere before its deadline."""

    async def late(received_request):
        await asyncio.sleep(LONG_SILENCE_S)
        await respond(received_request)

    async def main():
        upstreams = [ScriptedUpstream(late) for _ in range(2)]
        harness = await start_gateway(*upstreams)
        reply = await ask(harness.client_address, request("/book/1"))
        assert (reply.status, reply.body) == (200, b"for r1")
        assert sum(len(upstream.received) for upstream in upstreams) == 1

    run(main)


def test_late_rest_of_an_abandoned_stream_reaches_no_client():
    """The first upstream goes on with its events after another has resumed them."""

    async def break_off_and_go_on(received_request):
        head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id)
        head += STAMP + b"Content-Type: text/event-stream\r\n"
        await received_request.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        piece = event(1) + event(2)
        await received_request.send(b"%x\r\n%s\r\n" % (len(piece), piece))
        await received_request.send(b"not a chunk\r\n")
        for number in range(3, N_EVENTS + 1):
            piece = event(number).replace(b"piece", b"wrong")
            await received_request.send(b"%x\r\n%s\r\n" % (len(piece), piece))
            await asyncio.sleep(0.01)

    async def main():
        upstream = ScriptedUpstream(break_off_and_go_on, stream(N_EVENTS))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.body, reply.is_complete) == (EVENTS, True)

    run(main)
