"""Tests what upstreams say of themselves against a model, beside a changing store."""

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from buckthornrock.catalog.upstream_notices import (
    DEFAULT_QUIET_MS,
    FETCH_FROM_LEAVING_MS,
    KEEP_UNLISTED_MS,
    MAX_QUIET_MS,
    MAX_UNLISTED,
    Notice,
    UpstreamNotices,
    granted_quiet_ms,
)
from buckthornrock.catalog.upstreams import (
    RETURN_GRACE_MS,
    Upstream,
    UpstreamDirectory,
)

IDS = st.sampled_from(["u1", "u2", "u3"])
STARTS = st.sampled_from([1, 2])
SERVICE = "s"


def upstream(upstream_id, started_ms=1, is_draining=False):
    address = f"10.0.0.1:{started_ms}"
    return Upstream(upstream_id, SERVICE, address, "a", is_draining, started_ms, 8, {})


class NoticesMachine(RuleBasedStateMachine):
    """Answers bring notices while entries are written, lapse and return."""

    def __init__(self):
        super().__init__()
        self.directory = UpstreamDirectory()
        self.now_ms = 10_000.0
        self.revision = 0
        self.leaving = {}
        self.quiet_until_ms = {}

    def _apply(self, changed=(), removed=()):
        self.revision += 1
        self.directory.apply(changed, removed, self.revision, self.now_ms)

    @rule(upstream_id=IDS, started_ms=STARTS, is_draining=st.booleans())
    def entry_is_written(self, upstream_id, started_ms, is_draining):
        self._apply([upstream(upstream_id, started_ms, is_draining)])

    @rule(upstream_id=IDS)
    def entry_is_removed(self, upstream_id):
        self._apply(removed=[upstream_id])

    @rule(lapsed=st.sets(IDS))
    def entries_lapse_in_an_outage(self, lapsed):
        self.directory.on_store_lost()
        kept = [u for u in self.directory.all() if u.upstream_id not in lapsed]
        self.revision += 1
        self.directory.replace(kept, self.revision, self.now_ms)

    @rule(upstream_id=IDS, started_ms=STARTS)
    def answer_says_it_leaves(self, upstream_id, started_ms):
        incarnation = (upstream_id, started_ms)
        is_new = self.directory.notices.on_leaving(incarnation, self.now_ms)
        assert is_new == (incarnation not in self.leaving)
        self.leaving.setdefault(incarnation, self.now_ms)

    @rule(
        upstream_id=IDS,
        started_ms=STARTS,
        quiet_ms=st.sampled_from([1.0, 400.0, 5_000.0]),
    )
    def answer_asks_for_quiet(self, upstream_id, started_ms, quiet_ms):
        incarnation = (upstream_id, started_ms)
        known_ms = self.quiet_until_ms.get(incarnation, -math.inf)
        is_new = self.directory.notices.on_quiet(incarnation, quiet_ms, self.now_ms)
        assert is_new == (self.now_ms >= known_ms)
        self.quiet_until_ms[incarnation] = max(known_ms, self.now_ms + quiet_ms)

    @rule(duration_ms=st.sampled_from([1.0, 399.0, RETURN_GRACE_MS + 1.0, 30_000.0]))
    def wait(self, duration_ms):
        self.now_ms += duration_ms
        self.directory.expire(self.now_ms)

    @rule()
    def housekeeping(self):
        self.directory.retain_notices(self.now_ms)

    @invariant()
    def only_unnoticed_upstreams_get_requests(self):
        for upstream_id in ("u1", "u2", "u3"):
            for started_ms in (1, 2):
                incarnation = (upstream_id, started_ms)
                is_quiet = self.now_ms < self.quiet_until_ms.get(incarnation, 0.0)
                expected = incarnation not in self.leaving and not is_quiet
                notices = self.directory.notices
                assert notices.may_send(incarnation, self.now_ms) == expected

    @invariant()
    def caches_are_fetched_until_soon_after_the_notice(self):
        for upstream_id in ("u1", "u2", "u3"):
            incarnation = (upstream_id, 1)
            left_ms = self.now_ms - self.leaving.get(incarnation, math.inf)
            is_quiet = self.now_ms < self.quiet_until_ms.get(incarnation, 0.0)
            expected = left_ms < FETCH_FROM_LEAVING_MS and not is_quiet
            notices = self.directory.notices
            assert notices.may_fetch(incarnation, self.now_ms) == expected

    @invariant()
    def only_caches_of_newly_leaving_upstreams_are_offered(self):
        notices = self.directory.notices
        assert {u.incarnation for u in self.directory.cache_only(self.now_ms)} == {
            u.incarnation
            for u in self.directory.all()
            if u.incarnation in self.leaving
            and notices.may_fetch(u.incarnation, self.now_ms)
        }

    @invariant()
    def leaving_upstreams_are_not_usable(self):
        usable = {u.incarnation for u in self.directory.usable(SERVICE)}
        ready = {u.incarnation for u in self.directory.all() if not u.is_draining}
        assert usable == ready - set(self.leaving)


NoticesMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
TestNotices = NoticesMachine.TestCase


def test_upstream_that_leaves_for_many_minutes_stays_left():
    directory = UpstreamDirectory()
    directory.replace([upstream("u1")], 1, 0.0)
    directory.notices.on_leaving(("u1", 1), 0.0)
    for minute in range(60):
        directory.apply([upstream("u1")], [], 2 + minute, minute * 60_000.0)
        directory.retain_notices(minute * 60_000.0)
    assert directory.usable(SERVICE) == []


def test_new_start_under_the_same_id_is_usable_again():
    directory = UpstreamDirectory()
    directory.replace([upstream("u1")], 1, 0.0)
    directory.notices.on_leaving(("u1", 1), 0.0)
    directory.apply([upstream("u1", started_ms=2)], [], 2, 1.0)
    assert directory.usable(SERVICE) == [upstream("u1", started_ms=2)]


@pytest.mark.parametrize(
    ("gone_ms", "n_kept"), [(KEEP_UNLISTED_MS - 1.0, 1), (KEEP_UNLISTED_MS, 0)]
)
def test_notices_of_upstreams_that_are_gone_are_forgotten(gone_ms, n_kept):
    notices = UpstreamNotices()
    notices.on_leaving(("u1", 1), 0.0)
    notices.retain(set(), 1.0)
    notices.retain(set(), 1.0 + gone_ms)
    assert len(notices) == n_kept


def test_notices_of_upstreams_that_are_gone_are_bounded():
    notices = UpstreamNotices()
    notices.on_leaving(("listed", 1), 0.0)
    for number in range(MAX_UNLISTED + 10):
        notices.on_leaving((f"u{number}", 1), 0.0)
        notices.retain({("listed", 1)}, float(number))
    assert len(notices) == MAX_UNLISTED + 1
    assert notices.is_leaving(("listed", 1))
    assert not notices.is_leaving(("u0", 1))


def test_quiet_times_that_are_over_are_forgotten():
    notices = UpstreamNotices()
    notices.on_quiet(("u1", 1), 500.0, 0.0)
    notices.retain({("u1", 1)}, 499.0)
    assert len(notices) == 1
    notices.retain({("u1", 1)}, 500.0)
    assert len(notices) == 0


@pytest.mark.parametrize(
    ("quiet_ms", "expected_ms"),
    [
        (None, DEFAULT_QUIET_MS),
        (250.0, 250.0),
        (MAX_QUIET_MS + 1.0, MAX_QUIET_MS),
        (math.inf, MAX_QUIET_MS),
    ],
)
def test_quiet_time_is_bounded(quiet_ms, expected_ms):
    assert granted_quiet_ms(Notice(False, True, quiet_ms)) == expected_ms


@pytest.mark.parametrize(
    ("leaving", "quiet_ms", "expected_ms"),
    [
        ([], {}, 0.0),
        (["u1"], {}, 0.0),
        (["u1", "u2"], {}, math.inf),
        ([], {"u1": 700.0, "u2": 300.0}, 300.0),
        (["u2"], {"u1": 700.0}, 700.0),
    ],
)
def test_first_return_of_several_upstreams(leaving, quiet_ms, expected_ms):
    notices = UpstreamNotices()
    for name in leaving:
        notices.on_leaving((name, 1), 0.0)
    for name, duration_ms in quiet_ms.items():
        notices.on_quiet((name, 1), duration_ms, 0.0)
    both = [("u1", 1), ("u2", 1)]
    assert notices.time_to_return_ms(both, 0.0) == expected_ms
