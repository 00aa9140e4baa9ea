"""Authentic frames are decoded; all others are dropped with a reason."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.wire.codec import MAC_BYTES, Codec, Identity
from buckthornrock.wire.membership_messages import MemberRecord, News
from buckthornrock.wire.message import Ack, Message
from buckthornrock.wire.replay import ReplayFilter

A = Identity("a", "run-1")
B = Identity("b", "run-2")
SECRET = "a-shared-secret-of-the-fleet"
RECORD = MemberRecord("a", "127.0.0.1:1", "fd", "r", "run-1", 5)


class NewerRecord(Message, tag="membership.record"):
    instance_id: str
    address: str
    failure_domain: str
    region: str
    incarnation: str
    version: int
    state: str = "live"
    added_later: int = 7


class NewerNews(Message, tag="membership.news"):
    records: tuple[NewerRecord, ...]
    hops: int = 3


class FutureMessage(Message, tag="future.message"):
    value: int = 1


def codec(**changes):
    return Codec(**{"shared_secret": SECRET, "max_frame_bytes": 4_096, **changes})


def encode_frame(body, direction="request", **changes):
    return codec(**changes).encode_frame(direction, A, B, 3, body)


def test_frame_decodes_to_the_same_message():
    envelope = codec().decode_frame("request", encode_frame(News((RECORD,)))).ok
    assert (envelope.sender, envelope.recipient, envelope.sequence) == ("a", "b", 3)
    assert codec().decode_body(envelope).ok == News((RECORD,))


BAD_FRAMES = [
    ("bad_mac", b""),
    ("bad_mac", b"x" * 40),
    ("bad_mac", encode_frame(Ack(), shared_secret="another-fleet's-secret")),
    ("bad_mac", encode_frame(Ack(), direction="reply")),
    ("oversized", b"x" * 5_000),
    ("malformed", codec()._mac("request", b"\x01") + b"\x01"),
]


@pytest.mark.parametrize(("reason", "frame"), BAD_FRAMES)
def test_bad_frame_is_dropped_with_its_reason(reason, frame):
    assert codec().decode_frame("request", frame).error.reason == reason


@given(st.data())
def test_frame_with_a_flipped_bit_is_dropped(data):
    frame = bytearray(encode_frame(News((RECORD,))))
    index = data.draw(st.integers(0, len(frame) - 1))
    frame[index] ^= 1 << data.draw(st.integers(0, 7))
    assert codec().decode_frame("request", bytes(frame)).error.reason == "bad_mac"


def test_older_reader_decodes_a_newer_message():
    newer = NewerNews((NewerRecord("a", "127.0.0.1:1", "fd", "r", "run-1", 5),))
    envelope = codec().decode_frame("request", encode_frame(newer, version=2)).ok
    assert codec().decode_body(envelope).ok == News((RECORD,))


def test_newer_reader_decodes_an_older_message():
    newer = codec(message_types=(NewerNews, NewerRecord), version=2)
    envelope = newer.decode_frame("request", encode_frame(News((RECORD,)))).ok
    assert newer.decode_body(envelope).ok.records[0].added_later == 7


def test_newer_envelope_with_more_fields_is_decoded():
    envelope = codec().decode_frame("request", encode_frame(Ack())).ok
    fields = [*msgspec.structs.astuple(envelope), "appended"]
    raw = msgspec.msgpack.encode(fields)
    assert codec().decode_frame("request", codec()._mac("request", raw) + raw).is_ok()


def test_unknown_message_type_is_a_bad_frame():
    envelope = codec().decode_frame("request", encode_frame(FutureMessage())).ok
    assert codec().decode_body(envelope).error.reason == "unknown_message"


def test_frame_that_needs_a_newer_reader_is_dropped():
    envelope = codec().decode_frame("request", encode_frame(Ack())).ok
    newer = msgspec.structs.replace(envelope, oldest_reader=9)
    raw = msgspec.msgpack.encode(newer)
    frame = codec()._mac("request", raw) + raw
    assert len(frame) > MAC_BYTES
    assert codec().decode_frame("request", frame).error.reason == "too_new"


@given(st.lists(st.integers(0, 40), max_size=60))
def test_replay_filter_accepts_each_sequence_at_most_once(sequences):
    window = 8
    replays = ReplayFilter(window_frames=window)
    accepted = []
    for sequence in sequences:
        highest = max(accepted, default=-1)
        is_new = replays.accept("run", sequence)
        in_window = sequence > highest - window
        assert is_new == (in_window and sequence not in accepted)
        accepted += [sequence] if is_new else []


def test_replay_filter_limits_the_number_of_senders():
    replays = ReplayFilter(max_senders=2)
    for incarnation in ("a", "b", "c"):
        assert replays.accept(incarnation, 1)
    assert not replays.accept("c", 1)
    assert len(replays._windows) == 2
