"""Keyed calls after the key-value service lost the lease of their records."""

import random

from expression import Ok

from buckthornrock.conf.settings import IdempotencySettings
from buckthornrock.idempotency import KeyedRequest
from buckthornrock.idempotency.claims import ClaimedCalls, Identity
from buckthornrock.standins.kv import KvStandin
from buckthornrock.store.kv_client import KvClient
from buckthornrock.store.kv_codec import KvCodec
from buckthornrock.store.kv_port import KvPort
from buckthornrock.telemetry import Telemetry, open_log, open_metrics
from buckthornrock.upstreams.service_client import ServiceResponse
from tests.store.fake_kv import FakeHttp, FakeTime

RETRY_MS = 10_000.0


class Harness:
    """Instances that use one key-value service, without sockets."""

    def __init__(self):
        self.time = FakeTime()
        self.standin = KvStandin()
        self.http = FakeHttp(self.time, self.standin)
        self.sent = []

    def instance(self, name):
        clock = self.time.clock()
        kv = KvClient(self.http, KvCodec("btr/"), clock, random.Random(1))
        port = KvPort(
            kv.get, kv.get_prefix, kv.commit,
            kv.grant_lease, kv.keep_alive, kv.revoke_lease,
        )  # fmt: skip
        return ClaimedCalls(
            port,
            Identity(name, "run"),
            lambda instance_id, incarnation: True,
            b"secret",
            IdempotencySettings(),
            Telemetry(open_log(None), open_metrics("", 0, "")),
            clock,
            random.Random(1),
        )

    def run(self, calls, key):
        request = KeyedRequest(
            client_account="paddock", member="shop", key=key, profile="default",
            service="orders", method="POST", path="/charges", headers={},
            body=b"3 kilo", request_id=key, deadline_at_ms=self.time.now_ms + 2_000.0,
        )  # fmt: skip

        def attempt():
            self.sent.append(key)
            return Ok(ServiceResponse(200, (), key.encode()))

        return calls.run(request, attempt)

    def record(self, calls):
        for _ in range(3):
            calls.record_outcomes()
            self.time.advance(RETRY_MS)


def test_calls_continue_with_a_new_lease():
    harness = Harness()
    one, other = harness.instance("i0"), harness.instance("i1")
    assert harness.run(one, "a").is_ok()
    harness.standin.expire_leases()
    harness.run(one, "b")
    harness.record(one)
    assert one.n_pending() == 0
    assert harness.run(one, "c").is_ok()
    harness.record(one)
    assert one.n_pending() == 0
    assert harness.run(other, "c").ok.body == b"c"
    assert harness.run(other, "b").is_ok()
    assert sorted(harness.sent) == ["a", "b", "c"]


def test_outcome_of_a_call_is_recorded_after_its_lease_was_lost():
    harness = Harness()
    one, other = harness.instance("i0"), harness.instance("i1")
    assert harness.run(one, "a").is_ok()
    # The queue also holds records with leases that still exist.
    harness.standin.expire_leases()
    harness.run(one, "b")
    assert harness.run(other, "d").is_ok()
    harness.record(one)
    harness.record(other)
    assert (one.n_pending(), other.n_pending()) == (0, 0)
