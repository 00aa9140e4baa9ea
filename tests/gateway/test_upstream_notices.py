"""Upstreams that say that they leave or want quiet get no further requests."""

import asyncio
import time

import pytest

from buckthornrock.catalog import upstream_notices
from buckthornrock.catalog.upstream_notices import (
    DEFAULT_QUIET_MS,
    FETCH_FROM_LEAVING_MS,
    Notice,
)
from buckthornrock.gateway import dispatcher as dispatcher_module
from buckthornrock.gateway.pool import ConnectionPool
from buckthornrock.scheduling.choice import choose
from tests.gateway.harness import (
    ID,
    STAMP,
    ScriptedUpstream,
    ask,
    connect,
    read_reply,
    request,
    response_bytes,
    run,
    start_gateway,
)
from tests.gateway.test_streams import EVENTS, N_EVENTS, event, stream
from tests.gateway.test_upstream_responses import BODY, complete_response

LEAVING = b"Server-Leaving: 1\r\n"
NOT_EXECUTED = b"X-Buckthornrock-Not-Executed: 1\r\n"
CLOSE = b"Connection: close\r\n"
#: A quiet time that no request of these tests can wait for.
LONG_QUIET_S = b"30"


def response(status: bytes = b"200 OK", extra: bytes = b"", body: bytes = BODY):
    """Return a script that responds with further headers."""

    async def script(received_request):
        message = response_bytes(received_request.request_id, body, status)
        await received_request.send(message.replace(STAMP, STAMP + extra))
        if extra.endswith(CLOSE):
            received_request.writer.close()

    return script


def refusal(retry_after: bytes, extra: bytes = b""):
    quiet = b"Retry-After: %s\r\n" % retry_after
    return response(b"503 Full", NOT_EXECUTED + quiet + extra, b"")


def whole_stream(extra: bytes = b"", last_number: int = N_EVENTS, is_ended=True):
    """Return a script that streams events after a head with further headers."""

    async def script(received_request):
        head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id)
        head += STAMP + extra + b"Content-Type: text/event-stream\r\n"
        await received_request.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, last_number + 1):
            piece = event(number)
            await received_request.send(b"%x\r\n%s\r\n" % (len(piece), piece))
        if is_ended:
            await received_request.send(b"0\r\n\r\n")
            return
        received_request.writer.close()

    return script


def fields_logged(harness, event_name):
    return [fields for name, fields in harness.logged if name == event_name]


@pytest.mark.parametrize("closing", [b"", CLOSE], ids=["kept", "new"])
@pytest.mark.parametrize(
    ("path", "script"),
    [
        ("/read/1", lambda extra: response(extra=extra)),
        ("/book/1", lambda extra: response(extra=extra)),
        ("/book/1", lambda extra: response(b"404 None", extra)),
        ("/book/1", lambda extra: response(b"500 Broken", extra)),
        ("/book/1", lambda extra: response(b"503 Busy", extra)),
        ("/read/1", lambda extra: response(b"503 Full", NOT_EXECUTED + extra)),
        ("/book/1", lambda extra: response(b"503 Full", NOT_EXECUTED + extra)),
        ("/long/1", lambda extra: whole_stream(extra)),
        ("/note/1", lambda extra: whole_stream(extra)),
        ("/long/1", lambda extra: response(b"500 Broken", extra)),
    ],
)
def test_upstream_that_leaves_gets_no_further_requests(path, script, closing):
    async def main():
        upstream = ScriptedUpstream(script(LEAVING + closing))
        harness = await start_gateway(upstream)
        await ask(harness.client_address, request(path))
        for number in range(3):
            request_id = b"later-%d" % number
            reply = await ask(harness.client_address, request(path, request_id))
            assert reply.status == 503
            assert float(reply.headers[b"retry-after"]) > 0.0
        assert len(upstream.received) == 1
        assert len(fields_logged(harness, "gateway.upstream_leaving")) == 1

    run(main)


@pytest.mark.parametrize("path", ["/read/1", "/book/1"])
def test_requests_go_to_the_others_once_an_upstream_leaves(path):
    async def main():
        leaving = ScriptedUpstream(response(extra=LEAVING))
        other = ScriptedUpstream(complete_response)
        harness = await start_gateway(leaving, other)
        for number in range(8):
            reply = await ask(harness.client_address, request(path, b"r%d" % number))
            assert (reply.status, reply.body) == (200, BODY)
        assert len(leaving.received) <= 1

    run(main)


