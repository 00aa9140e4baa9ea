"""A seed determines its schedule, and leaving out a fault changes no other one."""

from unittest import mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.soak import faults, schedule

SEEDS = st.integers(0, 2**31)


@given(SEEDS)
def test_a_seed_gives_the_same_schedule_again(seed):
    assert schedule.draw_schedule(seed, 25.0) == schedule.draw_schedule(seed, 25.0)


@given(SEEDS)
def test_faults_begin_early_enough_for_calm_to_return(seed):
    drawn = schedule.draw_schedule(seed, 25.0)
    assert 5 <= sum(fault.kind in schedule.KINDS for fault in drawn) <= 9
    added = [fault.kind for fault in drawn if fault.kind in schedule.ADDED_KINDS]
    assert len(added) == len(set(added))
    for fault in drawn:
        assert schedule.FIRST_FAULT_S <= fault.at_s <= 25.0 * schedule.FAULT_SHARE
        assert fault.length_s <= schedule.ALL_KINDS[fault.kind].max_length_s


@given(SEEDS, st.data())
def test_leaving_out_a_fault_changes_no_other(seed, data):
    drawn = schedule.draw_schedule(seed, 25.0)
    left_out = data.draw(st.sampled_from(drawn))
    kept = schedule.without(drawn, frozenset((left_out.name,)))
    assert kept == [fault for fault in drawn if fault != left_out]


@given(SEEDS)
def test_an_added_kind_changes_no_other_fault(seed):
    """Guards against seeds whose faults change whenever a kind is added."""
    drawn = schedule.draw_schedule(seed, 25.0)
    with mock.patch.object(schedule, "ADDED_KINDS", {}):
        expected = schedule.draw_schedule(seed, 25.0)
    assert [fault for fault in drawn if fault.kind in schedule.KINDS] == expected


def test_an_unknown_fault_is_not_left_out_silently():
    drawn = schedule.draw_schedule(1, 25.0)
    with pytest.raises(KeyError):
        schedule.without(drawn, frozenset(("no-such-fault",)))


def test_every_kind_is_drawn_and_can_be_applied():
    drawn = {f.kind for seed in range(200) for f in schedule.draw_schedule(seed, 25.0)}
    assert drawn == schedule.ALL_KINDS.keys() == faults.FAULTS.keys()
