"""Keyed calls after the key-value service lost the lease that their records hang on."""

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


class Bench:
    """Instances before one key-value service without sockets."""

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


def test_calls_go_on_with_a_new_lease():
    bench = Bench()
    one, other = bench.instance("i0"), bench.instance("i1")
    assert bench.run(one, "a").is_ok()
    bench.standin.expire_leases()
    bench.run(one, "b")
    bench.record(one)
    assert one.n_pending() == 0
    assert bench.run(one, "c").is_ok()
    bench.record(one)
    assert one.n_pending() == 0
    assert bench.run(other, "c").ok.body == b"c"
    assert bench.run(other, "b").is_ok()
    assert sorted(bench.sent) == ["a", "b", "c"]


def test_outcome_of_a_call_is_recorded_after_its_lease_was_lost():
    bench = Bench()
    one, other = bench.instance("i0"), bench.instance("i1")
    assert bench.run(one, "a").is_ok()
    # Other records hang on leases that still exist, and wait in the same queue.
    bench.standin.expire_leases()
    bench.run(one, "b")
    assert bench.run(other, "d").is_ok()
    bench.record(one)
    bench.record(other)
    assert (one.n_pending(), other.n_pending()) == (0, 0)
