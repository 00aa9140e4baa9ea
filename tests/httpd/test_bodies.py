"""Bodies are the same however the network cuts them into parts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.httpd.bodies import (
    MALFORMED,
    MAX_LINE_BYTES,
    MAX_TRAILER_BYTES,
    TOO_LARGE,
    BodyCollector,
    body_collector,
)

MAX_BYTES = 300_000
NEXT_REQUEST = b"GET / HTTP/1.1\r\n\r\n"


def collect(collector, raw, cuts):
    """Feed ``raw`` in parts; return what is left of it."""
    received = bytearray()
    edges = sorted({0, len(raw), *(cut % (len(raw) + 1) for cut in cuts)})
    for begin, end in zip(edges, edges[1:], strict=False):
        received += raw[begin:end]
        collector.take(received)
    return bytes(received)


@st.composite
def chunked(draw):
    """Return a body and its chunked encoding, with extensions and trailers."""
    chunks = draw(st.lists(st.binary(min_size=1, max_size=100_000), max_size=4))
    small = draw(st.lists(st.binary(min_size=1, max_size=3), max_size=50))
    extension = draw(st.sampled_from([b"", b";a=b", b" ; x"]))
    trailer = draw(st.sampled_from([b"", b"A: b\r\n", b"A: b\r\nC: d\r\n"]))
    parts = chunks + small
    lines = [b"%x%b\r\n%b\r\n" % (len(p), extension, p) for p in parts]
    return b"".join(parts), b"".join(lines) + b"0\r\n" + trailer + b"\r\n"


CUTS = st.lists(st.integers(0, 500_000), max_size=30)


@given(chunked(), CUTS)
def test_chunked_body_is_collected_from_any_parts(encoded, cuts):
    body, raw = encoded
    collector = BodyCollector(None, 0)
    rest = collect(collector, raw + NEXT_REQUEST, cuts)
    assert collector.is_complete
    assert (collector.result().ok, rest) == (body, NEXT_REQUEST)


@given(chunked(), CUTS, st.integers(1, 20))
def test_turns_take_a_bounded_number_of_parts(encoded, cuts, max_parts):
    """Small chunks must not keep a thread, nor be lost between two turns."""
    body, raw = encoded
    raw += NEXT_REQUEST
    collector = BodyCollector(None, 0)
    received = bytearray()
    edges = sorted({0, len(raw), *(cut % (len(raw) + 1) for cut in cuts)})
    for begin, end in zip(edges, edges[1:], strict=False):
        received += raw[begin:end]
        collector.needs_data = False
        while not (collector.is_complete or collector.needs_data):
            n_lines = received.count(b"\n")
            collector.take(received, max_parts)
            assert n_lines - received.count(b"\n") <= max_parts + body.count(b"\n")
    assert (collector.result().ok, bytes(received)) == (body, NEXT_REQUEST)


@given(st.binary(max_size=200_000), CUTS)
def test_body_with_length_is_collected_from_any_parts(body, cuts):
    collector = BodyCollector(len(body), 0)
    rest = collect(collector, body + NEXT_REQUEST, cuts)
    assert (collector.result().ok, rest) == (body, NEXT_REQUEST)


@given(st.binary(max_size=3_000), CUTS)
def test_any_bytes_end_in_a_result_or_wait_for_more(raw, cuts):
    """Malformed input must not raise, and must not be kept without a bound."""
    collector = BodyCollector(None, 1_000)
    rest = collect(collector, raw, cuts)
    assert len(collector) <= 1_000
    assert collector.is_complete or len(rest) <= MAX_LINE_BYTES


REFUSED = {
    "no size": (b"zz\r\n", MALFORMED),
    "negative size": (b"-1\r\n", MALFORMED),
    "too many digits": (b"0" * 17 + b"\r\n", MALFORMED),
    "endless line": (b"1;" + b"a" * MAX_LINE_BYTES, MALFORMED),
    "no line end behind a chunk": (b"1\r\nabc\r\n", MALFORMED),
    "large chunk": (b"%x\r\n" % (MAX_BYTES + 1), TOO_LARGE),
    "many chunks": (b"400\r\n" + b"a" * 1_024 + b"\r\n", TOO_LARGE),
    "endless trailer": (b"0\r\n" + b"a" * (MAX_TRAILER_BYTES + 1), MALFORMED),
    "many trailers": (b"0\r\n" + b"a: b\r\n" * MAX_TRAILER_BYTES, MALFORMED),
}


@pytest.mark.parametrize(("raw", "problem"), REFUSED.values(), ids=REFUSED)
def test_unreadable_chunks_are_refused(raw, problem):
    collector = BodyCollector(None, MAX_BYTES)
    received = bytearray(raw * 400 if raw.startswith(b"400") else raw)
    collector.take(received)
    assert collector.is_complete
    assert collector.result().error == problem
    assert len(collector) == 0


@pytest.mark.parametrize(
    ("length", "problem"), [(b"301", TOO_LARGE), (b"-1", MALFORMED)]
)
def test_length_out_of_range_is_refused_at_the_head(length, problem):
    collector = body_collector({b"Content-Length": length}, False, 300)
    assert collector.is_complete
    assert collector.result().error == problem
