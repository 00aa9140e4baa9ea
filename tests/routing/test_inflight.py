"""Work that load reports don't include yet."""

from buckthornrock.routing.inflight import (
    PEER_TTL_MS,
    SENT_TTL_MS,
    InFlight,
    SentRequest,
)


def test_digests_of_vanished_peers_are_removed():
    in_flight = InFlight()
    for number in range(100):
        in_flight.note_peer(f"gone-{number}", {"e0": 5}, 0.0)
    in_flight.note_peer("here", {"e0": 7}, PEER_TTL_MS)
    in_flight.digest(PEER_TTL_MS, 500.0)
    assert in_flight.peer_tokens("e0", PEER_TTL_MS) == 7
    assert len(in_flight._peers) == 1


def test_upstreams_without_requests_are_forgotten():
    in_flight = InFlight()
    for number in range(100):
        in_flight.add(f"gone-{number}", "r", SentRequest(0.0, 10))
        if number % 2:
            in_flight.remove(f"gone-{number}", "r")
    assert len(in_flight._sent) == 50
    in_flight.digest(SENT_TTL_MS + 1.0, 500.0)
    assert not in_flight._sent
