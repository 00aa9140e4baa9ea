"""Encodes messages into authenticated frames and decodes them.

A frame is a MAC followed by an envelope in MessagePack. The MAC covers the whole
envelope. Requests and replies use different keys, so that a request is never
accepted as a reply or the other way round.
"""

import hashlib
import hmac
from typing import Literal, NamedTuple, Union

import msgspec
from expression import Error, Ok, Result

from ..runtime.decoding import UNDECODABLE
from . import (
    idempotency_messages,
    membership_messages,
    message,
    profile_messages,
    routing_messages,
    share_messages,
)
from .errors import BadFrame
from .message import Message

PROTOCOL_VERSION = 1
#: The oldest protocol version that can decode the frames of this one.
OLDEST_READER_VERSION = 1
MAC_BYTES = 16

Direction = Literal["request", "reply"]

#: Every type of message that instances exchange, by subsystem.
MESSAGE_TYPES: tuple[type[Message], ...] = (
    message.Ack,
    message.Misaddressed,
    message.Unsupported,
    message.HandlerFailed,
    message.Overloaded,
    membership_messages.MemberRecord,
    membership_messages.Probe,
    membership_messages.ProbeReply,
    membership_messages.News,
    profile_messages.ProfilePush,
    profile_messages.ProfileSummary,
    profile_messages.ProfileOrders,
    profile_messages.ProfileFetch,
    profile_messages.ProfileStatusQuery,
    profile_messages.ProfileStatusReply,
    share_messages.DemandReport,
    share_messages.ShareGrant,
    idempotency_messages.IssuedCall,
    idempotency_messages.IssuedOutcome,
    routing_messages.RoutingDigest,
    routing_messages.LevelReport,
    routing_messages.LevelAnswer,
)


class Identity(NamedTuple):
    """An instance and its incarnation, which differs with each run of the process."""

    instance_id: str
    incarnation: str


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Metadata around an encoded message; later versions may append fields.

    A reply repeats the ``sequence`` of its request. An empty
    ``recipient_incarnation`` means that the sender doesn't know it yet.
    """

    version: int
    oldest_reader: int
    sender: str
    sender_incarnation: str
    recipient: str
    recipient_incarnation: str
    sequence: int
    body: msgspec.Raw


class Codec:
    """Encodes and decodes frames with keys derived from the shared secret."""

    def __init__(
        self,
        shared_secret: str,
        max_frame_bytes: int,
        message_types: tuple[type[Message], ...] = MESSAGE_TYPES,
        version: int = PROTOCOL_VERSION,
    ) -> None:
        self._keys = {
            direction: _derive_key(shared_secret, direction)
            for direction in ("request", "reply")
        }
        self._max_frame_bytes = max_frame_bytes
        self._version = version
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._message_decoder = msgspec.msgpack.Decoder(Union[message_types])  # noqa: UP007

    def encode_frame(
        self,
        direction: Direction,
        sender: Identity,
        recipient: Identity,
        sequence: int,
        body: Message,
    ) -> bytes:
        """Return an authenticated frame with one message."""
        envelope = Envelope(
            version=self._version,
            oldest_reader=OLDEST_READER_VERSION,
            sender=sender.instance_id,
            sender_incarnation=sender.incarnation,
            recipient=recipient.instance_id,
            recipient_incarnation=recipient.incarnation,
            sequence=sequence,
            body=msgspec.Raw(msgspec.msgpack.encode(body)),
        )
        raw = msgspec.msgpack.encode(envelope)
        return self._mac(direction, raw) + raw

    def decode_frame(
        self, direction: Direction, frame: bytes
    ) -> Result[Envelope, BadFrame]:
        """Return the envelope of a frame, or why the frame is dropped."""
        if len(frame) > self._max_frame_bytes:
            return Error(BadFrame("oversized"))
        mac, raw = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(direction, raw)):
            return Error(BadFrame("bad_mac"))
        try:
            envelope = self._envelope_decoder.decode(raw)
        except UNDECODABLE:
            return Error(BadFrame("malformed"))
        if envelope.oldest_reader > self._version:
            return Error(BadFrame("too_new"))
        return Ok(envelope)

    def decode_body(self, envelope: Envelope) -> Result[Message, BadFrame]:
        """Return the message of an envelope; an unknown type is a bad frame."""
        try:
            return Ok(self._message_decoder.decode(envelope.body))
        except UNDECODABLE:
            return Error(BadFrame("unknown_message"))

    def _mac(self, direction: Direction, raw: bytes) -> bytes:
        key = self._keys[direction]
        return hashlib.blake2b(raw, digest_size=MAC_BYTES, key=key).digest()


def _derive_key(shared_secret: str, direction: str) -> bytes:
    secret = hashlib.blake2b(shared_secret.encode()).digest()
    return hashlib.blake2b(direction.encode(), key=secret).digest()
