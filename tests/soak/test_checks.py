"""Each check finds a record that violates it, names its requests and passes the rest.

They guard against a check that passes everything, which a soak alone would not show.
"""

import pytest

from benchmarks.soak import checks, contents
from benchmarks.soak.record import (
    Answered,
    Arrived,
    Began,
    Bounds,
    Configured,
    Crashed,
    Disturbed,
    Ended,
    Executed,
    Lagged,
    LeaseTaken,
    Left,
    Limit,
    Ordered,
    PartUsed,
    Record,
    Sampled,
    Sent,
    Started,
    Wanted,
    digests_of,
)

PART = "0badbad0"
BODY = contents.plain_body("a", b"")
STREAM = contents.response_body("note", "a", b"")


def sent(request_id="a", at_s=20.0, route="read", **changes):
    return Sent(at_s, request_id, route, "edge-0")._replace(**changes)


def answered(request_id="a", status=200, at_s=20.5, **changes):
    base = Answered(at_s, request_id, status, body=BODY, stamp="till0-1.stamp")
    return base._replace(**changes)


def ran(request_id="a", upstream_id="till0-1", at_s=20.2, **changes):
    return Arrived(at_s, request_id, upstream_id)._replace(**changes)


def used(account, maker, at_s=20.2):
    return PartUsed(at_s, "a", account, "p", "b", maker)


def probe(request_id, version, at_s, instance="edge-0"):
    request = sent(request_id, at_s, account="versions", key=f"version-{version}")
    answer = answered(request_id, at_s=at_s + 0.1, body=b"")
    return request._replace(instance=instance), answer


def crashes(n, apart_s=1.0):
    return [Crashed(1.0 + k * apart_s, f"e{k}", f"c{k}", PART) for k in range(n)]


def with_part(n, at_s=20.0):
    ids = [f"late{k}" for k in range(n)]
    requests = [sent(name, at_s, route="note", parts=(PART, "own")) for name in ids]
    return requests + [ran(name, "e9", at_s + 0.2) for name in ids]


TOKENS = Limit(10.0, 20.0, True)
CALLS = Limit(0.2, 1.0)


def quota(cost, n, at_s=20.0, limit=TOKENS):
    requests = [
        sent(f"q{k}", at_s + k * 0.1, account="x", n_tokens=cost) for k in range(n)
    ]
    runs = [ran(f"q{k}", at_s=at_s + k * 0.1) for k in range(n)]
    return [Configured(0.0, 1, limits={"x": limit}), *requests, *runs]


def began(version, expected, at_s=20.2):
    request = sent(route="note", at_s=at_s - 0.2)
    return [request, Began(at_s, "a", "e0", version, expected)]


def ordered(order_id, holder, at_s, fence=1):
    return Ordered(at_s, order_id, "e0", holder, fence, 2)


NEWER = Wanted(8.1, 2)
#: An engine that is cut off from its former lease holder for 9 s.
LEASES = [LeaseTaken(1.0, "edge-0"), LeaseTaken(9.0, "edge-1")]
OLD_AND_NEW = [ordered("old", "edge-0", 5.0, 3), ordered("new", "edge-1", 12.0, 7)]


