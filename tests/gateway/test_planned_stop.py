"""A stopping instance finishes, refuses or ends each request with a whole response."""

import asyncio
import time

import pytest

from buckthornrock.gateway import gateway as gateway_module
from buckthornrock.gateway import stopping
from tests.gateway.harness import (
    ID,
    STAMP,
    ScriptedUpstream,
    connect,
    read_reply,
    request,
    run,
    start_gateway,
)
from tests.gateway.test_streams import event
from tests.gateway.test_upstream_responses import BODY, complete_response

LIMIT_MS = 2_000.0
ACCEPT_MS = 400.0
SERVED_MS = 500.0
CUT_S = (LIMIT_MS - stopping.CUT_MARGIN_MS) / 1000.0
PATHS = ["/book/1", "/read/1", "/long/1", "/note/1"]


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(gateway_module, "ACCEPT_AFTER_NOT_READY_MS", ACCEPT_MS)
    monkeypatch.setattr(stopping, "SERVED_AFTER_STOP_MS", SERVED_MS)


async def silent(received):
    await asyncio.sleep(10.0)


async def begun_stream(received):
    head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received.request_id) + STAMP
    await received.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
    number = 0
    while True:
        number += 1
        piece = event(number)
        await received.send(b"%x\r\n%s\r\n" % (len(piece), piece))
        await asyncio.sleep(0.05)


async def begin_request(harness, message: bytes):
    """Open a connection and send all but the end of a request."""
    reader, writer = await connect(harness.client_address)
    writer.write(message[:-2])
    await asyncio.sleep(0.05)

    async def finish():
        writer.write(message[-2:])
        return await read_reply(reader)

    return reader, finish


def deadline(duration_ms: int) -> bytes:
    return b"X-Buckthornrock-Deadline-Ms: %d\r\n" % duration_ms


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("late_s", [0.6, 1.0, 1.38, 1.5])
def test_late_request_that_may_outlast_the_process_is_refused(path, late_s):
    async def main():
        upstream = ScriptedUpstream(silent)
        harness = await start_gateway(upstream, shutdown_limit_ms=LIMIT_MS)
        reader, finish = await begin_request(harness, request(path))
        harness.stop.set()
        await asyncio.sleep(late_s)
        sent_at_s = time.monotonic()
        reply = await finish()
        assert reply.status == 503
        assert time.monotonic() - sent_at_s < 0.1
        assert float(reply.headers[b"retry-after"]) <= 0.2
        assert reply.headers[b"connection"] == b"close"
        assert await reader.read() == b""
        assert not upstream.received
        await harness.task

    run(main)


@pytest.mark.parametrize("path", PATHS[:2])
@pytest.mark.parametrize(
    ("late_s", "limit_ms"), [(0.6, 10_000), (1.2, 1_200), (2.0, 600)]
)
def test_request_that_ends_in_time_is_served(monkeypatch, path, late_s, limit_ms):
    # With the times of the other tests, a stall of 0.2 s moved a request past the time
    # from which it is refused.
    monkeypatch.setattr(stopping, "SERVED_AFTER_STOP_MS", 2.0 * SERVED_MS)
    shutdown_limit_ms = 2.0 * LIMIT_MS

    async def main():
        upstream = ScriptedUpstream(complete_response)
        harness = await start_gateway(upstream, shutdown_limit_ms=shutdown_limit_ms)
        message = request(path, extra=deadline(limit_ms))
        _, finish = await begin_request(harness, message)
        harness.stop.set()
        await asyncio.sleep(late_s)
        reply = await finish()
        assert (reply.status, reply.body) == (200, BODY)
        assert reply.headers[b"connection"] == b"close"
        # The upstream's deadline is not later than the last response.
        left_ms = int(upstream.received[0].header(b"X-Buckthornrock-Deadline-Ms"))
        cut_ms = shutdown_limit_ms - stopping.CUT_MARGIN_MS
        assert left_ms <= cut_ms - late_s * 1000.0
        await harness.task

    run(main)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("sent_s", [-0.1, 0.0, 0.3])
