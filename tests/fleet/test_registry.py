"""The upstream registry: which upstreams may get new work."""

import random

import pytest

from buckthornrock.conf.settings import UpstreamSettings
from buckthornrock.fleet import Fleet
from buckthornrock.upstreams.engine_messages import LoadReport
from buckthornrock.upstreams.errors import AttemptFailed

REPORT = LoadReport("i1", ("small",), "w1", 0, 0, 0, 1_000.0, 5.0, 0, 10)


def fleet_of(n_engines=2):
    servers = tuple(
        UpstreamSettings(f"e{i}", "engine", f"127.0.0.1:{i}", "fd-0", ("small",))
        for i in range(n_engines)
    )
    fleet = Fleet(servers, lambda: 1_000.0, lambda event, **_: None, random.Random(1))
    for server in servers:
        fleet.note_report(server.id, REPORT)
    return fleet


def ids(fleet):
    return [view.upstream_id for view in fleet.engines("small")]


def refuse_polls(fleet):
    fleet.note_failed_poll("e0", AttemptFailed("e0", "refused", "true"))


def report_leaving(fleet):
    report = LoadReport("i1", ("small",), "w1", 0, 0, 0, 1.0, 5.0, 0, 10, "leaving")
    fleet.note_report("e0", report)


REASONS = {
    "list": lambda fleet: fleet.set_leaving("e0", True, "list"),
    "own report": report_leaving,
    "peer": lambda fleet: fleet.note_leaving_by_peer(["e0", "unknown"]),
    "refused poll": refuse_polls,
    "failures": lambda fleet: [fleet.note_outcome("e0", False) for _ in range(3)],
}


@pytest.mark.parametrize("act", REASONS.values(), ids=REASONS)
def test_upstream_gets_no_new_work_after(act):
    fleet = fleet_of(3)
    assert ids(fleet) == ["e0", "e1", "e2"]
    act(fleet)
    assert ids(fleet) == ["e1", "e2"]


def test_engine_without_report_or_model_gets_no_work():
    fleet = fleet_of()
    assert fleet.engines("other") == ()


@pytest.mark.parametrize(("adapter", "expected"), [("", 2), ("a", 1), ("b", 0)])
def test_only_engines_that_have_loaded_the_adapter_serve_it(adapter, expected):
    fleet = fleet_of()
    report = LoadReport(
        "i1", ("small",), "w1", 0, 0, 0, 1.0, 5.0, 0, 10, "live", ("a",)
    )
    fleet.note_report("e0", report)
    assert len(fleet.engines("small", adapter)) == expected
