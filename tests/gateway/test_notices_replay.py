"""Replayed loads while many upstreams leave, or ask for quiet, at once."""

import asyncio

import pytest

from buckthornrock.gateway.dispatcher import TICK_MS
from tests.gateway.notices_world import NoticesWorld, Quiet

DURATION_MS = 6_000.0
#: Time between the leavings of two upstreams of a failure domain.
LEAVING_GAP_MS = 400.0
QUIET_FROM_MS = 2_000.0
QUIET_UNTIL_MS = 5_000.0
SHORT_QUIET_MS = 1_000.0
DEADLINE_MS = 1_500.0
SEEDS = range(3)


def replay(world, deadline_ms, duration_ms=DURATION_MS):
    asyncio.run(world.run(duration_ms, deadline_ms))


@pytest.mark.parametrize("seed", SEEDS)
def test_all_upstreams_of_a_failure_domain_leave_one_after_the_other(seed):
    world = NoticesWorld(seed)
    leaving = [u for u in world.upstreams if u.failure_domain == "a"]
    for number, upstream in enumerate(leaving):
        world.leaves_at_ms[upstream.upstream_id] = 1_000.0 + number * LEAVING_GAP_MS
    replay(world, deadline_ms=DEADLINE_MS)
    assert world.n_sent_after_notice == 0
    assert world.served_share() == 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_a_third_of_the_upstreams_asks_for_quiet_in_a_burst(seed):
    world = NoticesWorld(seed)
    for upstream in world.upstreams[::3]:
        world.quiet[upstream.upstream_id] = Quiet(QUIET_FROM_MS, QUIET_UNTIL_MS)
    replay(world, deadline_ms=DEADLINE_MS)
    assert world.n_sent_after_notice == 0
    assert world.served_share() == 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_that_cannot_wait_for_the_first_return_are_refused_at_once(seed):
    world = NoticesWorld(seed)
    for upstream in world.upstreams:
        world.quiet[upstream.upstream_id] = Quiet(QUIET_FROM_MS, QUIET_UNTIL_MS)
    replay(world, deadline_ms=DEADLINE_MS)
    assert world.n_sent_after_notice == 0
    refusals = world.refusals()
    assert refusals
    lasts_until_ms = QUIET_UNTIL_MS - DEADLINE_MS
    early = [o for o in refusals if o.sent_at_ms <= lasts_until_ms]
    # The one tick is for those that upstreams still had to refuse.
    assert all(o.ended_at_ms - o.sent_at_ms <= TICK_MS for o in early)
    for refusal in early:
        assert refusal.retry_after_ms >= QUIET_UNTIL_MS - refusal.ended_at_ms
    n_early = sum(
        QUIET_FROM_MS < o.sent_at_ms <= lasts_until_ms for o in world.outcomes
    )
    assert n_early == sum(o.sent_at_ms > QUIET_FROM_MS for o in early)


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_that_can_wait_for_the_first_return_are_served(seed):
    world = NoticesWorld(seed)
    for upstream in world.upstreams:
        until_ms = QUIET_FROM_MS + SHORT_QUIET_MS
        world.quiet[upstream.upstream_id] = Quiet(QUIET_FROM_MS, until_ms)
    replay(world, deadline_ms=6_000.0)
    assert world.n_sent_after_notice == 0
    assert world.served_share() == 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_all_upstreams_of_a_service_leave(seed):
    world = NoticesWorld(seed)
    for number, upstream in enumerate(world.upstreams):
        world.leaves_at_ms[upstream.upstream_id] = 1_000.0 + number * LEAVING_GAP_MS / 4
    replay(world, deadline_ms=DEADLINE_MS)
    assert world.n_sent_after_notice == 0
    last_ms = max(world.leaves_at_ms.values()) + 500.0
    late = [o for o in world.outcomes if o.sent_at_ms > last_ms]
    assert late
    assert all(o.retry_after_ms is not None for o in late)
    assert all(o.ended_at_ms == o.sent_at_ms for o in late)