def test_open_request_gets_a_last_response(path, sent_s):
    """The connection just ended, and the client learnt nothing."""

    async def main():
        upstream = ScriptedUpstream(silent)
        harness = await start_gateway(upstream, shutdown_limit_ms=LIMIT_MS)
        _, finish = await begin_request(harness, request(path, extra=deadline(9_000)))
        if sent_s < 0.0:
            replying = asyncio.create_task(finish())
            await asyncio.sleep(-sent_s)
        harness.stop.set()
        stopped_at_s = time.monotonic()
        if sent_s >= 0.0:
            await asyncio.sleep(sent_s)
            replying = asyncio.create_task(finish())
        reply = await replying
        # An attempt from before the stop may have failed, and no other one begins.
        statuses = (502, 504) if sent_s < 0.0 and path == "/read/1" else (504,)
        assert reply.status in statuses
        assert time.monotonic() - stopped_at_s < LIMIT_MS / 1000.0 - 0.4
        assert upstream.received
        await harness.task
        assert dict(harness.logged)["gateway.stopped"]["n_cut_requests"] == 0

    run(main)


@pytest.mark.parametrize("path", PATHS[2:])
def test_begun_stream_is_broken_off_and_never_ended(path):
    async def main():
        upstream = ScriptedUpstream(begun_stream)
        harness = await start_gateway(upstream, shutdown_limit_ms=LIMIT_MS)
        _, finish = await begin_request(harness, request(path))
        replying = asyncio.create_task(finish())
        await asyncio.sleep(0.1)
        harness.stop.set()
        stopped_at_s = time.monotonic()
        reply = await replying
        assert (reply.status, reply.is_complete) == (200, False)
        assert abs(time.monotonic() - stopped_at_s - CUT_S) < 0.3
        await harness.task
        assert upstream.n_closed_by_peer == 1

    run(main)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("limit_ms", [None, 1_200])
def test_queued_request_is_refused_once_it_is_known_to_be_late(path, limit_ms):
    async def main():
        upstream = ScriptedUpstream(complete_response)
        harness = await start_gateway(upstream, shutdown_limit_ms=LIMIT_MS)
        for entry in harness.fleet_state.directory.all():
            harness.gateway._dispatcher.block(entry, 10_000.0)
        extra = deadline(limit_ms) if limit_ms else b""
        _, finish = await begin_request(harness, request(path, extra=extra))
        replying = asyncio.create_task(finish())
        await asyncio.sleep(0.05)
        harness.stop.set()
        stopped_at_s = time.monotonic()
        reply = await replying
        assert reply.status == 503
        assert reply.headers[b"connection"] == b"close"
        # With its own deadline before the last responses, it waits for that.
        bound_s = 1.3 if limit_ms else SERVED_MS / 1000.0 + 0.2
        assert time.monotonic() - stopped_at_s < bound_s
        assert not upstream.received
        await harness.task

    run(main)


@pytest.mark.parametrize("path", PATHS[:2])
@pytest.mark.parametrize("gap_s", [0.0, 0.01])
def test_request_behind_the_last_response_is_not_sent_on(path, gap_s):
    async def main():
        async def slow(received):
            await asyncio.sleep(0.2)
            await complete_response(received)

        upstream = ScriptedUpstream(slow)
        harness = await start_gateway(upstream, shutdown_limit_ms=LIMIT_MS)
        reader, writer = await connect(harness.client_address)
        harness.stop.set()
        await asyncio.sleep(0.05)
        writer.write(request(path, b"r1"))
        await asyncio.sleep(gap_s)
        writer.write(request(path, b"r2"))
        reply = await read_reply(reader)
        assert (reply.body, reply.headers[b"connection"]) == (BODY, b"close")
        assert await reader.read() == b""
        await harness.task
        assert [r.request_id for r in upstream.received] == [b"r1"]

    run(main)


def test_idle_kept_connection_is_closed_once_no_more_are_accepted():
    async def main():
        upstream = ScriptedUpstream(complete_response)
        harness = await start_gateway(upstream, shutdown_limit_ms=LIMIT_MS)
        reader, writer = await connect(harness.client_address)
        writer.write(request("/read/1"))
        await read_reply(reader)
        harness.stop.set()
        stopped_at_s = time.monotonic()
        assert await reader.read() == b""
        assert time.monotonic() - stopped_at_s < ACCEPT_MS / 1000.0 + 0.2
        await harness.task

    run(main)


def test_incomplete_request_is_refused_at_the_end():
    async def main():
        upstream = ScriptedUpstream(complete_response)
        harness = await start_gateway(upstream, shutdown_limit_ms=LIMIT_MS)
        extra = b"Content-Length: 5\r\n"
        message = request("/book/1", method=b"POST", extra=extra) + b"abc"
        reader, writer = await connect(harness.client_address)
        writer.write(message)
        harness.stop.set()
        reply = await read_reply(reader)
        assert reply.status == 503
        await harness.task
        assert not upstream.received

    run(main)
