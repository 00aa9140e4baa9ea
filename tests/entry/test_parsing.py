"""Requests that the router can't serve correctly are refused before they run."""

import time

import msgspec
import pytest

from buckthornrock.entry.parsing import (
    parse_completion,
    parse_deadline_ms,
    parse_object,
    parse_preferences,
)
from buckthornrock.entry.services import split_target

PLAIN = {"model": "small", "prompt": "x"}

#: Fields with values for which the router can't build a response.
REFUSED = [
    {"n": 2},
    {"best_of": 2},
    {"echo": True},
    {"prompt": ["x", "y"]},
    {"max_tokens": 0},
    {"max_tokens": 10**30},
    {"prefix_levels": [5, 3]},
]


@pytest.mark.parametrize("changes", REFUSED, ids=str)
def test_completion_is_refused(changes):
    assert parse_completion(PLAIN | changes, is_chat=False).is_error()


ACCEPTED = [{"n": 1}, {"best_of": 1}, {"echo": False}, {"suffix": "y"}, {"seed": 1}]


@pytest.mark.parametrize("changes", ACCEPTED, ids=str)
def test_completion_is_accepted(changes):
    assert parse_completion(PLAIN | changes, is_chat=False).is_ok()


INVALID_BODIES = [
    b"",
    b"[]",
    b"NaN",
    b'{"a": Infinity}',
    b'{"a": 1e999}',
    b'{"a": "\xff"}',
]
INVALID_BODIES += [b'{"a": "\\ud800"}', b'{"a": ' + b"9" * 5_000 + b"}", b"[" * 100_000]


@pytest.mark.parametrize("raw", INVALID_BODIES, ids=lambda raw: repr(raw[:20]))
def test_body_is_refused(raw):
    assert parse_object(raw).is_error()


@pytest.mark.parametrize("header", ["-1", "0", "1.5", "x", "²", "9" * 5_000])
def test_deadline_is_refused(header):
    assert parse_deadline_ms(header, 1).is_error()


def test_integers_beyond_64_bits_are_kept():
    raw = b'{"seed": 123456789012345678901234567890}'
    assert msgspec.json.encode(parse_object(raw).ok) == raw.replace(b" ", b"")


@pytest.mark.parametrize("field", ["n", "best_of"])
def test_refusal_names_the_field_at_fault(field):
    refused = parse_completion(PLAIN | {field: 2}, is_chat=False)
    assert refused.error.path == f"$.{field}"


PREFERENCES = [
    # Header -> whether an asynchronous response is preferred, seconds to wait.
    ("respond-async", True, ""),
    ("Respond-Async, WAIT=15", True, "15"),
    ("wait=5 , respond-async; foo=bar", True, "5"),
    ('respond-async, wait="7"', True, "7"),
    ("wait=5, wait=9, respond-async", True, "5"),
    ("no-respond-async", False, ""),
    ("respond-async-later", False, ""),
    ('x="respond-async"', False, ""),
    ('x="a, respond-async, b"', False, ""),
    ("handling=lenient; respond-async", False, ""),
    ("respond-wait=9, respond-async", True, ""),
    ("", False, ""),
]


@pytest.mark.parametrize(("header", "is_async", "wait"), PREFERENCES)
def test_preferences_are_read_by_name(header, is_async, wait):
    preferences = parse_preferences(header)
    assert ("respond-async" in preferences) == is_async
    assert preferences.get("wait", "") == wait


@pytest.mark.parametrize(
    "header", ["a" * 60_000 + '"', "a=" * 30_000 + '"', '"' * 60_001, ',"' * 30_000]
)
def test_long_preferences_are_read_in_linear_time(header):
    started_s = time.perf_counter()
    assert "respond-async" not in parse_preferences(header)
    assert time.perf_counter() - started_s < 1.0


TARGETS = [
    ("/services/orders/kilo?q=1", "orders", "/kilo?q=1"),
    ("/services/orders", "orders", "/"),
    ("/services/orders?q=1", "orders", "/?q=1"),
    ("/services/orders?q=a/b", "orders", "/?q=a/b"),
    ("/services/?q=1", "", "/?q=1"),
]


@pytest.mark.parametrize(("target", "service", "path"), TARGETS)
def test_service_is_named_by_the_path_alone(target, service, path):
    assert split_target(target) == (service, path)
