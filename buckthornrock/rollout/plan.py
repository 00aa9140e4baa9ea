"""Decides which engines load new weights, and when. Pure.

Handles new versions that arrive under high traffic. Only a batch of the engines loads
at a time: those with the oldest weights first, then the least loaded ones, and always
the newest version. During a burst a single engine loads at a time, as long as all
engines can still finish before their weights may no longer be used.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

from ..catalog.upstreams import Incarnation, Upstream

#: Share of a model's engines that may load at the same time.
BATCH_SHARE = 1.0 / 3.0
#: Highest utilization (of slots or memory) of the other engines while some load.
MAX_UTILIZATION = 0.85
#: Time that one batch takes, including the delay until its end is noticed.
BATCH_MS = 3_000.0
#: An order that was not accepted is repeated after this time.
REPEAT_AFTER_MS = 1_200.0
#: A load that takes longer than this no longer counts towards the batch.
LOAD_LIMIT_MS = 12_000.0


class RolloutEngine(NamedTuple):
    """State of an engine that the plan is made from.

    ``use`` is the share of its slots or memory that is taken. ``usable_for_ms`` is the
    time for which its weights may still be used.
    """

    upstream: Upstream
    loaded_version: int
    use: float
    usable_for_ms: float = math.inf


class PendingOrder(NamedTuple):
    """A sent order; the engine has not reported the version as loaded yet."""

    version: int
    sent_at_ms: float
    is_accepted: bool


class Order(NamedTuple):
    """An order to an engine to load a version of a model's weights."""

    upstream: Upstream
    model: str
    version: int


def batch_size(n_engines: int) -> int:
    """Return the number of ``n_engines`` that may load at the same time."""
    return max(1, int(n_engines * BATCH_SHARE))


def plan_orders(
    model: str,
    wanted_version: int,
    engines: list[RolloutEngine],
    pending: dict[Incarnation, PendingOrder],
    now_ms: float,
    silent: Collection[Incarnation] = (),
) -> list[Order]:
    """Return the orders to send now; unresponsive (``silent``) engines come last."""
    all_outdated = [e for e in engines if e.loaded_version < wanted_version]
    loading = {
        e.upstream.incarnation for e in all_outdated if _is_loading(e, pending, now_ms)
    }
    outdated = [e for e in all_outdated if e.upstream.incarnation not in loading]
    # The oldest weights come first. With frequent versions, an engine that has just
    # loaded would otherwise be chosen again because it is idle.
    outdated.sort(
        key=lambda e: (
            e.upstream.incarnation in silent,
            e.loaded_version,
            e.use,
            e.upstream.upstream_id,
        )
    )
    largest = batch_size(len(engines))
    n_batch = largest
    if not _is_due(outdated, largest):
        n_batch = min(largest, len(loading) + _n_spare(engines, loading))
    n_free = max(0, n_batch - len(loading))
    return [Order(e.upstream, model, wanted_version) for e in outdated[:n_free]]


def _is_due(outdated: list[RolloutEngine], largest: int) -> bool:
    """Return whether the remaining loads must start now to finish in time."""
    usable_for_ms = min((engine.usable_for_ms for engine in outdated), default=math.inf)
    n_batches = math.ceil(len(outdated) / largest)
    return usable_for_ms < (n_batches + 1) * BATCH_MS


def _n_spare(engines: list[RolloutEngine], loading: set[Incarnation]) -> int:
    """Return how many more engines can load while the others carry the traffic.

    One engine loads even during a burst, so that not all loads are left for the end.
    """
    active = [e for e in engines if e.upstream.incarnation not in loading]
    n_needed = math.ceil(sum(engine.use for engine in active) / MAX_UTILIZATION)
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
