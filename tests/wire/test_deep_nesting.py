"""Very deeply nested bytes are a typed failure of every decoder."""

import zlib
from types import SimpleNamespace

import pytest
from expression import Ok

from buckthornrock.conf.loading import parse_settings
from buckthornrock.operator import orders, profiles
from buckthornrock.profiles.encoding import from_wire
from buckthornrock.profiles.stored import decode_entry
from buckthornrock.store.kv_port import KvEntry
from buckthornrock.upstreams import order_client
from buckthornrock.wire.codec import Codec
from buckthornrock.wire.profile_messages import WireProfile

JSON = b"[" * 100_000
OBJECT = b'{"a":' * 50_000
MSGPACK = b"\x91" * 100_000
EXCHANGE = SimpleNamespace(read_body=lambda is_decoded=False: Ok(OBJECT))


def decode_envelope():
    codec = Codec("secret", 10_000_000)
    return codec.decode_frame("request", codec._mac("request", MSGPACK) + MSGPACK)


def decode_body():
    codec = Codec("secret", 10_000_000)
    return codec.decode_body(SimpleNamespace(body=MSGPACK))


@pytest.mark.parametrize(
    "decode",
    [
        lambda: parse_settings(JSON),
        lambda: orders._decode(EXCHANGE, dict),
        lambda: profiles._read_body(EXCHANGE, dict),
        lambda: order_client._decode("i", OBJECT, dict),
        lambda: decode_entry(KvEntry("p", OBJECT, 1, 0, b""), "p"),
        lambda: from_wire(WireProfile("p", 1, "a", 1, zlib.compress(JSON))),
        decode_envelope,
        decode_body,
    ],
    ids=["settings", "orders", "profiles", "engine", "stored", "wire", "frame", "body"],
)
def test_deeply_nested_bytes_are_a_typed_failure(decode):
    """RecursionError left these decoders and ended the handler or the actor."""
    assert decode().is_error()
