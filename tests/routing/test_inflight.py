"""Work that load reports don't include yet."""

from buckthornrock.routing.inflight import PEER_TTL_MS, InFlight


def test_digests_of_vanished_peers_are_removed():
    in_flight = InFlight()
    for number in range(100):
        in_flight.note_peer(f"gone-{number}", {"e0": 5}, 0.0)
    in_flight.note_peer("here", {"e0": 7}, PEER_TTL_MS)
    in_flight.digest(PEER_TTL_MS, 500.0)
    assert in_flight.peer_tokens("e0", PEER_TTL_MS) == 7
    assert len(in_flight._peers) == 1
