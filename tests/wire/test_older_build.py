"""Messages of an older release are decoded in full and encoded to the same bytes.

The bytes were encoded by version 0.1.0. Guards against a field, a tag or an array
position that changes while instances of both releases run.
"""

import msgspec
import pytest

from buckthornrock.gateway import state_sync as gateway_state_sync
from buckthornrock.wire import codec as wire_codec
from buckthornrock.wire import digests as wire_digests
from buckthornrock.wire import idempotency_messages as wire_idempotency_messages
from buckthornrock.wire import membership_messages as wire_membership_messages
from buckthornrock.wire import message as wire_message
from buckthornrock.wire import profile_messages as wire_profile_messages
from buckthornrock.wire import routing_messages as wire_routing_messages
from buckthornrock.wire import share_messages as wire_share_messages

ENCODED = [
    (
        gateway_state_sync.SnapshotRequest,
        msgspec.msgpack,
        (b"\x92\xcd\x04A\xcd\x04B"),
    ),
    (
        gateway_state_sync.StateSnapshot,
        msgspec.msgpack,
        (
            b"\x93\xc4\x03b91\xcd\x04D\x91\x98\xa3s93\xa3s94\xa3s95\xa3s96\xc3\xcd"
            b"\x04I\xcd\x04J\x81\xa3s99\xcd\x04L"
        ),
    ),
    (
        wire_codec.Envelope,
        msgspec.msgpack,
        (b"\x98\xcd\x06(\xcd\x06)\xa4s578\xa4s579\xa4s580\xa4s581\xcd\x06.\xc0"),
    ),
    (
        wire_digests.Digest,
        msgspec.msgpack,
        (
            b"\xdc\x00\x11\xa4s583\xa4s584\xa4s585\xcd\x062\xcd\x063\x04\xa4s588\xcd"
            b"\x065\xcd\x066\xcd\x067\x81\xa4s592\x92\xcd\x069\xcd\x06:\x91\x94\xcd"
            b"\x06;\xcd\x06<\xcd\x06=\xcd\x06>\x91\x94\xcd\x06?\xa4s600\xcd\x06A\xcd"
            b"\x06B\x91\x93\xcd\x06C\xa4s604\xcd\x06E\x91\x94\xcd\x06F\xcd\x06G\xcd"
            b"\x06H\xcd\x06I\x91\x95\xa4s610\xa4s611\xa4s612\xcd\x06M\xcd\x06N\xc3"
        ),
    ),
    (wire_digests.LoadedWeights, msgspec.msgpack, (b"\x93\xcd\x06O\xa4s616\xcd\x06Q")),
    (
        wire_digests.LoadingEngine,
        msgspec.msgpack,
        (b"\x94\xcd\x06R\xa4s619\xcd\x06T\xcd\x06U"),
    ),
    (
        wire_digests.CachedPartReport,
        msgspec.msgpack,
        (b"\x94\xcd\x06V\xcd\x06W\xcd\x06X\xcd\x06Y"),
    ),
    (
        wire_digests.Peer,
        msgspec.msgpack,
        (b"\x95\xa4s626\xa4s627\xa4s628\xcd\x06]\xcd\x06^"),
    ),
    (
        wire_digests.UpstreamWork,
        msgspec.msgpack,
        (b"\x94\xcd\x06_\xcd\x06`\xcd\x06a\xcd\x06b"),
    ),
    (
        wire_idempotency_messages.IssuedCall,
        msgspec.msgpack,
        (
            b"\x8c\xa4type\xb0idempotency.call\xa3key\xa4s635\xaeclient_account\xa4s6"
            b"36\xa6member\xa4s637\xa7profile\xa4s638\xa7service\xa4s639\xa6method"
            b"\xa4s640\xa4path\xa4s641\xa7headers\x81\xa4s642\xa4s643\xa4body\xc4\x04"
            b"b644\xaarequest_id\xa4s645\xacremaining_ms\xcd\x06n"
        ),
    ),
    (
        wire_idempotency_messages.IssuedOutcome,
        msgspec.msgpack,
        (
            b"\x88\xa4type\xb3idempotency.outcome\xa5state\xa6failed\xa4code\xa4s647"
            b"\xa6reason\xa4s648\xa6status\xcd\x06q\xa7headers\x91\x92\xa4s650\xa4s65"
            b"1\xa4body\xc4\x04b652\xacn_body_bytes\xcd\x06u"
        ),
    ),
    (
        wire_membership_messages.MemberRecord,
        msgspec.msgpack,
        (
            b"\x88\xa4type\xb1membership.record\xabinstance_id\xa4s654\xa7address\xa4"
            b"s655\xaefailure_domain\xa4s656\xa6region\xa4s657\xabincarnation\xa4s658"
            b"\xa7version\xcd\x06{\xa5state\xa4s660"
        ),
    ),
    (
        wire_membership_messages.News,
        msgspec.msgpack,
        (
            b"\x82\xa4type\xafmembership.news\xa7records\x91\x88\xa4type\xb1membershi"
            b"p.record\xabinstance_id\xa4s661\xa7address\xa4s662\xaefailure_domain"
            b"\xa4s663\xa6region\xa4s664\xabincarnation\xa4s665\xa7version\xcd\x06"
            b"\x82\xa5state\xa4s667"
        ),
    ),
    (
        wire_membership_messages.Probe,
        msgspec.msgpack,
        (
            b"\x83\xa4type\xb0membership.probe\xa7digests\xc4\x04b668\xa4news\x91\x88"
            b"\xa4type\xb1membership.record\xabinstance_id\xa4s669\xa7address\xa4s670"
            b"\xaefailure_domain\xa4s671\xa6region\xa4s672\xabincarnation\xa4s673\xa7"
            b"version\xcd\x06\x8a\xa5state\xa4s675"
        ),
    ),
    (
        wire_membership_messages.ProbeReply,
        msgspec.msgpack,
        (
            b"\x83\xa4type\xb6membership.probe_reply\xa7records\x91\x88\xa4type\xb1me"
            b"mbership.record\xabinstance_id\xa4s676\xa7address\xa4s677\xaefailure_do"
            b"main\xa4s678\xa6region\xa4s679\xabincarnation\xa4s680\xa7version\xcd"
            b"\x06\x91\xa5state\xa4s682\xa9differing\x91\xcd\x06\x93"
        ),
    ),
    (wire_message.Ack, msgspec.msgpack, (b"\x81\xa4type\xa8wire.ack")),
    (
        wire_message.HandlerFailed,
        msgspec.msgpack,
        (b"\x81\xa4type\xb3wire.handler_failed"),
    ),
    (
        wire_message.Misaddressed,
        msgspec.msgpack,
        (b"\x81\xa4type\xb1wire.misaddressed"),
    ),
    (wire_message.Overloaded, msgspec.msgpack, (b"\x81\xa4type\xafwire.overloaded")),
    (wire_message.Unsupported, msgspec.msgpack, (b"\x81\xa4type\xb0wire.unsupported")),
    (
        wire_profile_messages.ProfileFetch,
        msgspec.msgpack,
        (b"\x82\xa4type\xaeprofiles.fetch\xa5names\x91\xa4s684"),
    ),
    (
        wire_profile_messages.ProfileOrders,
        msgspec.msgpack,
        (
            b"\x82\xa4type\xafprofiles.orders\xa6orders\x91\x85\xa4type\xaeprofiles.o"
            b"rder\xa4name\xa4s685\xa7version\xcd\x06\x96\xb0accepted_wall_ms\xcd\x06"
            b"\x97\xa6digest\xa4s688"
        ),
    ),
    (
        wire_profile_messages.ProfilePush,
        msgspec.msgpack,
        (
            b"\x82\xa4type\xadprofiles.push\xa7records\x91\x86\xa4type\xafprofiles.re"
            b"cord\xa4name\xa4s689\xa7version\xcd\x06\x9a\xa6author\xa4s691\xb0accept"
            b"ed_wall_ms\xcd\x06\x9c\xa4body\xc4\x04b693"
        ),
    ),
    (
        wire_profile_messages.ProfileStatusQuery,
        msgspec.msgpack,
        (b"\x82\xa4type\xb5profiles.status_query\xa4name\xa4s694"),
    ),
    (
        wire_profile_messages.ProfileStatusReply,
        msgspec.msgpack,
        (
            b"\x83\xa4type\xb5profiles.status_reply\xa7version\xcd\x06\x9f\xa5trust"
            b"\xa4s696"
        ),
    ),
    (
        wire_profile_messages.ProfileSummary,
        msgspec.msgpack,
        (b"\x82\xa4type\xb0profiles.summary\xa6digest\xc4\x04b697"),
    ),
    (
        wire_profile_messages.WireOrder,
        msgspec.msgpack,
        (
            b"\x85\xa4type\xaeprofiles.order\xa4name\xa4s698\xa7version\xcd\x06\xa3"
            b"\xb0accepted_wall_ms\xcd\x06\xa4\xa6digest\xa4s701"
        ),
    ),
    (
        wire_profile_messages.WireProfile,
        msgspec.msgpack,
        (
            b"\x86\xa4type\xafprofiles.record\xa4name\xa4s702\xa7version\xcd\x06\xa7"
            b"\xa6author\xa4s704\xb0accepted_wall_ms\xcd\x06\xa9\xa4body\xc4\x04b706"
        ),
    ),
    (
        wire_routing_messages.LevelAnswer,
        msgspec.msgpack,
        (
            b"\x82\xa4type\xb4routing.level_answer\xa5views\x91\x93\xcd\x06\xab\xcb@"
            b"\x86$\x00\x00\x00\x00\x00\x91\xa4s709"
        ),
    ),
    (
        wire_routing_messages.LevelReport,
        msgspec.msgpack,
        (
            b"\x82\xa4type\xb4routing.level_report\xa5sends\x91\x93\xcd\x06\xae\xa4s7"
            b"11\xcb@\x86D\x00\x00\x00\x00\x00"
        ),
    ),
    (
        wire_routing_messages.RoutingDigest,
        msgspec.msgpack,
        (
            b"\x84\xa4type\xaerouting.digest\xa8n_tokens\x81\xa4s713\xcd\x06\xb2\xa7l"
            b"eaving\x91\xa4s715\xa4kept\x91\xcd\x06\xb4"
        ),
    ),
    (
        wire_share_messages.AccountDemand,
        msgspec.msgpack,
        (
            b"\x95\xa4s717\xa4s718\xcb@\x86|\x00\x00\x00\x00\x00\xcb@\x86\x84\x00\x00"
            b"\x00\x00\x00\xc3"
        ),
    ),
    (
        wire_share_messages.AccountShare,
        msgspec.msgpack,
        (
            b"\x94\xa4s721\xa4s722\xcb@\x86\x9c\x00\x00\x00\x00\x00\xcb@\x86\xa4\x00"
            b"\x00\x00\x00\x00"
        ),
    ),
    (
        wire_share_messages.DemandReport,
        msgspec.msgpack,
        (
            b"\x84\xa4type\xadshares.demand\xa3seq\xcd\x06\xbd\xa4view\xc4\x04b726"
            b"\xa7demands\x91\x95\xa4s727\xa4s728\xcb@\x86\xcc\x00\x00\x00\x00\x00"
            b"\xcb@\x86\xd4\x00\x00\x00\x00\x00\xc3"
        ),
    ),
    (
        wire_share_messages.ShareGrant,
        msgspec.msgpack,
        (
            b"\x83\xa4type\xacshares.grant\xa3seq\xcd\x06\xc3\xa6shares\x91\x94\xa4s7"
            b"32\xa4s733\xcb@\x86\xf4\x00\x00\x00\x00\x00\xcb@\x86\xfc\x00\x00\x00"
            b"\x00\x00"
        ),
    ),
]


#: Types that have further fields since, behind those of the older release.
EXTENDED = (gateway_state_sync.StateSnapshot, wire_digests.Digest)


@pytest.mark.parametrize(("kind", "encoding", "encoded"), ENCODED)
def test_value_of_older_release_is_decoded_and_encoded_alike(kind, encoding, encoded):
    value = encoding.decode(encoded, type=kind)
    if kind not in EXTENDED:
        assert encoding.encode(value) == encoded
        return
    # The older release ignores fields behind the ones that it knows.
    older_fields = encoding.decode(encoded)
    fields = encoding.decode(encoding.encode(value))
    assert encoding.encode(fields[: len(older_fields)]) == encoding.encode(older_fields)
    added = msgspec.structs.fields(kind)[len(older_fields) :]
    assert added
    assert not any(field.required for field in added)
