"""Directory of prefix levels: the fleet's demand, and the engines sent it recently.

Each level has one owner among the instances, by rendezvous hashing. Instances report
their sends to the owner and get back the view of the whole fleet. The cost of an
instance therefore depends on its own traffic and not on the size of the fleet. The
views are only hints: they may be outdated or missing.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .demand import DemandMeter

#: Time for which a received view is used.
VIEW_TTL_MS = 2_000.0
#: Time after a send for which the upstream is taken to have the level in its cache.
RECENT_SEND_TTL_MS = 3_000.0
MAX_LEVELS = 4_096
MAX_PENDING = 1_024
MAX_RECENT_UPSTREAMS = 16


class LevelSend(NamedTuple):
    """A request with this prefix level that was sent to an upstream."""

    level_hash: int
    upstream_id: str
    work_ms: float


class LevelView(NamedTuple):
    """The owner's view of a level.

    Parameters
    ----------
    n_engines : float
        Engine time that the level takes in the whole fleet, as a number of engines.
    recent_upstreams : tuple of str
        Upstreams that were sent the level recently, and so probably hold it.
    """

    level_hash: int
    n_engines: float
    recent_upstreams: tuple[str, ...]


class LevelOwner:
    """Demand and recent sends of the levels that this instance owns."""

    def __init__(self) -> None:
        self._demand = DemandMeter(MAX_LEVELS)
        self._sent_at_ms: OrderedDict[int, dict[str, float]] = OrderedDict()

    def report(self, sends: Iterable[LevelSend], now_ms: float) -> list[LevelView]:
        """Record an instance's sends and return the view of each of their levels."""
        hashes = dict.fromkeys(send.level_hash for send in sends)
        for send in sends:
            self._demand.note(send.level_hash, send.work_ms, now_ms)
            recent_upstreams = self._sent_at_ms.setdefault(send.level_hash, {})
            recent_upstreams.pop(send.upstream_id, None)
            recent_upstreams[send.upstream_id] = now_ms
            if len(recent_upstreams) > MAX_RECENT_UPSTREAMS:
                del recent_upstreams[next(iter(recent_upstreams))]
            self._sent_at_ms.move_to_end(send.level_hash)
        while len(self._sent_at_ms) > MAX_LEVELS:
            self._sent_at_ms.popitem(last=False)
        return [self._view(level_hash, now_ms) for level_hash in hashes]

    def _view(self, level_hash: int, now_ms: float) -> LevelView:
        n_engines = self._demand.utilisation(level_hash, now_ms)
        recent_upstreams = self._sent_at_ms.get(level_hash, {})
        fresh = [
            id_
            for id_, at in recent_upstreams.items()
            if now_ms - at < RECENT_SEND_TTL_MS
        ]
        return LevelView(level_hash, n_engines, tuple(fresh))


class _Received(NamedTuple):
    view: LevelView
    received_at_ms: float


class LevelViews:
    """Unreported sends of this instance, and the views that owners returned."""

    def __init__(self) -> None:
        self._pending: list[LevelSend] = []
        self._views: OrderedDict[int, _Received] = OrderedDict()

    def note_send(self, send: LevelSend) -> None:
        """Queue a send for its level's owner; sends beyond MAX_PENDING are dropped."""
        if len(self._pending) < MAX_PENDING:
            self._pending.append(send)

    def take_pending(self) -> list[LevelSend]:
        """Return the queued sends and clear the queue."""
        pending, self._pending = self._pending, []
        return pending

    def note_views(self, views: Sequence[LevelView], now_ms: float) -> None:
        """Record the views of an owner's response."""
        for view in views:
            self._views[view.level_hash] = _Received(view, now_ms)
            self._views.move_to_end(view.level_hash)
        while len(self._views) > MAX_LEVELS:
            self._views.popitem(last=False)

    def view(self, level_hash: int, now_ms: float) -> LevelView | None:
        """Return the view of the level, or None if there is none or it is too old."""
        received = self._views.get(level_hash)
        if received is None or now_ms - received.received_at_ms > VIEW_TTL_MS:
            return None
        return received.view
