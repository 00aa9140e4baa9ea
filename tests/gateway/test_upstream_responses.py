"""What clients get for each kind of valid and invalid upstream response."""

import asyncio
import socket
import struct
import time
from types import SimpleNamespace

import pytest

from buckthornrock.gateway import exchange
from tests.gateway.harness import (
    ID,
    STAMP,
    ScriptedUpstream,
    ask,
    now_ms,
    request,
    response_bytes,
    run,
    start_gateway,
)

BODY = b"whole body"


async def complete_response(received_request):
    await received_request.send(response_bytes(received_request.request_id, BODY))


async def byte_by_byte(received_request):
    for byte in response_bytes(received_request.request_id, BODY):
        await received_request.send(bytes([byte]))


async def chunked(received_request):
    head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id) + STAMP
    await received_request.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
    await received_request.send(b"5\r\nwhole\r\n5\r\n body\r\n0\r\n\r\n")


async def body_until_close(received_request):
    head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id) + STAMP
    await received_request.send(head + b"\r\n" + BODY)
    received_request.writer.close()


async def reset_after_body(received_request):
    head = b"HTTP/1.1 200 OK\r\n%s: %s\r\n" % (ID, received_request.request_id) + STAMP
    await received_request.send(head + b"\r\n" + BODY)
    # With a linger time of 0, closing the socket sends a TCP reset.
    sock = received_request.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    received_request.writer.transport.abort()


async def truncated_response(received_request):
    await received_request.send(response_bytes(received_request.request_id, BODY)[:-3])
    received_request.writer.close()


async def continue_first(received_request):
    await received_request.send(b"HTTP/1.1 100 Continue\r\n\r\n")
    await complete_response(received_request)


async def other_response_first(received_request):
    await received_request.send(response_bytes(b"another", b"not yours"))
    await complete_response(received_request)


async def other_response_only(received_request):
    await received_request.send(response_bytes(b"another", b"not yours"))
    received_request.writer.close()


async def extra_bytes_after(received_request):
    await received_request.send(
        response_bytes(received_request.request_id, BODY) + b"more"
    )


async def without_server_stamp(received_request):
    await received_request.send(
        response_bytes(received_request.request_id, BODY).replace(STAMP, b"")
    )


async def content_encoded(received_request):
    stamp = STAMP + b"Content-Encoding: gzip\r\n"
    await received_request.send(
        response_bytes(received_request.request_id, BODY).replace(STAMP, stamp)
    )


async def garbage(received_request):
    await received_request.send(b"\x00\x01 not an answer\r\n\r\n")
    received_request.writer.close()


async def close_without_response(received_request):
    received_request.writer.close()


async def server_error(received_request):
    await received_request.send(
        response_bytes(received_request.request_id, b"broken", b"500 Broken")
    )


async def refused(received_request):
    extra = STAMP + b"X-Buckthornrock-Not-Executed: 1\r\n"
    full = response_bytes(received_request.request_id, b"", b"503 Full").replace(
        STAMP, extra
    )
    await received_request.send(full)


async def misdirected(received_request):
    await received_request.send(
        response_bytes(received_request.request_id, b"", b"421 Other")
    )


