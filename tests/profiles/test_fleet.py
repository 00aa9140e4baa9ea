"""Profiles in a fleet of seven instances: outages, restarts, concurrent operators."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from buckthornrock.profiles.errors import ProfileConflict

from .fleet import Fleet, profile

N_NODES = 7
PUSH_SETTLE_S = 1.0


@pytest.fixture(scope="module")
def started():
    fleet = Fleet(N_NODES)
    yield fleet
    fleet.stop()


@pytest.fixture
def fleet(started):
    started.kv.fault = ""
    started.wait_joined()
    started.wait_until(lambda: all(n.core.kv.is_answering() for n in started.nodes))
    return started


def apply(fleet, index=0, floor=0.1, author="a"):
    """Accept the next version; return it."""
    node = fleet.nodes[index]
    versions = [n.record().version for n in fleet.nodes]
    record = node.profiles.apply("default", profile(floor), max(versions), author)
    return record.ok.version


def test_change_is_in_force_although_the_kv_fails_right_after(fleet):
    version = apply(fleet)
    fleet.kv.fault = "down"
    fleet.wait_in_force(version)


def test_restarted_instance_gets_change_from_peers_while_the_kv_is_down(fleet):
    version = apply(fleet)
    fleet.wait_in_force(version)
    fleet.kv.fault = "down"
    # Wait for pushes in progress, so that only anti-entropy can deliver the change.
    time.sleep(PUSH_SETTLE_S)
    fleet.restart(3)
    assert fleet.nodes[3].record().trust == "start"
    fleet.wait_in_force(version)
    assert fleet.nodes[3].record().trust == "peer"


def test_half_the_instances_restart_during_a_change(fleet):
    with ThreadPoolExecutor(4) as pool:
        restarts = [pool.submit(fleet.restart, index) for index in (0, 1, 2)]
        version = apply(fleet, index=5)
        for restart in restarts:
            restart.result()
    fleet.wait_in_force(version)


def test_one_of_two_concurrent_changes_gets_a_conflict(fleet):
    fleet.wait_in_force(fleet.nodes[0].record().version)
    expected = fleet.nodes[0].record().version

    def change(index):
        changed = profile(0.2 + index / 100)
        node = fleet.nodes[index]
        return node.profiles.apply("default", changed, expected, f"operator-{index}")

    with ThreadPoolExecutor(2) as pool:
        results = list(pool.map(change, (1, 4)))
    (winner,) = [r.ok for r in results if r.is_ok()]
    (conflict,) = [r.error for r in results if r.is_error()]
    assert isinstance(conflict, ProfileConflict)
    assert (conflict.found_version, conflict.author) == (expected + 1, winner.author)
    assert conflict.accepted_wall_ms == winner.accepted_wall_ms
    assert conflict.differences == ("$.deferrable_floor",)
    fleet.wait_in_force(expected + 1)
    floors = {node.record().profile["deferrable_floor"] for node in fleet.nodes}
    assert floors == {winner.profile["deferrable_floor"]}


def test_version_that_the_kv_lost_is_written_back(fleet):
    first = apply(fleet)
    fleet.kv.take_snapshot()
    second = apply(fleet, floor=0.3)
    fleet.wait_in_force(second)
    fleet.kv.restore()
    fleet.wait_until(
        lambda: fleet.nodes[2].profiles.history("default").ok[0][1] > first
    )
    assert {node.record().version for node in fleet.nodes} == {second}
    assert apply(fleet, floor=0.4) == second + 1


def test_status_names_the_version_of_every_live_instance(fleet):
    version = apply(fleet)
    fleet.wait_in_force(version)
    rows = fleet.nodes[6].profiles.status("default")
    assert [(row.instance_id, row.version) for row in rows] == [
        (f"i{index}", version) for index in range(N_NODES)
    ]


def test_rollback_is_a_new_version_with_the_old_content(fleet):
    old = apply(fleet, floor=0.5)
    version = apply(fleet, floor=0.6)
    record = fleet.nodes[2].profiles.rollback("default", old, version, "b").ok
    assert record.version == version + 1
    assert record.profile["deferrable_floor"] == 0.5
    missing = fleet.nodes[2].profiles.rollback("default", 9_999, record.version, "b")
    assert missing.error.code == "unknown-profile-version"
