"""A failing schedule is shortened to faults of which none can be left out."""

import pytest

from benchmarks.soak.cases import CASES
from benchmarks.soak.faults import FAULTS
from benchmarks.soak.schedule import Fault, draw_schedule
from benchmarks.soak.shorten import shorten

DRAWN = draw_schedule(3, 25.0)
NAMES = [fault.name for fault in DRAWN]
NEEDED = [set(), {NAMES[0]}, {NAMES[-1]}, {NAMES[0], NAMES[2]}, set(NAMES)]


@pytest.mark.parametrize("needed", NEEDED)
def test_only_the_faults_that_are_needed_remain(needed):
    def fails(faults: list[Fault]) -> bool:
        return needed <= {fault.name for fault in faults}

    assert {fault.name for fault in shorten(DRAWN, fails)} == needed


@pytest.mark.parametrize("name", sorted(CASES))
def test_a_kept_case_can_be_played(name):
    """Guards against a case that names a kind of fault that was renamed."""
    assert {fault.kind for fault in CASES[name].faults} <= FAULTS.keys()
    assert CASES[name].cause
