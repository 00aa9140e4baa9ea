"""Numbers in headers and events that are too large, or are none, count as absent."""

import pytest

from buckthornrock.gateway.event_stream import EventSplitter
from buckthornrock.platform.headers import decode_request, decode_response
from buckthornrock.scheduling.prompt import parse_prompt

NUMBERS = ["inf", "nan", "1e999", "9" * 5_000, "²", "-1", "1.5", "", "x"]


@pytest.mark.parametrize("number", NUMBERS)
@pytest.mark.parametrize("name", ["Weight-Versions", "Instance-Load", "Deadline-Ms"])
def test_odd_number_in_a_header_counts_as_absent(number, name):
    """Unlike 1.5 and -1, the first four let an exception out of the decoder."""
    value = number.encode("latin-1")
    if name == "Instance-Load":
        value = value + b",1,8"
    headers = [(b"X-Buckthornrock-" + name.encode(), value)]
    response = decode_response(200, headers)
    assert response.load is None
    assert response.weights_version is None
    deadline_ms = decode_request(headers).deadline_ms
    is_finite = number in ("-1", "1.5") and name == "Deadline-Ms"
    assert deadline_ms == (float(number) if is_finite else None)


@pytest.mark.parametrize("number", [*NUMBERS, "9" * 400])
def test_odd_number_of_tokens_is_malformed(number):
    assert parse_prompt("m", f"{number},20", "aa:60").is_error()
    assert parse_prompt("m", "100,20", f"aa:{number}").is_error()


@pytest.mark.parametrize("number", [b"9" * 5_000, b"-1", b"\xb2", b"1e3"])
def test_event_with_an_odd_id_has_none(number):
    (event,) = EventSplitter().feed(b"id: " + number + b"\ndata: x\n\n")
    assert event.event_id is None
