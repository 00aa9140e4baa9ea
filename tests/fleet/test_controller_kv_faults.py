"""Steward keys and load slots when the key-value service fails or answers late."""

import pytest

from buckthornrock.fleet import engine_controller
from buckthornrock.fleet.leadership import HANDOVER_MS
from buckthornrock.fleet.load_slots import KEY_PREFIX as SLOTS_PREFIX
from buckthornrock.fleet.placement_store import KEY as PLACEMENT_KEY
from tests.fleet.controller_model import N_SLOTS, STEP_MS, ControllerModel

#: Far more than a hand-over and a load take, far less than a stuck fleet lasts.
SETTLE_MS = 120_000.0


def run(model, duration_ms):
    """Let every instance that is not paused step for a while."""
    for _ in range(int(duration_ms / STEP_MS)):
        for index in range(len(model.alive)):
            model.renew(index)
            model.step(index)
        model.wait(STEP_MS)


def held_by(model, name):
    return [v.upstream_id for v in model.controllers[name].views()]


@pytest.mark.parametrize("fault", ["down", "lost", "late"])
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_stewardship_passes_on_after_a_failed_hand_back(checks_fencing, fault):
    model = ControllerModel(checks_fencing, n_engines=4, n_instances=2)
    # One instance is away, so the other becomes steward of everything.
    model.pause(1)
    run(model, SETTLE_MS)
    assert model.is_settled()
    model.resume()
    model.roll()
    # It hands back while the service fails.
    model.step(0)
    model.wait(HANDOVER_MS)
    model.renew(0)
    model.kv.fault = fault
    model.step(0)
    model.kv.fault = ""
    model.kv.deliver()
    run(model, SETTLE_MS)
    assert model.problems == []
    assert model.is_settled()
    both = held_by(model, "i0") + held_by(model, "i1")
    assert sorted(both) == [s.id for s in model.settings]


def test_late_copy_of_a_write_does_not_bring_a_handed_back_key_back():
    model = ControllerModel(checks_fencing=True, n_engines=4, n_instances=2)
    model.pause(1)
    model.kv.fault = "copied"
    model.step(0)
    model.kv.fault = ""
    model.resume()
    model.step(0)
    model.wait(HANDOVER_MS)
    model.renew(0)
    model.step(0)
    model.kv.deliver()
    run(model, SETTLE_MS)
    assert model.is_settled()
    both = held_by(model, "i0") + held_by(model, "i1")
    assert sorted(both) == [s.id for s in model.settings]


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_slot_whose_answer_was_lost_is_given_back(fault):
    model = ControllerModel(checks_fencing=True, n_engines=4, n_instances=1)
    model.step(0)
    model.kv.fault = fault
    model.step(0)
    model.kv.fault = ""
    model.kv.deliver()
    run(model, SETTLE_MS)
    assert model.problems == []
    assert model.is_settled()
    slots = [key for key in model.kv.entries if key.startswith(SLOTS_PREFIX)]
    assert slots == [], f"{len(slots)} of {N_SLOTS} slots are held for no load"


def test_orders_are_taken_after_the_service_was_set_back():
    model = ControllerModel(checks_fencing=True, n_engines=4, n_instances=2)
    model.kv._revision = 1_000
    model.settle(SETTLE_MS)
    assert model.is_settled()
    # The revisions, and with them the fencing numbers, begin again lower down.
    model.kv.entries = {
        key: entry._replace(mod_revision=1)
        for key, entry in model.kv.entries.items()
        if key == PLACEMENT_KEY
    }
    model.kv._revision = 1
    model.latest.clear()
    for index in range(2):
        model.crash(index)
    model.roll()
    run(model, SETTLE_MS)
    assert model.problems == []
    assert model.is_settled()


def test_steward_that_lost_its_key_does_not_order_over_a_later_one():
    model = ControllerModel(checks_fencing=True, n_engines=1, n_instances=2)
    model.settle(SETTLE_MS)
    holder = next(n for n in range(2) if held_by(model, f"i{n}"))
    other = 1 - holder
    # The service drops the holder's lease early, and the holder does not notice.
    model.kv.revoke(model.leases[f"i{holder}"].lease_id)
    model.pause(holder)
    model.roll()
    run(model, SETTLE_MS)
    assert held_by(model, f"i{other}") == ["e0"]
    model.paused.clear()
    model.leases[f"i{holder}"].expires_at_ms = model.now_ms + 10_000.0
    n_taken = len(model.engines["e0"].taken)
    model.roll()
    model.step(holder)
    model.step(holder)
    by_holder = [
        order
        for order in model.engines["e0"].taken[n_taken:]
        if order.order_id.startswith(f"i{holder}.")
    ]
    assert by_holder == []
    assert model.problems == []


def test_first_choices_are_computed_only_when_the_live_instances_change(monkeypatch):
    n_ranked = []
    choose = engine_controller.is_first_choice

    def count(*arguments):
        n_ranked.append(arguments)
        return choose(*arguments)

    monkeypatch.setattr(engine_controller, "is_first_choice", count)
    model = ControllerModel(checks_fencing=True, n_engines=4, n_instances=2)
    for _ in range(5):
        model.step(0)
    assert len(n_ranked) == 4
    model.pause(1)
    model.step(0)
    assert len(n_ranked) == 8
