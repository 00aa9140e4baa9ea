"""Leader keys and load slots while the key-value service fails or answers late."""

import pytest

from buckthornrock.fleet import engine_controller
from buckthornrock.fleet.leadership import HANDOVER_MS
from buckthornrock.fleet.load_slots import KEY_PREFIX as SLOTS_PREFIX
from buckthornrock.fleet.placement_store import KEY as PLACEMENT_KEY
from tests.fleet.controller_model import N_SLOTS, STEP_PERIOD_MS, ControllerModel

#: Far longer than a handover and a load take, so that only a stuck fleet exceeds it.
SETTLE_MS = 120_000.0


def run(model, duration_ms):
    """Let all instances that are not paused renew and step for ``duration_ms``."""
    for _ in range(int(duration_ms / STEP_PERIOD_MS)):
        for index in range(len(model.alive)):
            model.renew(index)
            model.step(index)
        model.wait(STEP_PERIOD_MS)


def led_by(model, name):
    return [v.upstream_id for v in model.controllers[name].views()]


@pytest.mark.parametrize("fault", ["down", "lost", "late"])
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_leadership_passes_on_after_a_failed_handover(checks_fencing, fault):
    model = ControllerModel(checks_fencing, n_engines=4, n_instances=2)
    # One instance is paused, so the other becomes leader of every engine.
    model.pause(1)
    run(model, SETTLE_MS)
    assert model.is_settled()
    model.resume()
    model.roll()
    # It gives up keys while the service fails.
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
    both = led_by(model, "i0") + led_by(model, "i1")
    assert sorted(both) == [s.id for s in model.settings]


def test_late_copy_of_a_write_does_not_reclaim_a_released_key():
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
    both = led_by(model, "i0") + led_by(model, "i1")
    assert sorted(both) == [s.id for s in model.settings]


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_slot_acquired_by_a_write_with_a_lost_answer_is_released(fault):
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


def test_orders_are_accepted_after_the_service_was_restored_to_lower_revisions():
    model = ControllerModel(checks_fencing=True, n_engines=4, n_instances=2)
    model.kv._revision = 1_000
    model.settle(SETTLE_MS)
    assert model.is_settled()
    # The revisions, and with them the fencing tokens, start again at lower numbers.
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


def test_leader_that_lost_its_key_sends_no_order_after_a_later_leader():
    model = ControllerModel(checks_fencing=True, n_engines=1, n_instances=2)
    model.settle(SETTLE_MS)
    holder = next(n for n in range(2) if led_by(model, f"i{n}"))
    other = 1 - holder
    # The service drops the holder's lease early and the holder does not notice.
    model.kv.revoke(model.leases[f"i{holder}"].lease_id)
    model.pause(holder)
    model.roll()
    run(model, SETTLE_MS)
    assert led_by(model, f"i{other}") == ["e0"]
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


def test_preferred_leaders_are_computed_only_when_the_live_instances_change(
    monkeypatch,
):
    n_ranked = []
    choose = engine_controller.is_preferred_leader

    def count(*arguments):
        n_ranked.append(arguments)
        return choose(*arguments)

    monkeypatch.setattr(engine_controller, "is_preferred_leader", count)
    model = ControllerModel(checks_fencing=True, n_engines=4, n_instances=2)
    for _ in range(5):
        model.step(0)
    assert len(n_ranked) == 4
    model.pause(1)
    model.step(0)
    assert len(n_ranked) == 8
