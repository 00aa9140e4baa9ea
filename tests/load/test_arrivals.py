"""Arrivals depend on the seed alone and have the shape that the mix states."""

from collections import Counter

import msgspec
import pytest

from buckthornrock.load.arrivals import plan_arrivals
from buckthornrock.load.mixes import ACCOUNT_SHARES, MIXES
from buckthornrock.load.spec import Flood, LoadSpec

SPEC = LoadSpec(
    targets=("http://a", "http://b"),
    mix="wieszak",
    rate_per_s=50.0,
    duration_ms=40_000.0,
    keys={},
    seed=3,
)


def _with(**changes):
    return msgspec.structs.replace(SPEC, **changes)


def test_shards_share_one_sequence():
    whole = list(plan_arrivals(SPEC))
    shards = [list(plan_arrivals(_with(shard=i, n_shards=3))) for i in range(3)]
    joined = sorted((a for shard in shards for a in shard), key=lambda a: a.serial)
    assert joined == whole


def test_other_seed_gives_other_arrivals():
    assert list(plan_arrivals(SPEC)) != list(plan_arrivals(_with(seed=4)))


@pytest.mark.parametrize("mix", MIXES)
def test_rate_and_shares_are_those_of_mix(mix):
    arrivals = list(plan_arrivals(_with(mix=mix)))
    # 2,000 expected; five standard deviations of a Poisson count.
    assert abs(len(arrivals) - 2_000) < 5 * 2_000**0.5
    large = sum(a.client_account.startswith("large") for a in arrivals)
    share = sum(s for name, s in ACCOUNT_SHARES.items() if name.startswith("large"))
    assert large / len(arrivals) == pytest.approx(share, abs=0.06)


def test_flood_multiplies_one_class_for_its_time():
    flood = Flood("return-note", at_ms=10_000.0, for_ms=10_000.0, factor=5.0)
    arrivals = list(plan_arrivals(_with(floods=(flood,))))
    counts = Counter(
        (a.work_class.name, 10_000.0 <= a.at_ms < 20_000.0) for a in arrivals
    )
    inside_per_s = counts["return-note", True] / 10.0
    outside_per_s = counts["return-note", False] / 30.0
    assert inside_per_s / outside_per_s == pytest.approx(5.0, rel=0.25)
    assert counts["assessment", True] / 10.0 == pytest.approx(32.5, rel=0.25)


def test_prompts_nest_and_hot_ones_change():
    arrivals = list(plan_arrivals(_with(duration_ms=8_000.0, rate_per_s=400.0)))
    chosen = [
        a
        for a in arrivals
        if (a.client_account, a.member) == ("large-0", "lodz")
        and a.work_class.name == "assessment"
    ]

    def hottest(from_ms, to_ms):
        ends = (
            a.prompt.text[: a.prompt.prefix_levels[1]]
            for a in chosen
            if from_ms <= a.at_ms < to_ms
        )
        return Counter(ends).most_common(1)[0][0]

    contracts = {a.prompt.text[: a.prompt.prefix_levels[0]] for a in chosen}
    assert len(contracts) <= 3
    assert len({a.prompt.text for a in chosen}) == len(chosen)
    assert hottest(0.0, 4_000.0) != hottest(4_000.0, 8_000.0)


def test_accounts_share_no_text():
    arrivals = list(plan_arrivals(SPEC))
    starts = {}
    for a in arrivals:
        starts.setdefault(a.prompt.text[:256], set()).add((a.client_account, a.member))
    assert all(len(owners) == 1 for owners in starts.values())