OTHER_STREAM = contents.response_body("note", "b", b"")
WALL = Configured(0.0, 1, frozenset(("x",)))
PAUSED = Disturbed(16.0, 18.0, "edge-0", "pause.1")
VIOLATING = [
    ("at-most-once", [sent(route="pay"), ran(), ran(upstream_id="till1-1")], {"a"}),
    ("at-most-once", [sent(route="long"), ran(), ran()], {"a"}),
    ("not-run", [sent(), answered(status=503), ran()], {"a"}),
    ("not-run", [sent(), answered(status=429), ran(at_s=25.0)], {"a"}),
    ("not-run", [sent(), answered(status=408), ran()], {"a"}),
    ("not-run", [sent(), answered(status=421), ran()], {"a"}),
    ("not-run", [sent(), answered(status=503, is_whole=False), ran()], {"a"}),
    ("whole-and-own", [sent(), answered(body=BODY[:-1])], {"a"}),
    ("whole-and-own", [sent(), answered(echoed_id="b")], {"a"}),
    ("whole-and-own", [sent(), answered(stamp="")], {"a"}),
    ("whole-and-own", [sent(route="note"), answered(body=STREAM + STREAM)], {"a"}),
    (
        "whole-and-own",
        [sent(route="note"), answered(is_whole=False, body=OTHER_STREAM[:30])],
        {"a"},
    ),
    ("request-unchanged", [sent(body=b"1 kg"), ran(body=b"2 kg")], {"a"}),
    ("request-unchanged", [ran("unknown")], {"unknown"}),
    ("drained", [sent(), Left(17.9, "till0-1"), ran()], {"a"}),
    (
        "drained",
        [sent(at_s=21.5), Left(17.9, "till0-1"), ran(at_s=21.7), PAUSED],
        {"a"},
    ),
    ("cache-salt", [WALL, sent(), used("y", "x")], {"a", "b"}),
    ("cache-salt", [WALL, sent(), used("x", "y")], {"a", "b"}),
    (
        "cache-salt",
        [Configured(0.0, 1), WALL._replace(at_s=16.0), sent(), used("y", "x")],
        {"a", "b"},
    ),
    (
        "crashes-bounded",
        [*crashes(5), *with_part(4)],
        {"late0", "late1", "late2", "late3"},
    ),
    (
        "crashes-bounded",
        [*crashes(6, apart_s=0.01), *with_part(4)],
        {"late0", "late1", "late2", "late3"},
    ),
    (
        "crashes-bounded",
        [
            *crashes(5),
            *with_part(4),
            Disturbed(16.0, 18.0, digests_of("edge-1"), "x.1"),
        ],
        {"late0", "late1", "late2", "late3"},
    ),
    (
        "drained",
        [sent(), Left(17.9, "till0-1"), ran()]
        + [Disturbed(16.0, 18.0, digests_of("edge-0"), "lost-digests.a")],
        {"a"},
    ),
    ("quotas", quota(40, 3), {"q0", "q1", "q2"}),
    (
        "quotas",
        quota(900, 3, limit=CALLS),
        {"q0", "q1", "q2"},
    ),
    ("configuration-rises", [*probe("n", 3, 20.0), *probe("o", 2, 21.0)], {"n", "o"}),
    ("weights-version", began(2, 1), {"a"}),
    ("weights-version", began(1, 0), {"a"}),
    ("weights-version", [NEWER, *began(1, 1)], {"a"}),
    ("weights-version", [NEWER, Wanted(19.0, 3), *began(1, 1)], {"a"}),
    ("weights-version", [NEWER, *began(1, 1, at_s=21.3), PAUSED], {"a"}),
    (
        "weights-version",
        [NEWER, *began(1, 1), Disturbed(16.0, 18.0, "engines", "versions.a")],
        {"a"},
    ),
    (
        "orders-fenced",
        [*LEASES, *OLD_AND_NEW, Executed(12.1, "new"), Executed(12.2, "old")],
        {"old", "new"},
    ),
    (
        # The sender was paused before it sent, and its lease was lost meanwhile.
        "orders-fenced",
        [
            *LEASES,
            *OLD_AND_NEW,
            ordered("paused", "edge-0", 12.4, 8),
            Executed(12.1, "new"),
            Executed(12.4, "paused"),
        ],
        {"new", "paused"},
    ),
    ("orders-fenced", [*LEASES, ordered("x", "edge-2", 5.0)], {"x"}),
    ("orders-fenced", [*LEASES, ordered("x", "edge-1", 5.0)], {"x"}),
    ("resources", [sent(), Sampled(20.3, "edge-0", 301.0, 50)], {"a"}),
    ("resources", [sent(), answered(), Sampled(20.3, "edge-0", 90.0, 4_000)], {"a"}),
    ("resources", [sent(), answered(), Ended(20.3, "edge-0", -11)], {"a"}),
    ("answered-in-calm", [sent(), answered(status=502)], {"a"}),
    ("answered-in-calm", [sent(), answered(status=0, is_whole=False)], {"a"}),
    (
        "answered-in-calm",
        [sent(), answered(status=502), Disturbed(19.0, 21.0, "edge-0", "clock-step.a")],
        {"a"},
    ),
    (
        "drained",
        [sent(), Left(17.9, "till0-1"), ran()]
        + [Disturbed(19.0, 21.0, "edge-0", "clock-step.a")],
        {"a"},
    ),
    ("answered-in-calm", [sent(), answered(is_whole=False, body=BODY[:9])], {"a"}),
]
SOUND = [
    ("at-most-once", [sent(route="read"), ran(), ran(upstream_id="till1-1")]),
    ("at-most-once", [sent(route="pay"), ran(has_run=False), ran()]),
    ("not-run", [sent(), answered(status=503), ran(has_run=False)]),
    ("not-run", [sent(), answered(status=502), ran()]),
    ("whole-and-own", [sent(), answered()]),
    (
        "whole-and-own",
        [sent(route="note"), answered(is_whole=False, body=STREAM[:30])],
    ),
    ("drained", [sent(), Left(18.3, "till0-1"), ran()]),
    ("drained", [sent(), Left(17.9, "till0-1"), ran(), PAUSED]),
    ("cache-salt", [WALL, sent(), used("x", "x")]),
    ("cache-salt", [WALL, sent(), used("y", "z")]),
    (
        "cache-salt",
        [Configured(0.0, 1), WALL._replace(at_s=18.0), sent(), used("y", "x")],
    ),
    ("crashes-bounded", [*crashes(5), *with_part(3)]),
    ("crashes-bounded", [*crashes(4), *with_part(9)]),
    ("crashes-bounded", [*crashes(5), *with_part(9, at_s=7.0)]),
    (
        "crashes-bounded",
        [
            *crashes(5),
            *with_part(4),
            Disturbed(16.0, 18.0, digests_of("edge-0"), "x.1"),
        ],
    ),
    ("quotas", quota(36, 3)),
    ("quotas", [*quota(900, 2, limit=CALLS), ran("q0", "e1", at_s=20.2)]),
    ("quotas", [*quota(40, 3), Configured(0.1, 2, limits={"x": Limit(99.0, 99.0)})]),
    ("quotas", quota(40, 3, limit=Limit(0.0, 0.0, True))),
    ("quotas", [*quota(40, 3), Configured(0.1, 2)]),
    ("quotas", [*quota(40, 3)[1:], Configured(0.0, 1)]),
    ("configuration-rises", [*probe("n", 3, 20.0), *probe("o", 2, 20.05)]),
    ("configuration-rises", [*probe("n", 3, 20.0), *probe("o", 2, 21.0, "edge-1")]),
    (
        "configuration-rises",
        [*probe("n", 3, 20.0), Started(20.5, "edge-0"), *probe("o", 2, 21.0)],
    ),
    ("weights-version", [NEWER, *began(2, 2)]),
    ("weights-version", [Wanted(8.3, 2), *began(1, 1)]),
    ("weights-version", [NEWER, *began(1, 1), PAUSED]),
    ("orders-fenced", [*LEASES, *OLD_AND_NEW, Executed(5, "old"), Executed(12, "new")]),
    ("orders-fenced", [*LEASES, *OLD_AND_NEW, Executed(12.1, "new")]),
    (
        # Another engine may execute an order later than its sender's lease lasts.
        "orders-fenced",
        [
            *LEASES,
            OLD_AND_NEW[0]._replace(upstream_id="e1"),
            OLD_AND_NEW[1],
            Executed(12.1, "new"),
            Executed(12.2, "old"),
        ],
    ),
    (
        "orders-fenced",
        [*LEASES, LeaseTaken(15.0, "edge-0"), *OLD_AND_NEW, Executed(12.1, "new")]
        + [ordered("again", "edge-0", 18.0, 9), Executed(18.1, "again")],
    ),
    ("resources", [Sampled(20.3, "edge-0", 299.0, 3_000)]),
    ("answered-in-calm", [sent(), answered(status=502), PAUSED]),
    ("answered-in-calm", [sent(), answered(status=0, is_whole=False, has_left=True)]),
    ("answered-in-calm", [sent(), answered(), Disturbed(9.0, 10.0, "all", "roll.1")]),
]


