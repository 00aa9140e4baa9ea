"""Charging of client accounts by a real gateway: refusals, refunds, log and metrics."""

import asyncio

import msgspec
import pytest

from buckthornrock.admission.quota_limits import AccountLimit
from buckthornrock.catalog.configuration import ClientAccount
from buckthornrock.wire.numeric_ids import account_number
from tests.gateway.harness import (
    KEY,
    STAMP,
    ScriptedUpstream,
    ask,
    configuration,
    connect,
    now_ms,
    request,
    response_bytes,
    run,
    start_gateway,
)

N_PAID = 2
#: Earns one request in 1,000 s, so that the time that a test takes changes nothing.
SLOW = AccountLimit(0.001, N_PAID)
#: Rows that are served must end before it on a slow machine; others wait for it.
DEADLINE = b"X-Buckthornrock-Deadline-Ms: 1500\r\n"


def with_limit(version, limit, **changes):
    accounts = {KEY: ClientAccount("shop", None, limit)}
    return configuration(version, accounts=accounts, **changes)


async def start_limited(*upstreams, limit=SLOW, **changes):
    """Start a gateway whose account has a full bucket that hardly refills."""
    harness = await start_gateway(*upstreams, budget=99.0)
    fast = limit._replace(rate_per_s=1e6)
    harness.fleet_state.on_configuration(with_limit(2, fast, **changes), b"", "test")
    while level(harness) != limit.burst:
        await asyncio.sleep(0.005)
    harness.fleet_state.on_configuration(with_limit(3, limit, **changes), b"", "test")
    return harness


def level(harness):
    view = harness.quota.view(account_number("shop"), now_ms())
    return round(view.level, 1) if view else None


async def completed(received):
    await received.send(response_bytes(received.request_id, b"ok"))


async def declined(received):
    head = response_bytes(received.request_id, b"", b"503 Full")
    extra = STAMP + b"X-Buckthornrock-Not-Executed: 1\r\n"
    await received.send(head.replace(STAMP, extra))


async def declined_slowly(received):
    """State that nothing ran, but never send the body of the refusal."""
    head = response_bytes(received.request_id, b"Full", b"503 Full")
    extra = STAMP + b"X-Buckthornrock-Not-Executed: 1\r\n"
    await received.send(head.replace(STAMP, extra)[:-4])


async def broken_off(received):
    received.writer.close()


async def silent(received):
    await asyncio.sleep(60.0)


@pytest.mark.parametrize(
    ("path", "scripts", "status", "n_charged"),
    [
        ("/read/1", [completed], 200, 1),
        ("/book/1", [completed], 200, 1),
        ("/read/1", [declined], 503, 0),
        ("/book/1", [declined], 503, 0),
        ("/book/1", [broken_off], 502, 1),
        ("/read/1", [declined, completed], 200, 1),
        ("/read/1", [broken_off, completed], 200, 1),
        ("/read/1", [broken_off, declined], 502, 1),
        ("/book/1", [silent], 504, 1),
        ("/read/1", [], 503, 0),
    ],
)
def test_a_request_is_charged_once_unless_it_provably_did_not_run(
    path, scripts, status, n_charged
):
    """Guards against a retry that is charged again and a refusal that stays charged."""

    async def main():
        upstreams = [ScriptedUpstream(*scripts)] if scripts else []
        harness = await start_limited(*upstreams)
        reply = await ask(harness.client_address, request(path, extra=DEADLINE))
        assert (reply.status, level(harness)) == (status, N_PAID - n_charged)

    run(main)


def test_request_to_an_upstream_that_accepts_no_connection_is_refunded():
    async def main():
        harness = await start_limited(ScriptedUpstream(completed))
        upstreams = [
            upstream._replace(address="127.0.0.1:1", started_ms=2)
            for upstream in harness.fleet_state.directory.all()
        ]
        harness.fleet_state.upstreams.replace(upstreams, 2)
        reply = await ask(harness.client_address, request("/read/1", extra=DEADLINE))
        assert (reply.status, level(harness)) == (503, N_PAID)

    run(main)


def test_refusal_whose_body_outlasts_the_attempt_is_refunded():
    """Guards against a declined request that counts as one that may have run.

    The limit of the first attempt, half of the deadline, ends before that of the body.
    """

    async def main():
        harness = await start_limited(ScriptedUpstream(declined_slowly))
        deadline = b"X-Buckthornrock-Deadline-Ms: 380\r\n"
        reply = await ask(harness.client_address, request("/read/1", extra=deadline))
        # On a slow machine, the deadline may end before the limit of the body.
        assert reply.status in (503, 504)
        assert level(harness) == N_PAID

    run(main)


