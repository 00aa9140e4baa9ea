"""Values stored by an older build are decoded and encoded again unchanged.

The bytes were encoded by version 0.1.0. Guards against a field, a tag or an array
position that changes while values of the older build are still stored.
"""

import msgspec
import pytest

from buckthornrock.deferred import records as deferred_records
from buckthornrock.dispatch import continuation as dispatch_continuation
from buckthornrock.fleet import load_slots as fleet_load_slots
from buckthornrock.fleet import placement_document as fleet_placement_document
from buckthornrock.fleet import placement_store as fleet_placement_store
from buckthornrock.idempotency import issued_keys as idempotency_issued_keys
from buckthornrock.idempotency import records as idempotency_records
from buckthornrock.profiles import document as profiles_document
from buckthornrock.profiles import stored as profiles_stored

ENCODED = [
    (
        deferred_records.Job,
        msgspec.msgpack,
        (
            b"\x9b\xa2s1\xa2s2\xa2s3\xa2s4\xa2s5\xcd\x03\xee\xcd\x03\xef\xc4\x02b8"
            b"\xc4\x02b9\xa3s10\xa3s11"
        ),
    ),
    (deferred_records.IdempotencyRecord, msgspec.msgpack, (b"\x92\xa3s12\xc4\x03b13")),
    (
        deferred_records.Outcome,
        msgspec.msgpack,
        (b"\x96\xa3s14\xa3s15\xa3s16\xcd\x03\xf9\xcd\x03\xfa\xcd\x03\xfb"),
    ),
    (
        deferred_records.Outcomes,
        msgspec.msgpack,
        (
            b"\x93\x91\x96\xa3s20\xa3s21\xa3s22\xcd\x03\xff\xcd\x04\x00\xcd\x04\x01"
            b"\xcd\x04\x02\xc3"
        ),
    ),
    (deferred_records.Pin, msgspec.msgpack, (b"\x92\xcd\x04\x03\xcd\x04\x04")),
    (
        deferred_records.Segment,
        msgspec.msgpack,
        (
            b"\x92\x91\x9b\xa3s29\xa3s30\xa3s31\xa3s32\xa3s33\xcd\x04\n\xcd\x04\x0b"
            b"\xc4\x03b36\xc4\x03b37\xa3s38\xa3s39\x91\xa3s40"
        ),
    ),
    (
        deferred_records.SegmentSummary,
        msgspec.msgpack,
        (b"\x92\xcd\x04\x11\xcd\x04\x12"),
    ),
    (deferred_records.DeletionRecord, msgspec.msgpack, (b"\x92\x91\xa3s43\xa3s44")),
    (
        dispatch_continuation.StreamOrigin,
        msgspec.msgpack,
        (b"\x95\xa3s45\xa3s46\xa3s47\xa3s48\xc4\x03b49"),
    ),
    (
        fleet_load_slots.SlotRecord,
        msgspec.msgpack,
        (
            b"\x84\xabinstance_id\xa3s59\xabupstream_id\xa3s60\xaefailure_domain\xa3s"
            b"61\xa7is_roll\xc3"
        ),
    ),
    (
        fleet_placement_document.Placement,
        msgspec.json,
        (
            b'{"min_serving_share":62.5,"failure_domains":{"s63":{"model":"s64","weig'
            b'hts_version":"s65","adapters":["s66"],"role":"s67"}},"upstreams":{"s68"'
            b':{"model":"s69","weights_version":"s70","adapters":["s71"],"role":"s72"'
            b"}}}"
        ),
    ),
    (
        fleet_placement_document.WantedEngine,
        msgspec.json,
        (b'{"model":"s73","weights_version":"s74","adapters":["s75"],"role":"s76"}'),
    ),
    (
        fleet_placement_store.PlacementRecord,
        msgspec.json,
        (
            b'{"version":1077,"placement":{"min_serving_share":78.5,"failure_domains"'
            b':{"s79":{"model":"s80","weights_version":"s81","adapters":["s82"],"role'
            b'":"s83"}},"upstreams":{"s84":{"model":"s85","weights_version":"s86","ad'
            b'apters":["s87"],"role":"s88"}}}}'
        ),
    ),
    (
        idempotency_issued_keys.IssuedKeyClaims,
        msgspec.msgpack,
        (b"\x94\xa4s101\xa4s102\xc4\x04b103\xcd\x04P"),
    ),
    (
        idempotency_records.ClaimRecord,
        msgspec.msgpack,
        (
            b"\x86\xabfingerprint\xc4\x04b105\xa8claim_id\xa4s106\xabinstance_id\xa4s"
            b"107\xabincarnation\xa4s108\xa5state\xa8released\xa6answer\x84\xa6status"
            b"\xcd\x04U\xa7headers\x91\x92\xa4s110\xa4s111\xa4body\xc4\x04b112\xacn_b"
            b"ody_bytes\xcd\x04Y"
        ),
    ),
    (
        idempotency_records.StoredAnswer,
        msgspec.msgpack,
        (
            b"\x84\xa6status\xcd\x04Z\xa7headers\x91\x92\xa4s115\xa4s116\xa4body\xc4"
            b"\x04b117\xacn_body_bytes\xcd\x04^"
        ),
    ),
    (
        profiles_document.AccountLimits,
        msgspec.json,
        (
            b'{"requests_per_s":326.5,"tokens_per_s":327.5,"weight":328.5,"member_wei'
            b'ghts":{"s329":330.5}}'
        ),
    ),
    (
        profiles_document.Profile,
        msgspec.json,
        (
            b'{"work_classes":{"s331":{"rank":1332,"kind":"deferrable","ttft_target_m'
            b's":1333,"deadline_ms":1334,"worth":335.5}},"default_work_class":"s336",'
            b'"deferrable_floor":337.5,"default_limits":{"requests_per_s":338.5,"toke'
            b'ns_per_s":339.5,"weight":340.5,"member_weights":{"s341":342.5}},"client'
            b'_accounts":{"s343":{"requests_per_s":344.5,"tokens_per_s":345.5,"weight'
            b'":346.5,"member_weights":{"s347":348.5}}},"routes":[{"service":"s349","'
            b'method":"s350","path_prefix":"s351","repeatable":true}]}'
        ),
    ),
    (
        profiles_document.Route,
        msgspec.json,
        (b'{"service":"s352","method":"s353","path_prefix":"s354","repeatable":true}'),
    ),
    (
        profiles_document.WorkClass,
        msgspec.json,
        (
            b'{"rank":1355,"kind":"deferrable","ttft_target_ms":1356,"deadline_ms":13'
            b'57,"worth":358.5}'
        ),
    ),
    (
        profiles_stored.StoredProfile,
        msgspec.json,
        (b'{"version":1359,"profile":null,"author":"s360","accepted_wall_ms":1361}'),
    ),
]


@pytest.mark.parametrize(("kind", "encoding", "encoded"), ENCODED)
def test_value_of_older_build_is_read_whole_and_written_alike(kind, encoding, encoded):
    value = encoding.decode(encoded, type=kind)
    assert encoding.encode(value) == encoded
