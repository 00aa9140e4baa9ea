"""Seeded arrivals: when each request is sent, by whom, and what it asks."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from .mixes import ACCOUNT_SHARES, MIXES, ClassMix, Mix, Prompt, build_prompt
from .spec import Flood, LoadSpec


class Arrival(NamedTuple):
    """One request of a run; ``at_ms`` counts from its start."""

    at_ms: float
    serial: int
    client_account: str
    member: str
    work_class: ClassMix
    model: str
    prompt: Prompt
    target: str
    is_deferred: bool


def plan_arrivals(spec: LoadSpec) -> Iterator[Arrival]:
    """Yield the arrivals of this shard in the order of their times.

    All shards draw the same sequence, so that the whole run depends on the seed and
    not on the number of shards.
    """
    mix = MIXES[spec.mix]
    rng = random.Random(spec.seed)
    times = ((at_ms, c) for c in mix.classes for at_ms in _times_ms(spec, c))
    ordered = sorted(times, key=lambda pair: pair[0])
    for serial, (at_ms, work_class) in enumerate(ordered):
        draw = random.Random(rng.getrandbits(64))
        if serial % spec.n_shards == spec.shard:
            yield _arrival(spec, mix, serial, at_ms, work_class, draw)


def _times_ms(spec: LoadSpec, work_class: ClassMix) -> Iterator[float]:
    rng = random.Random(f"{spec.seed}|{work_class.name}")
    base_per_s = spec.rate_per_s * work_class.share
    floods = [f for f in spec.floods if f.work_class == work_class.name]
    peak_per_s = base_per_s * max([1.0, *(f.factor for f in floods)])
    now_ms = 0.0
    while True:
        # Thinning of a Poisson process at the peak rate.
        now_ms += rng.expovariate(peak_per_s) * 1000.0
        if now_ms >= spec.duration_ms:
            return
        if rng.random() < base_per_s * _factor(floods, now_ms) / peak_per_s:
            yield now_ms


def _factor(floods: list[Flood], now_ms: float) -> float:
    factors = (f.factor for f in floods if 0 <= now_ms - f.at_ms < f.for_ms)
    return max([1.0, *factors])


def _arrival(
    spec: LoadSpec,
    mix: Mix,
    serial: int,
    at_ms: float,
    work_class: ClassMix,
    rng: random.Random,
) -> Arrival:
    accounts = tuple(ACCOUNT_SHARES)
    account = rng.choices(accounts, tuple(ACCOUNT_SHARES.values()))[0]
    member = rng.choice(mix.members)
    hot_round = int(at_ms // spec.shift_period_ms)
    unique = f"{spec.seed}-{serial}"
    owner = f"{account}/{member}"
    prompt = build_prompt(work_class.levels, owner, unique, hot_round, rng)
    is_deferred = work_class.is_deferrable and rng.random() < spec.deferred_share
    return Arrival(
        at_ms=at_ms,
        serial=serial,
        client_account=account,
        member=member,
        work_class=work_class,
        model=mix.model,
        prompt=prompt,
        target=rng.choice(spec.targets),
        is_deferred=is_deferred,
    )
