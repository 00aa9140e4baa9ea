"""Digests sent ahead of their period, with a transport and timers that record."""

import pytest

from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.gateway.peer_settings import PeerSettings
from buckthornrock.gateway.peers import MIN_URGENT_INTERVAL_MS, PeerExchange
from buckthornrock.scheduling.loads import Work
from buckthornrock.scheduling.weights import WeightsView
from buckthornrock.wire.digests import decode_digest, encode_digest
from tests.gateway.fleet import TELEMETRY, SimulatedTimers
from tests.gateway.test_peers import UPSTREAM, digest


class Instance:
    """An instance with one peer, which records when digests are sent to that peer."""

    def __init__(self):
        self.timers = SimulatedTimers(100_000.0)
        now_ms = self.timers.now_ms
        self.state = FleetState("a", WeightsView(20_000.0), now_ms, TELEMETRY)
        self.state.upstreams.replace([UPSTREAM], 5)
        self.peers = PeerExchange(
            PeerSettings("i1", "a", "10.0.0.1:1", (), 1),
            self.state,
            now_ms,
            self.timers.call_later,
        )
        self.sent = []
        self.peers.connection_made(self)
        self.peers.datagram_received(encode_digest(digest()), ("10.0.0.2", 1))
        self.peers.send()
        self.sent.clear()

    def sendto(self, data, address):
        sent_at_ms = self.timers.now_ms() - 100_000.0
        n_requests = sum(work.n_requests for work in decode_digest(data).ok.works)
        self.sent.append((sent_at_ms, n_requests))

    def publish(self, n_requests):
        self.state.loads.of(UPSTREAM.incarnation).own = Work(n_requests)
        self.state.publish_now()

    def at(self, at_ms, call, *arguments):
        self.timers.at(100_000.0 + at_ms, call, *arguments)

    def sent_at_ms(self):
        return [at_ms for at_ms, _ in self.sent]


#: Times of urgent and regular digests after a digest at 0 ms, and of those sent.
SEQUENCES = {
    "after the interval": ([25.0], [], [25.0]),
    "at the interval": ([20.0], [], [20.0]),
    "within the interval": ([3.0], [], [20.0]),
    "several are coalesced": ([3.0, 9.0, 19.0], [], [20.0]),
    "each interval again": ([3.0, 23.0, 41.0], [], [20.0, 40.0, 60.0]),
    "a regular digest replaces it": ([3.0], [12.0], [12.0]),
    "the interval begins with the regular digest": ([3.0, 14.0], [12.0], [12.0, 32.0]),
    "none without need": ([], [12.0], [12.0]),
}


@pytest.mark.parametrize(
    ("urgent_ms", "regular_ms", "sent_ms"), SEQUENCES.values(), ids=SEQUENCES
)
def test_urgent_digest_is_delayed_to_the_end_of_the_interval(
    urgent_ms, regular_ms, sent_ms
):
    """Guards against a dropped digest.

    Urgent requests were placed beside long prompts that other instances had sent up to
    a period earlier.
    """
    instance = Instance()
    for at_ms in urgent_ms:
        instance.at(at_ms, instance.state.publish_now)
    for at_ms in regular_ms:
        instance.at(at_ms, instance.peers.send)
    instance.timers.run(200.0)
    assert instance.sent_at_ms() == sent_ms


def test_delayed_digest_holds_the_state_at_its_time():
    instance = Instance()
    instance.at(3.0, instance.publish, 1)
    instance.at(9.0, instance.publish, 2)
    instance.timers.run(200.0)
    assert instance.sent == [(MIN_URGENT_INTERVAL_MS, 2)]


def test_burst_sends_at_most_one_digest_per_interval():
    """Guards against a digest for each long prompt of a burst.

    Their bytes count towards the 9 KB/s that an instance may use.
    """
    instance = Instance()
    for number in range(1_000):
        instance.at(number + 0.5, instance.publish, number)
    instance.timers.run(1_000.0)
    sent_at_ms = instance.sent_at_ms()
    assert len(sent_at_ms) == 1_000.0 / MIN_URGENT_INTERVAL_MS
    gaps = [b - a for a, b in zip([0.0, *sent_at_ms], sent_at_ms, strict=False)]
    assert min(gaps) >= MIN_URGENT_INTERVAL_MS


def test_no_digest_is_scheduled_without_a_socket():
    """Guards the start, in which configuration and weights arrive before the socket."""
    timers = SimulatedTimers(0.0)
    state = FleetState("a", WeightsView(20_000.0), timers.now_ms, TELEMETRY)
    settings = PeerSettings("i1", "a", "10.0.0.1:1", (), 1)
    PeerExchange(settings, state, timers.now_ms, timers.call_later)
    state.publish_now()
    assert not timers.n_due()
