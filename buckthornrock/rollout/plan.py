"""Decides which engines are told to load new weights, and when; pure.

Answers new versions that are named while traffic is high: only part of the fleet
loads at a time, the engines with least work first, and always the newest version.
"""

from typing import NamedTuple

from ..catalog.upstreams import Upstream

#: Part of a model's engines that may load at the same time.
WAVE_SHARE = 1.0 / 3.0
#: An order that shows no effect is given again after this time.
REPEAT_AFTER_MS = 1_200.0
#: A load that takes longer than this no longer counts against the wave.
LOAD_LIMIT_MS = 12_000.0


class EngineView(NamedTuple):
    """An engine as the plan sees it.

    ``n_work`` orders engines; less is ordered first.
    """

    upstream: Upstream
    loaded_version: int
    n_work: float


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


def wave_size(n_engines: int) -> int:
    """Return how many of ``n_engines`` may load at the same time."""
    return max(1, int(n_engines * WAVE_SHARE))


def plan_orders(
    model: str,
    wanted_version: int,
    engines: list[EngineView],
    pending: dict[tuple[str, int], PendingOrder],
    now_ms: float,
) -> list[Order]:
    """Return the orders to give now."""
    behind = [e for e in engines if e.loaded_version < wanted_version]
    loading = {
        e.upstream.incarnation for e in behind if _is_loading(e, pending, now_ms)
    }
    n_free = wave_size(len(engines)) - len(loading)
    waiting = [e for e in behind if e.upstream.incarnation not in loading]
    waiting.sort(key=lambda e: (e.n_work, e.upstream.upstream_id))
    return [Order(e.upstream, model, wanted_version) for e in waiting[: max(0, n_free)]]


def _is_loading(
    engine: EngineView, pending: dict[tuple[str, int], PendingOrder], now_ms: float
) -> bool:
    order = pending.get(engine.upstream.incarnation)
    if order is None:
        return False
    limit_ms = LOAD_LIMIT_MS if order.is_accepted else REPEAT_AFTER_MS
    return now_ms - order.sent_at_ms < limit_ms
