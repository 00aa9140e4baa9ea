"""What the fleet knows of a prefix level: its demand, and who was sent it lately.

Each level has one owner among the instances, by rendezvous hashing. Instances report
their sends to the owner and get back the fleet's view, so a node's cost follows its
own traffic and not the size of the fleet. All of it is a hint.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .demand import DemandMeter

#: A view, or a send as sign of a holder, counts this long.
VIEW_TTL_MS = 2_000.0
HOLDER_TTL_MS = 3_000.0
MAX_LEVELS = 4_096
MAX_PENDING = 1_024
MAX_HOLDERS = 16


class LevelSend(NamedTuple):
    """A request with this prefix level went to an upstream."""

    level_hash: int
    upstream_id: str
    work_ms: float


class LevelView(NamedTuple):
    """The owner's view of a level.

    Parameters
    ----------
    n_engines : float
        Engines' time that the level takes in the whole fleet.
    holders : tuple of str
        Upstreams that were sent the level lately.
    """

    level_hash: int
    n_engines: float
    holders: tuple[str, ...]


class LevelOwner:
    """The levels that this instance owns."""

    def __init__(self) -> None:
        self._demand = DemandMeter(MAX_LEVELS)
        self._holders: OrderedDict[int, dict[str, float]] = OrderedDict()

    def report(self, sends: Iterable[LevelSend], now_ms: float) -> list[LevelView]:
        """Take in an instance's sends and return the view of each level."""
        hashes = dict.fromkeys(send.level_hash for send in sends)
        for send in sends:
            self._demand.note(send.level_hash, send.work_ms, now_ms)
            holders = self._holders.setdefault(send.level_hash, {})
            holders.pop(send.upstream_id, None)
            holders[send.upstream_id] = now_ms
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._holders.move_to_end(send.level_hash)
        while len(self._holders) > MAX_LEVELS:
            self._holders.popitem(last=False)
        return [self._view(level_hash, now_ms) for level_hash in hashes]

    def _view(self, level_hash: int, now_ms: float) -> LevelView:
        n_engines = self._demand.utilisation(level_hash, now_ms)
        holders = self._holders.get(level_hash, {})
        fresh = [id_ for id_, at in holders.items() if now_ms - at < HOLDER_TTL_MS]
        return LevelView(level_hash, n_engines, tuple(fresh))


class _Received(NamedTuple):
    view: LevelView
    received_at_ms: float


class LevelViews:
    """Own sends that are to be reported, and the views that came back."""

    def __init__(self) -> None:
        self._pending: list[LevelSend] = []
        self._views: OrderedDict[int, _Received] = OrderedDict()

    def note_send(self, send: LevelSend) -> None:
        """Queue a send for its level's owner; the excess of a burst is dropped."""
        if len(self._pending) < MAX_PENDING:
            self._pending.append(send)

    def take_pending(self) -> list[LevelSend]:
        """Return and forget the queued sends."""
        pending, self._pending = self._pending, []
        return pending

    def note_views(self, views: Sequence[LevelView], now_ms: float) -> None:
        """Take in an owner's answer."""
        for view in views:
            self._views[view.level_hash] = _Received(view, now_ms)
            self._views.move_to_end(view.level_hash)
        while len(self._views) > MAX_LEVELS:
            self._views.popitem(last=False)

    def view(self, level_hash: int, now_ms: float) -> LevelView | None:
        """Return a fresh view of the level, if there is one."""
        received = self._views.get(level_hash)
        if received is None or now_ms - received.received_at_ms > VIEW_TTL_MS:
            return None
        return received.view
