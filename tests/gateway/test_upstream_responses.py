"""What clients get for each way in which upstreams answer."""

import socket
import struct

import pytest

from tests.gateway.harness import (
    ID,
    STAMP,
    ScriptedUpstream,
    answer,
    ask,
    request,
    run,
    start_gateway,
)

BODY = b"whole body"


async def whole(arrival):
    await arrival.send(answer(arrival.request_id, BODY))


async def byte_by_byte(arrival):
    for byte in answer(arrival.request_id, BODY):
        await arrival.send(bytes([byte]))


async def chunked(arrival):
    head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, arrival.request_id) + STAMP
    await arrival.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
    await arrival.send(b"5\r\nwhole\r\n5\r\n body\r\n0\r\n\r\n")


async def until_close(arrival):
    head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, arrival.request_id) + STAMP
    await arrival.send(head + b"\r\n" + BODY)
    arrival.writer.close()


async def until_reset(arrival):
    head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, arrival.request_id) + STAMP
    await arrival.send(head + b"\r\n" + BODY)
    # A closed socket that does not linger sends a reset.
    sock = arrival.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    arrival.writer.transport.abort()


async def cut(arrival):
    await arrival.send(answer(arrival.request_id, BODY)[:-3])
    arrival.writer.close()


async def continue_first(arrival):
    await arrival.send(b"HTTP/1.1 100 Continue\r\n\r\n")
    await whole(arrival)


async def late_answer_first(arrival):
    await arrival.send(answer(b"another", b"not yours"))
    await whole(arrival)


async def another_answer_only(arrival):
    await arrival.send(answer(b"another", b"not yours"))
    arrival.writer.close()


async def more_after_it(arrival):
    await arrival.send(answer(arrival.request_id, BODY) + b"more")


async def unsigned(arrival):
    await arrival.send(answer(arrival.request_id, BODY).replace(STAMP, b""))


async def encoded(arrival):
    stamp = STAMP + b"Content-Encoding: gzip\r\n"
    await arrival.send(answer(arrival.request_id, BODY).replace(STAMP, stamp))


async def garbage(arrival):
    await arrival.send(b"\x00\x01 not an answer\r\n\r\n")
    arrival.writer.close()


async def nothing(arrival):
    arrival.writer.close()


async def own_failure(arrival):
    await arrival.send(answer(arrival.request_id, b"broken", b"500 Broken"))


async def refused(arrival):
    extra = STAMP + b"X-Buckthornrock-Not-Executed: 1\r\n"
    full = answer(arrival.request_id, b"", b"503 Full").replace(STAMP, extra)
    await arrival.send(full)


async def misdirected(arrival):
    await arrival.send(answer(arrival.request_id, b"", b"421 Other"))


@pytest.mark.parametrize(
    ("script", "status", "body"),
    [
        (whole, 200, BODY),
        (byte_by_byte, 200, BODY),
        (chunked, 200, BODY),
        (until_close, 200, BODY),
        (until_reset, 502, None),
        (cut, 502, None),
        (continue_first, 200, BODY),
        (late_answer_first, 200, BODY),
        (another_answer_only, 502, None),
        (more_after_it, 200, BODY),
        (unsigned, 502, None),
        (encoded, 502, None),
        (garbage, 502, None),
        (nothing, 502, None),
        (own_failure, 500, b"broken"),
        (refused, 503, None),
        (misdirected, 503, None),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
def test_request_that_may_run_once(script, status, body):
    async def main():
        upstream = ScriptedUpstream(script)
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/book/1"))
        assert reply.status == status
        assert body is None or reply.body == body
        has_run = script not in (refused, misdirected)
        assert not has_run or len(upstream.arrivals) == 1
        # A refusal promises that the request has not run; others must not.
        assert (reply.status == 503) == (not has_run)

    run(main)


@pytest.mark.parametrize(
    "script", [cut, nothing, garbage, own_failure, unsigned, refused, misdirected]
)
def test_idempotent_request_is_served_by_another_upstream(script):
    async def main():
        bad, good = ScriptedUpstream(script), ScriptedUpstream(script, whole)
        good.scripts = (whole,)
        harness = await start_gateway(bad, good)
        for number in range(4):
            request_id = b"r%d" % number
            reply = await ask(harness.client_address, request("/read/1", request_id))
            assert (reply.status, reply.body) == (200, BODY)
        assert bad.arrivals

    run(main)


def test_refused_request_is_tried_elsewhere_though_it_may_run_only_once():
    async def main():
        full, free = ScriptedUpstream(refused), ScriptedUpstream(whole)
        harness = await start_gateway(full, free)
        replies = [
            await ask(harness.client_address, request("/book/1", b"r%d" % number))
            for number in range(4)
        ]
        assert {reply.status for reply in replies} == {200}
        assert len(free.arrivals) == 4
        assert full.arrivals

    run(main)


def test_request_that_may_have_run_is_never_refused_as_not_run():
    async def main():
        harnesses = []

        async def leave_and_close(arrival):
            ids = [u.upstream_id for u in harnesses[0].fleet_state.directory.all()]
            harnesses[0].fleet_state.change_upstreams([], ids, 2)
            arrival.writer.close()

        harnesses.append(await start_gateway(ScriptedUpstream(leave_and_close)))
        reply = await ask(harnesses[0].client_address, request("/read/1"))
        assert reply.status == 502

    run(main)


def test_spent_budget_stops_repeats():
    async def main():
        upstreams = [ScriptedUpstream(refused) for _ in range(3)]
        harness = await start_gateway(*upstreams, budget=0.0)
        reply = await ask(harness.client_address, request("/book/1"))
        assert reply.status == 503
        assert float(reply.headers[b"retry-after"]) > 0.0
        assert sum(len(upstream.arrivals) for upstream in upstreams) == 1

    run(main)


def test_failure_of_the_last_upstream_is_passed_on_as_it_is():
    async def main():
        upstreams = [ScriptedUpstream(own_failure) for _ in range(3)]
        harness = await start_gateway(*upstreams)
        reply = await ask(harness.client_address, request("/read/1"))
        assert (reply.status, reply.body) == (500, b"broken")
        assert b"x-buckthornrock-server-stamp" in reply.headers
        assert sum(len(upstream.arrivals) for upstream in upstreams) == 2

    run(main)
