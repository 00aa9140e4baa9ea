"""The choice of whom to refuse: a group of clients can't use up everyone's budget."""

import sys

import msgspec
import pytest

from buckthornrock.conf import checks
from buckthornrock.httpd.budget import (
    ADDRESS_SHARE,
    CONNECTION_BYTES,
    MAX_DECODED_BYTES_PER_BYTE,
    STALL_MS,
    BudgetLimits,
    ClientBudget,
    Limit,
    Phase,
    decoded_cost_bytes,
    head_cost_bytes,
)
from buckthornrock.httpd.server import MAX_HEAD_BYTES

MAX_BYTES = 1_000_000


class Clock:
    def __init__(self):
        self.at_ms = 0.0

    def __call__(self):
        return self.at_ms


@pytest.fixture
def clock():
    return Clock()


def open_budget(clock, **limits):
    return ClientBudget(BudgetLimits(**limits), clock)


def add(budget, address, n_bytes, phase=Phase.ARRIVING):
    holder = budget.open(address, f"{address} {n_bytes}")
    budget.hold(holder, n_bytes, phase)
    return holder


def test_small_client_does_not_pay_for_the_crowd_at_another_address(clock):
    """Without the sum by address the largest single holder would be refused."""
    budget = open_budget(clock, max_held_bytes=MAX_BYTES)
    crowd = [add(budget, "crowd", 100_000) for _ in range(7)]
    ordinary = add(budget, "ordinary", 290_000)
    assert budget.reached_limit(ordinary) is Limit.HELD_BYTES
    assert budget.choose(ordinary, Limit.HELD_BYTES, ()) in crowd


def test_one_address_leaves_a_part_of_the_budget_to_others(clock):
    budget = open_budget(clock, max_held_bytes=MAX_BYTES)
    served = add(budget, "crowd", int(MAX_BYTES * ADDRESS_SHARE), Phase.SERVED)
    assert budget.reached_limit(served) is Limit.HELD_BYTES
    ordinary = add(budget, "ordinary", 50_000)
    assert budget.reached_limit(ordinary) is None
    # Others aren't refused for what the crowd holds beyond its share.
    assert budget.choose(served, Limit.HELD_BYTES, ()) is None


def test_connection_without_progress_goes_before_a_larger_one(clock):
    budget = open_budget(clock, max_held_bytes=MAX_BYTES)
    stalled = add(budget, "crowd", 400_000)
    clock.at_ms = STALL_MS + 1
    moving = add(budget, "crowd", 600_000)
    assert budget.choose(moving, Limit.HELD_BYTES, ()) is stalled
    assert budget.choose(moving, Limit.HELD_BYTES, {stalled}) is moving


def test_request_that_is_served_is_never_chosen(clock):
    """A request that may have run must not get a 503."""
    budget = open_budget(clock, max_held_bytes=MAX_BYTES)
    add(budget, "crowd", 900_000, Phase.SERVED)
    arriving = add(budget, "crowd", 200_000)
    assert budget.choose(arriving, Limit.HELD_BYTES, ()) is arriving
    assert budget.choose(arriving, Limit.HELD_BYTES, {arriving}) is None


def test_connections_of_the_address_with_most_are_closed_first(clock):
    budget = open_budget(clock, max_connections=4)
    crowd = [add(budget, "crowd", 0) for _ in range(3)]
    ordinary = add(budget, "ordinary", 10_000)
    assert budget.reached_limit(ordinary) is None
    clock.at_ms = 1.0
    budget.note_progress(crowd[1])
    budget.note_progress(crowd[2])
    newest = add(budget, "another", 0)
    assert budget.reached_limit(newest) is Limit.CONNECTIONS
    assert budget.choose(newest, Limit.CONNECTIONS, ()) is crowd[0]


def test_unread_responses_are_closed_at_the_address_that_has_most(clock):
    budget = open_budget(clock)
    crowd = [add(budget, "crowd", 1_000, Phase.SENDING) for _ in range(2)]
    add(budget, "ordinary", 1_000, Phase.SENDING)
    assert budget.choose_unread() is None
    clock.at_ms = STALL_MS + 1
    assert budget.choose_unread() in crowd


def test_closed_connections_hold_nothing(clock):
    budget = open_budget(clock, max_held_bytes=MAX_BYTES, max_connections=1)
    holder = add(budget, "a", 10)
    assert budget.n_held_bytes == CONNECTION_BYTES + 10
    budget.close(holder)
    budget.hold(holder, 500, Phase.SENDING)
    budget.close(holder)
    assert (budget.n_held_bytes, budget.n_connections) == (0, 0)
    assert budget.reached_limit(holder) is None


BODIES = {
    "empty arrays": b"[" + b"[]," * 20_000 + b"[]]",
    "empty objects": b"[" + b"{}," * 20_000 + b"{}]",
    "small objects": b"[" + b'{"a":1},' * 20_000 + b"0]",
    "numbers": b"[" + b"1.5," * 20_000 + b"0]",
    "large integers": b"[" + b"3000000000," * 20_000 + b"0]",
    "short texts": b"[" + b'"ab",' * 20_000 + b"0]",
    "one text": b'["' + b"a" * 100_000 + b'"]',
    "one wide text": b'["' + b"a" * 100_000 + "\U0001f600".encode() + b'"]',
    "nested": b"[" * 500 + b"]" * 500,
}


def size_of(value):
    """Return the memory of a decoded value, with what the garbage collector adds."""
    if isinstance(value, dict):
        return sys.getsizeof(value) + sum(map(size_of, value.values()))
    if isinstance(value, list):
        return sys.getsizeof(value) + sum(map(size_of, value))
    return sys.getsizeof(value)


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
def test_cost_of_a_body_covers_its_decoded_value(body):
    assert size_of(msgspec.json.decode(body)) <= decoded_cost_bytes(body)


def test_settings_leave_room_for_the_largest_request():
    """A budget that the largest request exceeds would refuse it in calm."""
    n_body_bytes = 1_000_000
    body_bytes = (1 + MAX_DECODED_BYTES_PER_BYTE) * n_body_bytes
    head_bytes = MAX_HEAD_BYTES + head_cost_bytes(b"a:\r\n" * (MAX_HEAD_BYTES // 4))
    allowed = checks.HELD_PER_BODY_BYTE * n_body_bytes + checks.HELD_PER_HEAD_BYTES
    needed = body_bytes + head_bytes + CONNECTION_BYTES
    assert needed <= ADDRESS_SHARE * allowed
