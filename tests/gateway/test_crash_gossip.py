"""Suspected, sound and quarantined parts reach all instances, also later ones."""

import msgspec
import pytest

from buckthornrock.scheduling.crash_suspects import SETTLE_MS
from buckthornrock.wire.digests import Digest, decode_digest, encode_digest
from tests.gateway.fleet import Fleet
from tests.gateway.test_large_fleet import DISCOVERY_MS, GOSSIP_LIMIT_MS
from tests.gateway.test_peers import digest

FIRST, DEADLY, RARE = 11, 12, 13
CRASH_GAP_MS = 700.0


def findings(node):
    return node.fleet_state.crash_findings


def crash_twice(fleet, reporters):
    """Two crashes that different instances see, each with sound parts in flight."""
    for upstream, (one, two) in enumerate(reporters):
        now_ms = fleet.now_ms()
        findings(one).on_crash(upstream, [FIRST, DEADLY], now_ms)
        findings(two).on_crash(upstream, [FIRST, RARE], now_ms)
        fleet.run(100.0)
        findings(two).on_whole([FIRST])
        fleet.run(CRASH_GAP_MS)
        findings(one).on_whole([FIRST, RARE])


def refusing(fleet, part):
    return [node for node in fleet.running() if findings(node).find_quarantined([part])]


@pytest.mark.parametrize(("n_instances", "loss"), [(7, 0.02), (30, 0.0), (88, 0.02)])
def test_crashes_that_different_instances_saw_are_put_together(n_instances, loss):
    fleet = Fleet(n_instances, loss=loss)
    fleet.run(DISCOVERY_MS)
    nodes = fleet.nodes
    crash_twice(fleet, [(nodes[0], nodes[-1]), (nodes[-2], nodes[1])])
    fleet.run(SETTLE_MS + GOSSIP_LIMIT_MS)
    assert refusing(fleet, DEADLY) == fleet.nodes
    assert refusing(fleet, FIRST) == refusing(fleet, RARE) == []


@pytest.mark.parametrize("n_instances", [7, 30])
def test_restarted_instance_learns_what_is_quarantined(n_instances):
    fleet = Fleet(n_instances)
    fleet.run(DISCOVERY_MS)
    nodes = fleet.nodes
    crash_twice(fleet, [(nodes[0], nodes[1]), (nodes[2], nodes[3])])
    fleet.run(SETTLE_MS + GOSSIP_LIMIT_MS)
    for node in nodes[:-1]:
        node.stop()
        node.start()
    fleet.run(DISCOVERY_MS)
    assert refusing(fleet, DEADLY) == nodes


def test_one_instance_probes_for_all():
    fleet = Fleet(7)
    fleet.run(DISCOVERY_MS)
    nodes = fleet.nodes
    crash_twice(fleet, [(nodes[0], nodes[1]), (nodes[2], nodes[3])])
    fleet.run(SETTLE_MS + GOSSIP_LIMIT_MS)
    n_probes = 0
    for _ in range(500):
        fleet.run(100.0)
        for node in nodes:
            if findings(node).find_quarantined([DEADLY]) is None:
                findings(node).on_sending("r1", [DEADLY])
                n_probes += 1
                break
    assert n_probes == 1
    findings(nodes[4]).on_whole([DEADLY])
    fleet.run(GOSSIP_LIMIT_MS)
    assert refusing(fleet, DEADLY) == []


def test_findings_are_not_forwarded_in_loops():
    fleet = Fleet(30)
    fleet.run(DISCOVERY_MS)
    crash_twice(fleet, [(fleet.nodes[5], fleet.nodes[9])])
    fleet.run(3_000.0)
    for node in fleet.nodes:
        assert not node.peers._crash_gossip._updates.next_for_all()
        assert not node.peers._crash_gossip._updates.next_for_followers()


def test_digest_of_a_build_without_these_fields_is_read():
    fields = msgspec.msgpack.decode(encode_digest(digest()))
    old_length = Digest.__struct_fields__.index("suspicions")
    assert len(fields) > old_length
    short = msgspec.msgpack.encode(fields[:old_length])
    decoded = decode_digest(short).ok
    assert decoded.quarantines == decoded.suspicions == decoded.sound_parts == []
    assert decoded == digest()