@pytest.mark.parametrize(("started_ms", "n_received"), [(1, 1), (2, 2)])
def test_only_a_new_start_takes_a_leaving_back(started_ms, n_received):
    async def main():
        upstream = ScriptedUpstream(response(extra=LEAVING))
        harness = await start_gateway(upstream)
        await ask(harness.client_address, request("/read/1"))
        entries = [
            known._replace(started_ms=started_ms)
            for known in harness.fleet_state.directory.all()
        ]
        harness.fleet_state.upstreams.change(entries, [], 2)
        await ask(harness.client_address, request("/read/1", b"r2"))
        assert len(upstream.received) == n_received

    run(main)


def test_lapsed_entry_that_returns_stays_left():
    async def main():
        upstream = ScriptedUpstream(response(extra=LEAVING))
        harness = await start_gateway(upstream)
        await ask(harness.client_address, request("/read/1"))
        fleet_state = harness.fleet_state
        entries = fleet_state.directory.all()
        fleet_state.upstreams.change([], [u.upstream_id for u in entries], 2)
        fleet_state.retain_live()
        fleet_state.upstreams.change(entries, [], 3)
        reply = await ask(harness.client_address, request("/read/1", b"r2"))
        assert (reply.status, len(upstream.received)) == (503, 1)

    run(main)


def test_stream_goes_on_at_an_upstream_that_leaves():
    async def main():
        upstream = ScriptedUpstream(whole_stream(LEAVING))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/long/1"))
        assert (reply.status, reply.body, reply.is_complete) == (200, EVENTS, True)

    run(main)


def test_leaving_is_learnt_from_the_head_of_a_stream_that_goes_on():
    async def main():
        is_released = asyncio.Event()

        async def slow(received_request):
            await whole_stream(LEAVING, last_number=1, is_ended=False)(
                received_request._replace(writer=_Unclosed(received_request.writer))
            )
            await is_released.wait()
            await received_request.send(b"0\r\n\r\n")

        upstream = ScriptedUpstream(slow)
        harness = await start_gateway(upstream)
        reader, writer = await connect(harness.client_address)
        writer.write(request("/long/1"))
        while not fields_logged(harness, "gateway.upstream_leaving"):
            await asyncio.sleep(0.01)
        later = await ask(harness.client_address, request("/long/1", b"r2"))
        assert (later.status, len(upstream.received)) == (503, 1)
        is_released.set()
        reply = await read_reply(reader)
        assert (reply.body, reply.is_complete) == (event(1), True)

    run(main)


class _Unclosed:
    """A writer that a script can't close."""

    def __init__(self, writer) -> None:
        self._writer = writer

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    async def drain(self) -> None:
        await self._writer.drain()

    def close(self) -> None:
        """Leave the connection open."""


def test_interrupted_stream_is_not_resumed_at_an_upstream_that_leaves():
    async def main():
        broken = whole_stream(LEAVING, last_number=3, is_ended=False)
        upstream = ScriptedUpstream(broken, stream(N_EVENTS))
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.status, reply.is_complete) == (200, False)
        assert len(upstream.received) == 1

    run(main)


def test_interrupted_stream_is_resumed_at_another_upstream():
    async def main():
        broken = whole_stream(LEAVING, last_number=3, is_ended=False)
        upstreams = [ScriptedUpstream(broken, stream(N_EVENTS)) for _ in range(2)]
        upstreams[1].scripts = (stream(N_EVENTS),)
        harness = await start_gateway(*upstreams)
        reply = await ask(harness.client_address, request("/note/1"))
        assert (reply.body, reply.is_complete) == (EVENTS, True)
        assert len(upstreams[0].received) <= 1

    run(main)


@pytest.mark.parametrize("closing", [b"", CLOSE], ids=["kept", "new"])
@pytest.mark.parametrize("path", ["/read/1", "/book/1", "/note/1"])
def test_requests_that_cannot_wait_for_the_quiet_time_are_refused_at_once(
    path, closing
):
    """Four attempts of each request were sent, 120 ms after one another."""

    async def main():
        upstream = ScriptedUpstream(refusal(LONG_QUIET_S, closing))
        harness = await start_gateway(upstream)
        started_s = time.monotonic()
        for number in range(8):
            request_id = b"r%d" % number
            reply = await ask(harness.client_address, request(path, request_id))
            assert reply.status == 503
            assert 28.0 < float(reply.headers[b"retry-after"]) <= 30.0
        assert time.monotonic() - started_s < 2.0
        assert len(upstream.received) == 1
        assert len(fields_logged(harness, "gateway.quiet_asked")) == 1

    run(main)


