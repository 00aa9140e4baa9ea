"""Chunked bodies are decoded whatever pieces they arrive in."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.upstreams.chunked import ChunkedBody, FramingError


def framed(parts):
    body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return body + b"0\r\n\r\n"


@given(
    parts=st.lists(st.binary(min_size=1, max_size=40), max_size=6),
    cuts=st.lists(st.integers(0, 400), max_size=8),
    extra=st.binary(max_size=3),
)
def test_body_is_decoded_from_any_pieces(parts, cuts, extra):
    raw = framed(parts) + extra
    edges = sorted({0, len(raw), *(cut for cut in cuts if cut < len(raw))})
    body = ChunkedBody()
    out = [body.feed(raw[a:b]) for a, b in zip(edges, edges[1:], strict=False)]
    assert b"".join(out) == b"".join(parts)
    assert body.is_ended
    assert body.n_extra_bytes == len(extra)


@pytest.mark.parametrize(
    "raw",
    [b"zz\r\n", b"-1\r\nx", b"+1\r\nx", b"3\r\nabcdef\r\n", b"\r\n", b"f" * 300],
)
def test_malformed_framing_is_rejected(raw):
    with pytest.raises(FramingError):
        ChunkedBody().feed(raw)
