"""Log of the upstream directory's latest changes, for peers that follow it. Pure."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from .upstreams import UpstreamChange

#: Changes kept; peers that are further behind need a whole copy.
MAX_CHANGES = 64


class ChangeWindow(NamedTuple):
    """All changes of upstreams after ``base_revision``, up to the log's revision."""

    base_revision: int
    changes: tuple[UpstreamChange, ...]


class _Logged(NamedTuple):
    at_ms: float
    change: UpstreamChange


class ChangeLog:
    """Holds the latest changes with the times at which they were learnt."""

    def __init__(self) -> None:
        self._base_revision = 0
        self._logged: deque[_Logged] = deque()

    def restart(self, revision: int) -> None:
        """Forget all changes; those up to ``revision`` are unknown."""
        self._base_revision = revision
        self._logged.clear()

    def record(self, changes: Iterable[UpstreamChange], now_ms: float) -> None:
        """Add changes in the order of their revisions."""
        for change in changes:
            self._logged.append(_Logged(now_ms, change))
            if len(self._logged) > MAX_CHANGES:
                self._base_revision = self._logged.popleft().change.revision

    def window(self, since_ms: float, n_max: int) -> ChangeWindow:
        """Return the changes learnt since a time, at most the newest ``n_max``."""
        newest = [logged for logged in self._logged if logged.at_ms >= since_ms]
        newest = newest[-n_max:]
        n_older = len(self._logged) - len(newest)
        base_revision = self._base_revision
        if n_older:
            base_revision = self._logged[n_older - 1].change.revision
        # Changes of one revision belong together.
        changes = tuple(
            logged.change for logged in newest if logged.change.revision > base_revision
        )
        return ChangeWindow(base_revision, changes)
