"""Keys, hashes and seals are those of an older build.

The values were computed by version 0.1.0. Guards against a changed word in a hash, a
key of the store or a MAC, after which instances of two builds no longer agree.
"""

import pytest

from buckthornrock.deferred import records
from buckthornrock.idempotency.issued_keys import IssuedKeyClaims, KeySeal
from buckthornrock.profiles.stored import HISTORY_PREFIX
from buckthornrock.routing.blocks import BlockHasher
from buckthornrock.routing.isolation import cache_salt
from buckthornrock.runtime import rendezvous
from buckthornrock.scheduling import prompt
from buckthornrock.wire import numeric_ids
from buckthornrock.wire.codec import Codec, Identity
from buckthornrock.wire.message import Ack

SENDER = Identity("edge-a-1", "run-1")
RECIPIENT = Identity("edge-b-1", "run-2")
SALT = "00112233445566778899aabbccddeeff"
CLAIMS = IssuedKeyClaims("edge-a-1", "run-1", b"twelve bytes", 1_234)
FRAME_CODEC = Codec("a shared secret", 100_000)
IDS = ("edge-a-1", "edge-a-2", "edge-b-1", "edge-b-2")
VALUES = [
    (numeric_ids.incarnation_number("engine-1", 1_700_000_000_000), 2800458728),
    (numeric_ids.part_number("salt", "part"), 3959306533163629900),
    (rendezvous.rank(b"a key", IDS), ["edge-a-2", "edge-a-1", "edge-b-1", "edge-b-2"]),
    (rendezvous.owner(b"another key", IDS), "edge-b-2"),
    (
        cache_salt("a secret", "account", "member", "model", "w1", "adapter"),
        "d73a1b700572e330f8e306387b828a54",
    ),
    (prompt.cache_salt("account=a", "model", 3), "account=a/model/3"),
    (prompt.cache_salt("", "model", None), "/model/0"),
    (
        BlockHasher(8).chain(SALT, b"a prompt of three blocks and a bit").tolist(),
        [
            16614054005334622056,
            2967728698268506381,
            16683467983040528787,
            13818064528828977672,
        ],
    ),
    (records.segment_key("s1"), "deferred/s/s1"),
    (records.outcomes_key("s1"), "deferred/o/s1"),
    (records.summary_key("s1"), "deferred/i/s1"),
    (records.claim_key("s1"), "deferred/c/s1"),
    (records.idempotency_record_key("d1"), "deferred/k/d1"),
    (records.part_key("b1", 2), "deferred/b/b1/2"),
    (records.pin_key("b1"), "deferred/q/b1"),
    (records.batch_key("r1", 2), "deferred/r/r1/2"),
    (records.deletion_prefix(1_700_000_000_000), "deferred/t/0028333333/"),
    (records.shard_prefix("i", 7), "deferred/i/7"),
    (HISTORY_PREFIX, "profile-history/"),
    (
        KeySeal(b"a secret").seal(CLAIMS, "account", "member"),
        "ik1.IZ_ItCuZo-7MqO8xmTacMpSoZWRnZS1hLTGlcnVuLTHEDHR3ZWx2ZSBieXRlc80E0g",
    ),
    (
        FRAME_CODEC.encode_frame("request", SENDER, RECIPIENT, 7, Ack()),
        b"\xbf1\xd2\xbdq\xeaf_3\x8d\x99\x1f\xdd\r\x8f\xfb\x98\x01\x01\xa8edge-a-1\xa5run-1\xa8edge-b-1\xa5run-2\x07\x81\xa4type\xa8wire.ack",
    ),
    (
        FRAME_CODEC.encode_frame("reply", SENDER, RECIPIENT, 7, Ack()),
        b"\x8e\x96\xda.\xa7\xc7\x809;C\x84Q\x12J\xd0\xce\x98\x01\x01\xa8edge-a-1\xa5run-1\xa8edge-b-1\xa5run-2\x07\x81\xa4type\xa8wire.ack",
    ),
]


@pytest.mark.parametrize(("computed", "expected"), VALUES)
def test_older_build_computes_the_same(computed, expected):
    assert computed == expected
