"""Slow clients, oversized or malformed requests, API keys, routes and shutdown."""

import asyncio

import pytest

from buckthornrock.catalog.configuration import ClientLimits
from tests.gateway.harness import (
    KEY,
    ScriptedUpstream,
    ask,
    connect,
    read_reply,
    request,
    run,
    start_gateway,
)
from tests.gateway.test_upstream_responses import BODY, complete_response

SMALL = ClientLimits(1_024, 2_048, 200.0, 400.0)
N_SLOW_CLIENTS = 60


def test_incomplete_heads_block_no_other_client():
    async def main():
        harness = await start_gateway(ScriptedUpstream(complete_response))
        slow = [await connect(harness.client_address) for _ in range(N_SLOW_CLIENTS)]
        for _, writer in slow:
            writer.write(b"GET /read/1 HTTP/1.1\r\nHost: shop")
        reply = await ask(harness.client_address, request("/read/1"))
        assert reply.body == BODY
        assert not any(reader.at_eof() for reader, _ in slow)

    run(main)


# Each byte restarted the time limit, so that a client could keep a head incomplete and
# its connection open for as long as it liked.
def test_head_that_arrives_byte_by_byte_is_refused_at_its_time_limit():
    async def main():
        harness = await start_gateway(ScriptedUpstream(complete_response), limits=SMALL)
        reader, writer = await connect(harness.client_address)
        reply = asyncio.create_task(read_reply(reader))
        for byte in b"GET /read/1 HTTP/1.1\r\nHost: shop.example.of.a.slow.client":
            if reply.done():
                break
            writer.write(bytes([byte]))
            await asyncio.sleep(SMALL.header_timeout_ms / 4_000.0)
        assert reply.done()
        assert reply.result().status == 408

    run(main)


@pytest.mark.parametrize(
    ("message", "status"),
    [
        (request("/read/1", extra=b"X-Long: " + b"x" * 2_000 + b"\r\n"), 431),
        (b"GET /read/1 HTTP/1.1\r\nX-Long: " + b"x" * 2_000, 431),
        (request("/book/1", method=b"POST", extra=b"Content-Length: 3000\r\n"), 413),
        (b"GET /read/1 HTTP/1.1\r\nHost: a\r\nBad\x00Name: 1\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /read/1 HTTP/1.1\r\nHost: shop", 408),
        (request("/book/1", method=b"POST", extra=b"Content-Length: 5\r\n"), 408),
    ],
)
def test_request_beyond_the_limits_is_refused(message, status):
    async def main():
        upstream = ScriptedUpstream(complete_response)
        harness = await start_gateway(upstream, limits=SMALL)
        reader, writer = await connect(harness.client_address)
        writer.write(message)
        if status == 413:
            writer.write(b"x" * 3_000)
        reply = await read_reply(reader)
        assert reply.status == status
        assert not upstream.received

    run(main)


def test_idle_connection_is_closed():
    async def main():
        harness = await start_gateway(ScriptedUpstream(complete_response), limits=SMALL)
        reader, _ = await connect(harness.client_address)
        assert await reader.read() == b""

    run(main)


def test_connection_serves_many_requests_in_order():
    async def main():
        harness = await start_gateway(ScriptedUpstream(complete_response))
        reader, writer = await connect(harness.client_address)
        writer.write(request("/read/1", b"r1") + request("/read/2", b"r2"))
        for expected in (b"r1", b"r2"):
            reply = await read_reply(reader)
            assert reply.headers[b"x-buckthornrock-request-id"] == expected

    run(main)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/read/1", KEY, 200),
        ("/read/1", "unknown", 401),
        ("/open/1", "unknown", 200),
        ("/nowhere/1", KEY, 404),
    ],
)
def test_configuration_decides_access(path, key, status):
    async def main():
        harness = await start_gateway(ScriptedUpstream(complete_response))
        message = request(path).replace(KEY.encode(), key.encode())
        assert (await ask(harness.client_address, message)).status == status

    run(main)


def test_body_is_forwarded_unchanged():
    async def main():
        upstream = ScriptedUpstream(complete_response)
        harness = await start_gateway(upstream)
        extra = b"Transfer-Encoding: chunked\r\n"
        message = request("/book/1?a=%20b", method=b"POST", extra=extra)
        await ask(harness.client_address, message + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        received_request = upstream.received[0]
        assert received_request.body == b"abcde"
        assert received_request.head.startswith(b"POST /book/1?a=%20b HTTP/1.1\r\n")

    run(main)


def test_two_content_lengths_are_rejected():
    async def main():
        upstream = ScriptedUpstream(complete_response)
        harness = await start_gateway(upstream)
        extra = b"Content-Length: 3\r\nContent-Length: 4\r\n"
        message = request("/book/1", method=b"POST", extra=extra) + b"abcd"
        assert (await ask(harness.client_address, message)).status == 400
        assert not upstream.received

    run(main)


def test_shutdown_finishes_open_requests():
    async def main():
        release = asyncio.Event()

        async def held(received_request):
            await release.wait()
            await complete_response(received_request)

        upstream = ScriptedUpstream(held)
        harness = await start_gateway(upstream)
        reader, writer = await connect(harness.client_address)
        writer.write(request("/book/1"))
        while not upstream.received:
            await asyncio.sleep(0.01)
        harness.stop.set()
        await asyncio.sleep(0)
        while (
            await ask(harness.ready_address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        ).status != 503:
            await asyncio.sleep(0.01)
        late = asyncio.create_task(
            ask(harness.client_address, request("/read/1", b"r2"))
        )
        release.set()
        reply = await read_reply(reader)
        assert reply.body == BODY
        assert reply.headers[b"connection"] == b"close"
        assert (await late).status == 200
        await harness.task

    run(main)


def test_shutdown_cuts_no_request_of_busy_clients():
    n_clients = 4

    async def slow(received_request):
        await asyncio.sleep(0.2)
        await complete_response(received_request)

    async def main():
        harness = await start_gateway(ScriptedUpstream(slow))

        async def ask_on(number):
            await asyncio.sleep(0.05 * number)
            while True:
                try:
                    reader, writer = await connect(harness.client_address)
                except OSError:
                    return
                writer.write(request("/read/1"))
                # An accepted connection gets a response, also at the shutdown's end.
                assert (await read_reply(reader)).body == BODY

        clients = [asyncio.create_task(ask_on(n)) for n in range(n_clients)]
        harness.stop.set()
        await asyncio.gather(harness.task, *clients)
        stopped = dict(harness.logged)["gateway.stopped"]
        assert stopped["n_cut_requests"] == 0

    run(main)


def test_instance_without_configuration_responds_503():
    async def main():
        harness = await start_gateway(ScriptedUpstream(complete_response))
        harness.fleet_state.configuration.table = None
        reply = await ask(harness.client_address, request("/book/1"))
        assert reply.status == 503
        ready_address = await ask(
            harness.ready_address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        assert ready_address.status == 503

    run(main)