@pytest.mark.parametrize("closing", [b"", CLOSE], ids=["kept", "new"])
@pytest.mark.parametrize(
    ("path", "script"),
    [
        ("/read/1", complete_response),
        ("/book/1", complete_response),
        ("/long/1", stream(N_EVENTS)),
        ("/note/1", stream(N_EVENTS)),
    ],
)
def test_requests_that_can_wait_are_not_sent_in_the_quiet_time(path, script, closing):
    async def main():
        upstream = ScriptedUpstream(refusal(b"3", closing), script)
        harness = await start_gateway(upstream)
        tasks = []
        for number in range(8):
            message = request(path, b"r%d" % number)
            tasks.append(asyncio.create_task(ask(harness.client_address, message)))
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.2)
        assert len(upstream.received) == 1
        assert not any(task.done() for task in tasks)
        replies = await asyncio.gather(*tasks)
        assert [reply.status for reply in replies] == [200] * 8
        assert len(upstream.received) == 9

    run(main)


def test_request_that_can_be_served_after_the_quiet_time_waits_for_it():
    async def main():
        upstream = ScriptedUpstream(refusal(b"0.6"), complete_response)
        harness = await start_gateway(upstream)
        started_s = time.monotonic()
        reply = await ask(harness.client_address, request("/book/1"))
        assert (reply.status, reply.body) == (200, BODY)
        assert time.monotonic() - started_s >= 0.6
        assert len(upstream.received) == 2

    run(main)


def test_request_goes_elsewhere_while_an_upstream_wants_quiet():
    async def main():
        quiet = ScriptedUpstream(refusal(LONG_QUIET_S))
        other = ScriptedUpstream(complete_response)
        harness = await start_gateway(quiet, other)
        for number in range(8):
            request_id = b"r%d" % number
            reply = await ask(harness.client_address, request("/book/1", request_id))
            assert (reply.status, reply.body) == (200, BODY)
        assert len(quiet.received) <= 1

    run(main)


@pytest.mark.parametrize(
    ("retry_after", "quiet_ms"),
    [
        (b"soon", DEFAULT_QUIET_MS),
        (b"-5", DEFAULT_QUIET_MS),
        (b"nan", DEFAULT_QUIET_MS),
        (b"Sat, 05 Dec 2026 05:00:00 GMT", DEFAULT_QUIET_MS),
        (b"", DEFAULT_QUIET_MS),
    ],
)
def test_retry_after_that_is_no_time_gives_a_bounded_quiet_time(retry_after, quiet_ms):
    async def main():
        upstream = ScriptedUpstream(refusal(retry_after), complete_response)
        harness = await start_gateway(upstream)
        started_s = time.monotonic()
        reply = await ask(harness.client_address, request("/book/1"))
        assert (reply.status, reply.body) == (200, BODY)
        assert time.monotonic() - started_s >= quiet_ms / 1000.0
        (logged,) = fields_logged(harness, "gateway.quiet_asked")
        assert (logged["asked_ms"], logged["quiet_ms"]) == (None, quiet_ms)

    run(main)


def test_notices_of_another_upstream_at_the_address_are_ignored():
    async def main():
        upstream = ScriptedUpstream(
            response(b"421 Other", LEAVING, b""), complete_response
        )
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/book/1"))
        assert (reply.status, reply.body) == (200, BODY)

    run(main)