def violations(check, events, **bounds):
    record = Record(*events, bounds=Bounds(quota_slack=0.0, **bounds))
    return [v for find in checks.CHECKS for v in find(record) if v.check == check]


@pytest.mark.parametrize(("check", "events", "request_ids"), VIOLATING)
def test_a_check_finds_what_violates_it(check, events, request_ids):
    found = violations(check, events)
    assert {name for v in found for name in v.request_ids} == request_ids


@pytest.mark.parametrize(("check", "events"), SOUND)
def test_a_check_passes_what_the_rules_allow(check, events):
    assert violations(check, events) == []


UNFENCED = [
    ([ordered("x", "edge-0", 9.1), ordered("y", "edge-1", 12.0)], {"x", "y"}),
    ([ordered("y", "edge-1", 12.0), ordered("x", "edge-0", 12.2)], {"x", "y"}),
    ([ordered("x", "edge-0", 8.9), ordered("y", "edge-1", 12.0)], set()),
    ([ordered("x", "edge-0", 11.9), ordered("y", "edge-0", 12.0)], set()),
]


@pytest.mark.parametrize(("events", "order_ids"), UNFENCED)
def test_orders_of_two_holders_are_apart_without_fencing(events, order_ids):
    found = violations("orders-fenced", events, requires_fencing=False)
    assert {name for v in found for name in v.request_ids} == order_ids


SLOW = Lagged(20.0, 2_000.0)
CALM_FAILURE = [sent(), answered(status=502)]
RAN_TWICE = [sent(route="pay"), ran(), ran()]
VERDICTS = [
    ([], "passed"),
    (CALM_FAILURE, "failed"),
    ([*CALM_FAILURE, SLOW], "void"),
    ([SLOW], "void"),
    ([*RAN_TWICE, SLOW], "failed"),
    ([*began(2, 1), SLOW], "failed"),
    ([NEWER, *began(1, 1), SLOW], "void"),
    ([ordered("x", "edge-0", 5.0), SLOW], "failed"),
    ([Sampled(20.0, "edge-0", 90.0, 50, starved_ms=900.0)], "void"),
]


@pytest.mark.parametrize(("events", "outcome"), VERDICTS)
def test_only_bounds_of_time_are_void_on_a_slow_machine(events, outcome):
    assert checks.judge(Record(*events)).outcome == outcome


def test_a_run_that_did_not_start_is_void():
    assert checks.judge(Record(*RAN_TWICE), "not ready").outcome == "void"
