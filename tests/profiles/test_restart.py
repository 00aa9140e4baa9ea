"""A restarted instance serves on the start profile until it knows an accepted one."""

import pytest

from .fleet import Fleet, profile


@pytest.fixture
def fleet():
    fleet = Fleet(1)
    yield fleet
    fleet.stop()


@pytest.mark.parametrize("name", ["default", "tablets"])
def test_restarted_instance_serves_every_profile_at_once(fleet, name):
    (node,) = fleet.nodes
    assert node.profiles.apply(name, profile(0.3), 0, "operator").is_ok()
    fleet.kv.fault = "down"
    fleet.restart(0)
    record = fleet.nodes[0].profiles.current(name)
    assert record.is_ok(), record.error
    assert record.ok.trust == "start"
    fleet.kv.fault = ""
    fleet.wait_until(lambda: fleet.nodes[0].profiles.current(name).ok.version == 1)


def test_unknown_profile_is_refused_once_others_are_known(fleet):
    (node,) = fleet.nodes
    assert node.profiles.apply("tablets", profile(0.3), 0, "operator").is_ok()
    assert node.profiles.current("tablet").is_error()
