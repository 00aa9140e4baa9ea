"""The window of changes that a peer at any revision in it can follow."""

import pytest

from buckthornrock.catalog.change_log import MAX_CHANGES, ChangeLog
from buckthornrock.catalog.upstreams import UpstreamChange


def log_of(*revisions, restarted_at=10):
    log = ChangeLog()
    log.restart(restarted_at)
    for revision in revisions:
        change = UpstreamChange(revision, f"u{revision}", None)
        log.record([change], revision * 100.0)
    return log


def revisions_in(window):
    return [change.revision for change in window.changes]


@pytest.mark.parametrize(
    ("revisions", "since_ms", "n_max", "base", "listed"),
    [
        ((), 0.0, 9, 10, []),
        ((11, 12), 0.0, 9, 10, [11, 12]),
        ((11, 12, 13), 1_150.0, 9, 11, [12, 13]),
        ((11, 12, 13), 9_999.0, 9, 13, []),
        ((11, 12, 13), 0.0, 2, 11, [12, 13]),
        # Changes of one revision are listed together or not at all.
        ((11, 12, 12, 13), 0.0, 2, 12, [13]),
    ],
)
def test_window_lists_everything_after_its_base(
    revisions, since_ms, n_max, base, listed
):
    window = log_of(*revisions).window(since_ms, n_max)
    assert window.base_revision == base
    assert revisions_in(window) == listed


def test_forgotten_changes_move_the_base():
    window = log_of(*range(11, 12 + MAX_CHANGES)).window(0.0, 1_000)
    assert window.base_revision == 11
    assert len(window.changes) == MAX_CHANGES


def test_restart_forgets_all_changes():
    log = log_of(11, 12)
    log.restart(40)
    assert log.window(0.0, 9) == (40, ())