@pytest.mark.parametrize(
    "notice", [Notice(is_leaving=True), Notice(False, True, 30_000.0)]
)
def test_reserved_request_is_placed_again_if_its_upstream_withdraws(
    notice, monkeypatch
):
    """A notice arrives while the connection for a reserved request is opened."""
    acquire = ConnectionPool.acquire
    harnesses, withdrawn = [], []

    async def acquire_and_withdraw(pool, upstream, *arguments):
        acquired = await acquire(pool, upstream, *arguments)
        if not withdrawn:
            withdrawn.append(upstream)
            harnesses[0].fleet_state.notices.on_notice(upstream, notice)
        return acquired

    monkeypatch.setattr(ConnectionPool, "acquire", acquire_and_withdraw)

    async def main():
        upstreams = [ScriptedUpstream(complete_response) for _ in range(2)]
        harnesses.append(await start_gateway(*upstreams))
        reply = await ask(harnesses[0].client_address, request("/book/1"))
        assert (reply.status, reply.body) == (200, BODY)
        for upstream in upstreams:
            is_withdrawn = upstream.address == withdrawn[0].address
            assert len(upstream.received) == (0 if is_withdrawn else 1)

    run(main)


@pytest.mark.parametrize(
    ("notice", "fetch_ms", "is_fetched"),
    [
        (Notice(), 0.0, True),
        (Notice(is_leaving=True), FETCH_FROM_LEAVING_MS, True),
        (Notice(is_leaving=True), 0.0, False),
        (Notice(False, True, 30_000.0), FETCH_FROM_LEAVING_MS, False),
        (Notice(True, True, 30_000.0), FETCH_FROM_LEAVING_MS, False),
    ],
)
def test_parts_are_not_fetched_from_an_upstream_that_withdraws(
    notice, fetch_ms, is_fetched, monkeypatch
):
    """A notice arrives while the connection to the reserved upstream is opened."""
    monkeypatch.setattr(upstream_notices, "FETCH_FROM_LEAVING_MS", fetch_ms)
    acquire = ConnectionPool.acquire
    harnesses, sources = [], []

    async def acquire_and_withdraw(pool, upstream, *arguments):
        for source in harnesses[0].fleet_state.directory.all():
            if source.address == sources[0].address:
                harnesses[0].fleet_state.notices.on_notice(source, notice)
        return await acquire(pool, upstream, *arguments)

    def place_with_source(demand, upstreams, view):
        chosen = [u for u in upstreams if u.address != sources[0].address]
        placement = choose(demand, chosen, view)
        return placement._replace(kv_source=sources[0].address)

    monkeypatch.setattr(ConnectionPool, "acquire", acquire_and_withdraw)
    monkeypatch.setattr(dispatcher_module, "choose", place_with_source)

    async def main():
        sources.append(ScriptedUpstream(stream(N_EVENTS)))
        reader = ScriptedUpstream(stream(N_EVENTS))
        harnesses.append(await start_gateway(sources[0], reader))
        reply = await ask(harnesses[0].client_address, request("/long/1"))
        assert (reply.body, reply.is_complete) == (EVENTS, True)
        (received,) = reader.received
        kv_source = received.header(b"x-buckthornrock-kv-source")
        assert kv_source.decode() == (sources[0].address if is_fetched else "")

    run(main)


@pytest.mark.parametrize(
    ("leaves", "limit_s"), [(b"", 30.0), (LEAVING, 3.0)], ids=["stays", "leaves"]
)
def test_queued_requests_are_refused_at_once_if_their_upstream_leaves(leaves, limit_s):
    async def main():
        is_released = asyncio.Event()

        async def hold(received_request):
            await is_released.wait()
            await response(extra=leaves)(received_request)

        upstream = ScriptedUpstream(hold)
        harness = await start_gateway(upstream)
        tasks = [
            asyncio.create_task(
                ask(harness.client_address, request("/book/1", b"r%d" % number))
            )
            for number in range(12)
        ]
        while len(upstream.received) < 8:
            await asyncio.sleep(0.01)
        started_s = time.monotonic()
        is_released.set()
        statuses = [reply.status for reply in await asyncio.gather(*tasks)]
        assert time.monotonic() - started_s < limit_s
        # The requests in flight go on; those that were queued are not sent.
        n_served = 8 if leaves else 12
        assert statuses.count(200) == len(upstream.received) == n_served
        assert statuses.count(503) == 12 - n_served

    run(main)


def test_notices_are_not_forwarded_to_clients():
    async def main():
        extra = LEAVING + b"Retry-After: 5\r\n"
        busy = ScriptedUpstream(response(b"503 Busy", extra))
        harness = await start_gateway(busy)
        reply = await ask(harness.client_address, request("/book/1"))
        assert (reply.status, reply.body) == (503, BODY)
        assert b"server-leaving" not in reply.headers
        assert b"retry-after" not in reply.headers

    run(main)
