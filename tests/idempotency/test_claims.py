"""Keyed calls of one instance: concurrent calls share a claim and an outcome."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
from expression import Error, Ok

from buckthornrock.conf.settings import IdempotencySettings
from buckthornrock.dispatch.errors import CallOutcomeUnknown, NoServer
from buckthornrock.idempotency import KeyedRequest
from buckthornrock.idempotency.claims import ClaimedCalls, Identity
from buckthornrock.runtime import system_clock
from buckthornrock.telemetry import Telemetry, open_log, open_metrics
from buckthornrock.upstreams.service_client import ServiceResponse
from tests.idempotency.fakes import FakeKv

CLOCK = system_clock()


def make_calls(kv):
    return ClaimedCalls(
        kv.port(),
        Identity("i0", "run"),
        lambda instance_id, incarnation: True,
        b"secret",
        IdempotencySettings(),
        Telemetry(open_log(None), open_metrics("", 0, "")),
        CLOCK,
        random.Random(0),
    )


def make_request(key="k", body=b"bale"):
    return KeyedRequest(
        client_account="a",
        member="m",
        key=key,
        profile="default",
        service="orders",
        method="POST",
        path="/kilo",
        headers={},
        body=body,
        request_id="r",
        deadline_at_ms=CLOCK.now_ms() + 20_000.0,
    )


def test_concurrent_calls_at_one_instance_share_claim_and_outcome():
    kv = FakeKv()
    calls = make_calls(kv)
    barrier = threading.Barrier(16)
    runs = []

    def attempt():
        runs.append(1)
        return Ok(ServiceResponse(200, (), b"done"))

    def call():
        barrier.wait(10)
        return calls.run(make_request(), attempt).ok.body

    with ThreadPoolExecutor(16) as pool:
        bodies = [f.result() for f in [pool.submit(call) for _ in range(16)]]
    assert set(bodies) == {b"done"}
    assert runs == [1]
    calls.flush()
    assert (kv.n_writes, kv.n_reads) == (2, 0)
    assert calls.n_pending() == 0


@pytest.mark.parametrize(
    ("failure", "n_runs"),
    [(NoServer("orders"), 2), (CallOutcomeUnknown("u", "x"), 1)],
)
def test_only_a_call_that_was_not_sent_is_made_again(failure, n_runs):
    calls = make_calls(FakeKv())
    runs = []

    def attempt():
        runs.append(1)
        return Error(failure)

    for _ in range(2):
        assert calls.run(make_request(), attempt).is_error()
        calls.flush()
    assert len(runs) == n_runs


def test_attempt_that_raises_is_unknown_and_not_repeated():
    calls = make_calls(FakeKv())
    runs = []

    def attempt():
        runs.append(1)
        raise ValueError("an error in the instance itself")

    for _ in range(2):
        assert calls.run(make_request(), attempt).error.code == "outcome-unknown"
        calls.flush()
    assert runs == [1]
