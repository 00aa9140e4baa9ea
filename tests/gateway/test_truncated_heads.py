"""An upstream that stops within the head of its response never seems to succeed."""

import asyncio
import socket
import struct

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
from tests.gateway.test_streams import EVENTS

BODY = b"whole body"
FRAMINGS = {
    "length": b"Content-Length: 10\r\n",
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "unframed": b"",
}
#: More than all cases of one test use.
BUDGET = 1e6
#: A connection that takes over 250 ms to open gives a 503, which is true: the upstream
#: did not get the request. Each length must be cut in one of these requests, whose ids
#: are equally long.
TRIES = b"rst"


def head(request_id: bytes, framing: str) -> bytes:
    start = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, request_id)
    return start + FRAMINGS[framing] + STAMP + b"\r\n"


def end(writer, ending: str) -> None:
    if ending == "reset":
        # With a linger time of 0, closing the socket sends a TCP reset.
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        return
    writer.close()


class CutUpstream(ScriptedUpstream):
    """Cuts the head of a response at ``n_bytes``.

    On kept connections every other response is whole, so that a cut one comes second
    on its connection.
    """

    def __init__(self, framing: str, ending: str, is_kept: bool, whole: bytes) -> None:
        super().__init__(self._respond)
        self.n_bytes = 0
        self.n_cut = self.n_cut_on_kept = 0
        self._framing, self._ending, self._is_kept = framing, ending, is_kept
        self._whole = whole
        self._served_on = None
        self.is_whole_next = is_kept

    async def _respond(self, received):
        if self.is_whole_next:
            self._served_on = received.writer
            await received.send(response_bytes(received.request_id, self._whole))
            return
        self.n_cut += 1
        self.n_cut_on_kept += self._served_on is received.writer
        await received.send(head(received.request_id, self._framing)[: self.n_bytes])
        # The bytes and the end of the connection arrive apart.
        await asyncio.sleep(0)
        end(received.writer, self._ending)


@pytest.mark.parametrize("path", ["/book/1", "/read/1", "/long/1", "/note/1"])
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_truncated_head_is_no_success(framing, ending, is_kept, path):
    whole = EVENTS if path in ("/long/1", "/note/1") else BODY

    async def main():
        upstream = CutUpstream(framing, ending, is_kept, whole)
        harness = await start_gateway(upstream, budget=BUDGET)
        for n_bytes in range(len(head(b"r000", framing)) + 1):
            upstream.n_bytes = n_bytes
            # No request is sent on a connection that carried its id.
            if is_kept:
                first_id = b"f%03d" % n_bytes
                upstream.is_whole_next = True
                reply = await ask(harness.client_address, request(path, first_id))
                assert (reply.status, reply.body) == (200, whole)
                upstream.is_whole_next = False
            n_cut = upstream.n_cut
            for letter in TRIES:
                request_id = b"%c%03d" % (letter, n_bytes)
                reply = await ask(harness.client_address, request(path, request_id))
                assert reply.status >= 500 or not reply.is_complete, n_bytes
                if upstream.n_cut > n_cut:
                    break
                assert reply.status == 503, n_bytes
                await asyncio.sleep(float(reply.headers[b"retry-after"]))
            is_repeatable = path in ("/read/1", "/note/1")
            assert is_repeatable or upstream.n_cut == n_cut + 1
        assert not is_kept or upstream.n_cut_on_kept

    run(main)


@pytest.mark.parametrize("path", ["/read/1", "/note/1"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_repeatable_request_is_retried_after_a_truncated_head(framing, path):
    whole = EVENTS if path == "/note/1" else BODY

    async def main():
        n_all = len(head(b"r1", framing))
        for n_bytes in (0, 9, 16, 30, n_all - 2, n_all - 1, n_all):
            upstream = CutUpstream(framing, "close", False, whole)
            upstream.n_bytes = n_bytes
            respond = upstream.scripts[0]

            async def once(received, upstream=upstream, respond=respond):
                upstream.is_whole_next = bool(upstream.n_cut)
                await respond(received)

            upstream.scripts = (once,)
            harness = await start_gateway(upstream)
            reply = await ask(harness.client_address, request(path))
            assert (reply.status, reply.body, reply.is_complete) == (200, whole, True)

    run(main)
