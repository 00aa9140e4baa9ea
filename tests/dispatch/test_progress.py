"""Responses assembled from attempts that may break at any point."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.dispatch.continuation import Delivered, ResumePoint, StreamOrigin
from buckthornrock.dispatch.progress import Progress, Replay
from buckthornrock.upstreams.engine_messages import EngineChoice, EngineChunk
from buckthornrock.upstreams.engine_stream import BrokenStreamError

ORIGIN = StreamOrigin("r1", "engine-0", "s1", "w1", b"digest")
TOKENS = st.lists(st.text("aż€", min_size=1, max_size=4), min_size=1, max_size=30)


def chunks_of(tokens, start, sizes):
    """Split the tokens from ``start`` on into chunks, cycling through the sizes."""
    at = start
    for n_tokens in itertools.cycle(sizes):
        if at >= len(tokens):
            return
        piece = tokens[at : at + n_tokens]
        is_last = at + len(piece) == len(tokens)
        choice = EngineChoice(0, "".join(piece), "length" if is_last else None)
        yield EngineChunk("r1", "s1", at, [choice], n_tokens=len(piece))
        at += len(piece)


def deliver(progress, chunks, n_chunks, replay=None):
    """Run one attempt that breaks after ``n_chunks``; return the delivered text."""
    out = []
    for _, chunk in zip(range(n_chunks), chunks, strict=False):
        remainder = chunk
        if replay is not None and not replay.is_done:
            remainder = replay.feed(chunk)
            if replay.is_done and progress.text is None:
                progress.text = replay.text()
        if remainder is None:
            continue
        assert remainder.offset == progress.delivered.n_tokens
        progress.add(remainder)
        out.append(remainder.choices[0].text)
    return "".join(out)


SIZES = st.lists(st.integers(1, 4), min_size=1, max_size=3)
# Whether the caller reconnects first, whether the engine starts over, the number of
# chunks before the attempt breaks, and the sizes of the chunks.
ATTEMPTS = st.lists(
    st.tuples(st.booleans(), st.booleans(), st.integers(0, 12), SIZES), max_size=6
)


@given(TOKENS, ATTEMPTS)
def test_any_sequence_of_broken_attempts_gives_the_whole_response(tokens, attempts):
    progress = Progress("r1", 0.0, None)
    got = ""
    for is_reconnect, starts_over, n_chunks, sizes in [
        *attempts,
        (False, True, 1_000, [1]),
    ]:
        if progress.is_finished:
            break
        if is_reconnect:
            # The instance that the caller reconnects to does not have the text.
            progress = Progress("r2", 0.0, ResumePoint(ORIGIN, progress.delivered))
        is_from_start = progress.text is None and starts_over
        replay = Replay(progress.delivered) if is_from_start else None
        start = 0 if is_from_start else progress.delivered.n_tokens
        got += deliver(progress, chunks_of(tokens, start, sizes), n_chunks, replay)
        assert "".join(tokens).startswith(got)
        if progress.text is not None:
            assert progress.text.decode() == got
    assert got == "".join(tokens)


@given(TOKENS, st.data())
def test_recomputed_response_that_differs_is_never_delivered(tokens, data):
    at = data.draw(st.integers(0, len(tokens) - 1))
    other = [*tokens[:at], tokens[at] + "!", *tokens[at + 1 :]]
    n_delivered = data.draw(st.integers(at + 1, len(tokens)))
    raw = "".join(tokens[:n_delivered]).encode()
    progress = Progress("r2", 0.0, None)
    progress._resume_from(ResumePoint(ORIGIN, Delivered().extended(raw, n_delivered)))
    replay = Replay(progress.delivered)
    with pytest.raises(BrokenStreamError):
        deliver(progress, chunks_of(other, 0, [1]), 100, replay)
        raise AssertionError("the differing response was delivered")


@given(st.lists(st.binary(max_size=9), max_size=8))
def test_checksum_does_not_depend_on_the_pieces(pieces):
    whole = Delivered().extended(b"".join(pieces), len(pieces))
    joined = Delivered()
    for piece in pieces:
        joined = joined.extended(piece, 1)
    assert joined == whole
