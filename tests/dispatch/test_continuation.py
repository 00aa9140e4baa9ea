"""Event ids are bound to their caller and rejected if altered."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.dispatch import Caller
from buckthornrock.dispatch.continuation import (
    Delivered,
    EventIds,
    StreamOrigin,
    body_digest,
)

SECRET = "a-secret-of-the-tests"
CALLER = Caller("agency", "north")
ORIGIN = StreamOrigin("r1", "engine-0", "inc-7", "w1", body_digest({"prompt": "x"}))


def event_id(caller=CALLER, n_pieces=3):
    delivered = Delivered()
    for _ in range(n_pieces):
        delivered = delivered.extended("żółw ".encode(), 2)
    return EventIds(SECRET).seal(caller, ORIGIN)(delivered).decode()


def test_any_instance_opens_event_ids_of_another():
    point = EventIds(SECRET).open(CALLER, event_id()).ok
    assert point.origin == ORIGIN
    assert (point.delivered.n_tokens, point.delivered.n_bytes) == (6, 24)


OTHERS = [Caller("agency", "south"), Caller("shop", "north"), Caller("agencynorth", "")]


@pytest.mark.parametrize("other", OTHERS)
def test_another_caller_is_refused(other):
    assert EventIds(SECRET).open(other, event_id()).error.code == "bad-event-id"
    assert EventIds("another-secret-of-some").open(CALLER, event_id()).is_error()


@given(st.data())
def test_altered_id_is_refused(data):
    good = event_id()
    at = data.draw(st.integers(0, len(good) - 1))
    changed = data.draw(st.characters(codec="ascii").filter(lambda c: c != good[at]))
    bad = good[:at] + changed + good[at + 1 :]
    assert EventIds(SECRET).open(CALLER, bad).is_error()


@given(st.text(max_size=200))
def test_garbage_is_refused(garbage):
    assert EventIds(SECRET).open(CALLER, garbage).is_error()


def test_parts_of_two_ids_can_not_be_combined():
    first, second = event_id(n_pieces=1).split("."), event_id(n_pieces=2).split(".")
    mixed = ".".join([first[0], *second[1:]])
    assert EventIds(SECRET).open(CALLER, mixed).is_error()


def test_body_digest_ignores_the_order_of_keys_only():
    assert body_digest({"a": 1, "b": 2}) == body_digest({"b": 2, "a": 1})
    assert body_digest({"a": 1}) != body_digest({"a": 2})