@pytest.mark.parametrize("is_leaving", [True, False], ids=["leaves", "deadline"])
def test_request_that_ends_in_the_wait_queue_is_refunded(is_leaving):
    """The only upstream takes no request, so that one waits until it ends."""

    async def main():
        harness = await start_limited(ScriptedUpstream(completed))
        block_upstreams(harness)
        _, waiting = await connect(harness.client_address)
        waiting.write(request("/read/1", extra=b"" if is_leaving else DEADLINE))
        await until(lambda: level(harness) == N_PAID - 1)
        assert harness.gateway._dispatcher.n_waiting() == 1
        if is_leaving:
            waiting.close()
        await until(lambda: level(harness) == N_PAID)

    run(main)


def test_charge_of_tokens_is_not_refunded_as_requests():
    """Guards against a refund that fills the bucket of a limit with another unit."""

    async def main():
        tokens = AccountLimit(0.001, 500, counts_tokens=True, n_plain_tokens=30)
        harness = await start_limited(ScriptedUpstream(completed), limit=tokens)
        block_upstreams(harness)
        _, waiting = await connect(harness.client_address)
        waiting.write(request("/read/1"))
        await until(lambda: level(harness) == 470)
        harness.fleet_state.on_configuration(with_limit(4, SLOW), b"", "test")
        waiting.close()
        await until(lambda: "gateway.client_left" in dict(harness.logged))
        assert level(harness) == 0

    run(main)


@pytest.mark.parametrize(
    ("script", "n_charged"),
    [(silent, 1), (declined_slowly, 0)],
    ids=["may run", "declined"],
)
def test_client_that_leaves_is_refunded_only_if_its_request_did_not_run(
    script, n_charged
):
    async def main():
        upstream = ScriptedUpstream(script)
        harness = await start_limited(upstream)
        _, writer = await connect(harness.client_address)
        writer.write(request("/book/1"))
        await until(lambda: upstream.received)
        await asyncio.sleep(0.05)
        writer.close()
        await until(lambda: "gateway.client_left" in dict(harness.logged))
        assert level(harness) == N_PAID - n_charged

    run(main)


def block_upstreams(harness):
    """Let all further requests wait in the queue."""
    for upstream in harness.fleet_state.directory.all():
        harness.gateway._dispatcher.block(upstream, 60_000.0)


async def until(holds):
    while not holds():
        await asyncio.sleep(0.005)


def test_request_over_the_quota_is_refused_without_reaching_an_upstream():
    """The refusal is a problem document that names the time to come back."""

    async def main():
        upstream = ScriptedUpstream(completed)
        harness = await start_limited(upstream, limit=SLOW._replace(rate_per_s=0.01))
        for _ in range(N_PAID):
            reply = await ask(harness.client_address, request("/read/1"))
            assert reply.status == 200
        reply = await ask(harness.client_address, request("/read/1", b"r3"))
        assert reply.status == 429
        assert reply.headers[b"content-type"] == b"application/problem+json"
        assert msgspec.json.decode(reply.body)["code"] == "over-quota"
        assert 95.0 < float(reply.headers[b"retry-after"]) <= 100.0
        assert len(upstream.received) == N_PAID

    run(main)


def test_tokens_are_charged_by_the_token_counts_of_the_request():
    async def main():
        upstream = ScriptedUpstream(completed)
        limit = AccountLimit(0.001, 500, counts_tokens=True, n_plain_tokens=30)
        harness = await start_limited(upstream, limit=limit)
        await ask(harness.client_address, request("/read/1"))
        assert level(harness) == 470
        counts = b"X-Buckthornrock-Token-Count: 100, 20\r\n"
        await ask(harness.client_address, request("/read/1", extra=counts))
        assert level(harness) == 350

    run(main)


def test_many_refusals_write_one_log_line():
    """A client that ignores Retry-After doesn't fill the log."""

    async def main():
        harness = await start_limited(ScriptedUpstream(completed))
        for number in range(40):
            await ask(harness.client_address, request("/read/1", b"r%d" % number))
        lines = [f for name, f in harness.logged if name == "gateway.over_quota"]
        (line,) = lines
        assert (line["account"], line["cost"], line["covered_share"]) == ("shop", 1, 1)

    run(main)


def test_account_over_its_quota_takes_no_place_in_the_queue():
    async def main():
        harness = await start_limited(ScriptedUpstream(completed))
        block_upstreams(harness)
        writers = []
        for number in range(N_PAID):
            _, writer = await connect(harness.client_address)
            writers.append(writer)
            writer.write(request("/read/1", b"r%d" % number))
        await until(lambda: level(harness) == 0)
        reply = await ask(harness.client_address, request("/read/1", b"r9"))
        assert reply.status == 429
        assert harness.gateway._dispatcher.n_waiting() == N_PAID

    run(main)
