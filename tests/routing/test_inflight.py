"""Work that load reports do not show yet."""

from buckthornrock.routing.inflight import PEER_TTL_MS, InFlight


def test_peers_that_are_gone_take_no_room():
    in_flight = InFlight()
    for number in range(100):
        in_flight.note_peer(f"gone-{number}", {"e0": 5}, 0.0)
    in_flight.note_peer("here", {"e0": 7}, PEER_TTL_MS)
    in_flight.digest(PEER_TTL_MS, 500.0)
    assert in_flight.peer_tokens("e0", PEER_TTL_MS) == 7
    assert len(in_flight._peers) == 1