@pytest.mark.parametrize(
    ("script", "status", "body"),
    [
        (complete_response, 200, BODY),
        (byte_by_byte, 200, BODY),
        (chunked, 200, BODY),
        (body_until_close, 200, BODY),
        (reset_after_body, 502, None),
        (truncated_response, 502, None),
        (continue_first, 200, BODY),
        (other_response_first, 200, BODY),
        (other_response_only, 502, None),
        (extra_bytes_after, 200, BODY),
        (without_server_stamp, 502, None),
        (content_encoded, 502, None),
        (garbage, 502, None),
        (close_without_response, 502, None),
        (server_error, 500, b"broken"),
        (refused, 503, None),
        (misdirected, 503, None),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
def test_non_idempotent_request_runs_at_most_once(script, status, body):
    async def main():
        upstream = ScriptedUpstream(script)
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/book/1"))
        assert reply.status == status
        assert body is None or reply.body == body
        has_run = script not in (refused, misdirected)
        assert not has_run or len(upstream.received) == 1
        # Status 503 promises that the request has not run: only for refusals.
        assert (reply.status == 503) == (not has_run)

    run(main)


@pytest.mark.parametrize(
    "script",
    [
        truncated_response,
        close_without_response,
        garbage,
        server_error,
        without_server_stamp,
        refused,
        misdirected,
    ],
)
def test_idempotent_request_is_retried_at_another_upstream(script):
    async def main():
        bad, good = (
            ScriptedUpstream(script),
            ScriptedUpstream(script, complete_response),
        )
        good.scripts = (complete_response,)
        harness = await start_gateway(bad, good)
        for number in range(4):
            request_id = b"r%d" % number
            reply = await ask(harness.client_address, request("/read/1", request_id))
            assert (reply.status, reply.body) == (200, BODY)
        assert bad.received

    run(main)


def test_refused_non_idempotent_request_is_retried_elsewhere():
    async def main():
        full, free = ScriptedUpstream(refused), ScriptedUpstream(complete_response)
        harness = await start_gateway(full, free)
        replies = [
            await ask(harness.client_address, request("/book/1", b"r%d" % number))
            for number in range(4)
        ]
        assert {reply.status for reply in replies} == {200}
        assert len(free.received) == 4
        assert full.received

    run(main)


class RepeatingUpstream(ScriptedUpstream):
    """Refuses the first request, and writes that refusal again on its connection.

    It runs all later requests; one on the connection of the refused one gets the
    refusal before the response of its run.
    """

    def __init__(self) -> None:
        super().__init__(self._respond)
        self.n_run = 0
        self._refused_on = None

    async def _respond(self, received_request):
        if self._refused_on is None:
            self._refused_on = received_request.writer
            await refused(received_request)
            return
        if self._refused_on is received_request.writer:
            await refused(received_request)
        self.n_run += 1
        await complete_response(received_request)


@pytest.mark.parametrize("path", ["/book/1", "/read/1"])
def test_refusal_written_again_on_a_kept_connection(path):
    async def main():
        upstream = RepeatingUpstream()
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request(path))
        assert (reply.status, reply.body) == (200, BODY)
        assert upstream.n_run == 1

    run(main)


def test_refusal_written_again_does_not_deny_a_run():
    async def main():
        upstream = RepeatingUpstream()
        harness = await start_gateway(upstream, budget=1.25)
        reply = await ask(harness.client_address, request("/book/1"))
        assert (reply.status == 503) == (upstream.n_run == 0)

    run(main)


def test_refusal_written_again_is_not_believed_of_a_request_with_the_same_id():
    """A client that comes back with the id of its refused request."""

    async def main():
        upstream = RepeatingUpstream()
        harness = await start_gateway(upstream, budget=0.0)
        first = await ask(harness.client_address, request("/book/1"))
        assert (first.status, upstream.n_run) == (503, 0)
        # The upstream takes nothing for a moment after its refusal.
        await asyncio.sleep(0.2)
        again = await ask(harness.client_address, request("/book/1"))
        assert (again.status, again.body) == (200, BODY)
        assert upstream.n_run == 1

    run(main)


def test_not_executed_is_not_believed_of_a_success():
    async def contradictory(received_request):
        extra = STAMP + b"X-Buckthornrock-Not-Executed: 1\r\n"
        message = response_bytes(received_request.request_id, BODY)
        await received_request.send(message.replace(STAMP, extra))

    async def main():
        upstream = ScriptedUpstream(contradictory)
        harness = await start_gateway(upstream)
        reply = await ask(harness.client_address, request("/book/1"))
        assert (reply.status, reply.body) == (200, BODY)
        assert len(upstream.received) == 1

    run(main)


def test_request_that_may_have_run_never_gets_503():
    async def main():
        harnesses = []

        async def leave_and_close(received_request):
            ids = [u.upstream_id for u in harnesses[0].fleet_state.directory.all()]
            harnesses[0].fleet_state.upstreams.change([], ids, 2)
            received_request.writer.close()

        harnesses.append(await start_gateway(ScriptedUpstream(leave_and_close)))
        reply = await ask(harnesses[0].client_address, request("/read/1"))
        assert reply.status == 502

    run(main)


def test_exhausted_retry_budget_stops_retries():
    async def main():
        upstreams = [ScriptedUpstream(refused) for _ in range(3)]
        harness = await start_gateway(*upstreams, budget=0.0)
        reply = await ask(harness.client_address, request("/book/1"))
        assert reply.status == 503
        assert float(reply.headers[b"retry-after"]) > 0.0
        assert sum(len(upstream.received) for upstream in upstreams) == 1

    run(main)


async def silent(received_request):
    await received_request.reader.read()


@pytest.mark.parametrize("path", ["/long/1", "/note/1"])
def test_request_does_not_wait_at_an_engine_until_its_weights_are_too_old(path):
    """The engine's weights may be used for 0.4 s more, and a request waits there."""

    async def main():
        harness = await start_gateway(ScriptedUpstream(silent))
        harness.fleet_state.wanted_versions.on_wanted("m", 2, "test", age_ms=19_600.0)
        began_at_ms = now_ms()
        reply = await ask(harness.client_address, request(path))
        assert reply.status == 502
        assert 300.0 < now_ms() - began_at_ms < 1_500.0

    run(main)


@pytest.mark.parametrize("path", ["/book/1", "/long/1"])
def test_deadline_does_not_count_as_a_failure_of_the_upstream(monkeypatch, path):
    """A stall before the request's limit was set let the attempt's limit pass first.

    The client got 502 instead of 504, and the upstream was blocked.
    """

    def timeout_after_stall(delay_s):
        time.sleep(0.02)
        return asyncio.timeout(delay_s)

    stalling = SimpleNamespace(
        timeout=timeout_after_stall, CancelledError=asyncio.CancelledError
    )
    monkeypatch.setattr(exchange, "asyncio", stalling)

    async def main():
        harness = await start_gateway(ScriptedUpstream(silent))
        message = request(path, extra=b"X-Buckthornrock-Deadline-Ms: 300\r\n")
        reply = await ask(harness.client_address, message)
        assert reply.status == 504
        loads = harness.fleet_state.loads
        for upstream in harness.fleet_state.directory.all():
            assert not loads.of(upstream.incarnation).blocked_until_ms

    run(main)


async def plain_and_slow(received_request):
    message = response_bytes(received_request.request_id, BODY)
    message = message.replace(b"\r\n", b"\r\nContent-Type: text/plain\r\n", 1)
    await received_request.send(message[:-4])
    await asyncio.sleep(0.8)
    await received_request.send(message[-4:])


def test_response_that_began_in_time_is_not_cut_when_its_weights_become_too_old():
    """A buffered response takes longer than its weights may still be used."""

    async def main():
        harness = await start_gateway(ScriptedUpstream(plain_and_slow))
        harness.fleet_state.wanted_versions.on_wanted("m", 2, "test", age_ms=19_600.0)
        reply = await ask(harness.client_address, request("/long/1"))
        assert (reply.status, reply.body) == (200, BODY)

    run(main)


def test_error_response_of_the_last_attempt_is_forwarded():
    async def main():
        upstreams = [ScriptedUpstream(server_error) for _ in range(3)]
        harness = await start_gateway(*upstreams)
        reply = await ask(harness.client_address, request("/read/1"))
        assert (reply.status, reply.body) == (500, b"broken")
        assert b"x-buckthornrock-server-stamp" in reply.headers
        assert sum(len(upstream.received) for upstream in upstreams) == 2

    run(main)
