"""Decides which engines are told to load new weights, and when; pure.

Answers new versions that are named while traffic is high: only part of the fleet
loads at a time, the oldest weights and then the least work first, and always the newest
version. While a burst fills the engines one loads at a time, as long as all can be done
in time.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

from ..catalog.upstreams import Incarnation, Upstream

#: Part of a model's engines that may load at the same time.
WAVE_SHARE = 1.0 / 3.0
#: Share of the engines' places or memory that may be taken while some load.
TARGET_USE = 0.85
#: Time that one wave takes, with the time to notice its end.
WAVE_MS = 3_000.0
#: An order that shows no effect is given again after this time.
REPEAT_AFTER_MS = 1_200.0
#: A load that takes longer than this no longer counts against the wave.
LOAD_LIMIT_MS = 12_000.0


class RolloutEngine(NamedTuple):
    """An engine as the plan sees it.

    ``use`` is the share of its slots or memory that is taken. ``usable_for_ms`` is the
    time for which its weights may still be used.
    """

    upstream: Upstream
    loaded_version: int
    use: float
    usable_for_ms: float = math.inf


class PendingOrder(NamedTuple):
    """An order that was sent and whose effect has not been seen yet."""

    version: int
    sent_at_ms: float
    is_accepted: bool


class Order(NamedTuple):
    """Tells an engine to load a version."""

    upstream: Upstream
    model: str
    version: int


def batch_size(n_engines: int) -> int:
    """Return how many of ``n_engines`` may load at the same time."""
    return max(1, int(n_engines * WAVE_SHARE))


def plan_orders(
    model: str,
    wanted_version: int,
    engines: list[RolloutEngine],
    pending: dict[Incarnation, PendingOrder],
    now_ms: float,
    silent: Collection[Incarnation] = (),
) -> list[Order]:
    """Return the orders to give now; engines that are ``silent`` come last."""
    behind = [e for e in engines if e.loaded_version < wanted_version]
    loading = {
        e.upstream.incarnation for e in behind if _is_loading(e, pending, now_ms)
    }
    waiting = [e for e in behind if e.upstream.incarnation not in loading]
    # The oldest weights first: where versions follow each other, an engine that has
    # just loaded would else be taken again, since it is idle.
    waiting.sort(
        key=lambda e: (
            e.upstream.incarnation in silent,
            e.loaded_version,
            e.use,
            e.upstream.upstream_id,
        )
    )
    largest = batch_size(len(engines))
    n_wave = largest
    if not _is_due(waiting, largest):
        n_wave = min(largest, len(loading) + _n_spare(engines, loading))
    n_free = max(0, n_wave - len(loading))
    return [Order(e.upstream, model, wanted_version) for e in waiting[:n_free]]


def _is_due(waiting: list[RolloutEngine], largest: int) -> bool:
    """Return whether loads that wait longer could not all be done in time."""
    usable_for_ms = min((engine.usable_for_ms for engine in waiting), default=math.inf)
    n_waves = math.ceil(len(waiting) / largest)
    return usable_for_ms < (n_waves + 1) * WAVE_MS


def _n_spare(engines: list[RolloutEngine], loading: set[Incarnation]) -> int:
    """Return how many more engines can be taken out, as the others do their work.

    One loads even in a burst, so that not everything is left for the end.
    """
    active = [e for e in engines if e.upstream.incarnation not in loading]
    n_needed = math.ceil(sum(engine.use for engine in active) / TARGET_USE)
    least = 0 if loading else 1
    return max(least, len(active) - n_needed)


def _is_loading(
    engine: RolloutEngine, pending: dict[Incarnation, PendingOrder], now_ms: float
) -> bool:
    order = pending.get(engine.upstream.incarnation)
    if order is None:
        return False
    limit_ms = LOAD_LIMIT_MS if order.is_accepted else REPEAT_AFTER_MS
    return now_ms - order.sent_at_ms < limit_ms
