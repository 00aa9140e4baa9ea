"""What upstreams say of themselves in their answers: that they leave, or want quiet.

Pure: the caller passes the time. Notices belong to one incarnation of an upstream and
hold whatever the store says of it later; a new incarnation begins without any.
"""

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

from .incarnation import Incarnation

#: Quiet time of an upstream whose request for one can't be read.
DEFAULT_QUIET_MS = 1_000.0
#: Longest quiet time that is granted; no upstream is lost for good by one answer.
MAX_QUIET_MS = 600_000.0
#: Notices are kept this long after their upstream was last listed, since an entry that
#: lapsed may return.
KEEP_UNLISTED_MS = 600_000.0
#: For this long after an upstream said that it leaves, others fetch what it caches. It
#: may be gone soon after.
FETCH_FROM_LEAVING_MS = 1_000.0
#: Most notices kept of upstreams that aren't listed.
MAX_UNLISTED = 1_000


class Notice(NamedTuple):
    """What one answer of an upstream says of the upstream itself.

    ``asks_for_quiet`` says that it wants no requests for ``quiet_ms``, which is None
    if the answer gives no time that can be read.
    """

    is_leaving: bool = False
    asks_for_quiet: bool = False
    quiet_ms: float | None = None


class _State(NamedTuple):
    """Notices of one incarnation; ``unlisted_since_ms`` is None while it is listed."""

    leaving_since_ms: float | None = None
    quiet_until_ms: float = -math.inf
    unlisted_since_ms: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has said that it leaves."""
        return self.leaving_since_ms is not None


class UpstreamNotices:
    """Upstreams that leave or want quiet, by incarnation."""

    def __init__(self) -> None:
        self._states: dict[Incarnation, _State] = {}

    def __len__(self) -> int:
        return len(self._states)

    def on_leaving(self, incarnation: Incarnation, now_ms: float) -> bool:
        """Record that an upstream leaves; return whether that is new."""
        state = self._states.get(incarnation, _State())
        if state.is_leaving:
            return False
        self._states[incarnation] = state._replace(leaving_since_ms=now_ms)
        return True

    def on_quiet(
        self, incarnation: Incarnation, quiet_ms: float, now_ms: float
    ) -> bool:
        """Record a request for quiet; return whether the upstream had none before.

        A later request never shortens an earlier one.
        """
        state = self._states.get(incarnation, _State())
        until_ms = max(state.quiet_until_ms, now_ms + quiet_ms)
        self._states[incarnation] = state._replace(quiet_until_ms=until_ms)
        return now_ms >= state.quiet_until_ms

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether an upstream has said that it leaves."""
        state = self._states.get(incarnation)
        return state is not None and state.is_leaving

    def may_send(self, incarnation: Incarnation, now_ms: float) -> bool:
        """Return whether an upstream may get requests now."""
        return now_ms >= self._returns_at_ms(incarnation)

    def may_fetch(self, incarnation: Incarnation, now_ms: float) -> bool:
        """Return whether others may fetch what an upstream caches."""
        state = self._states.get(incarnation)
        if state is None:
            return True
        if now_ms < state.quiet_until_ms:
            return False
        since_ms = state.leaving_since_ms
        return since_ms is None or now_ms - since_ms < FETCH_FROM_LEAVING_MS

    def newly_leaving(self, now_ms: float) -> list[Incarnation]:
        """Return the leaving upstreams from which others may still fetch."""
        return [
            incarnation
            for incarnation, state in self._states.items()
            if state.is_leaving and self.may_fetch(incarnation, now_ms)
        ]

    def time_to_return_ms(
        self, incarnations: Iterable[Incarnation], now_ms: float
    ) -> float:
        """Return the time until the first of the upstreams may get requests.

        Infinite without any that will.
        """
        returns_at_ms = (self._returns_at_ms(key) for key in incarnations)
        return max(0.0, min(returns_at_ms, default=math.inf) - now_ms)

    def retain(self, listed: Collection[Incarnation], now_ms: float) -> None:
        """Forget quiet times that are over, and upstreams that are gone for long."""
        for incarnation, state in list(self._states.items()):
            if not state.is_leaving and now_ms >= state.quiet_until_ms:
                del self._states[incarnation]
            elif incarnation in listed:
                self._states[incarnation] = state._replace(unlisted_since_ms=None)
            elif state.unlisted_since_ms is None:
                self._states[incarnation] = state._replace(unlisted_since_ms=now_ms)
            elif now_ms - state.unlisted_since_ms >= KEEP_UNLISTED_MS:
                del self._states[incarnation]
        self._forget_oldest_unlisted()

    def _forget_oldest_unlisted(self) -> None:
        unlisted = [
            (state.unlisted_since_ms, incarnation)
            for incarnation, state in self._states.items()
            if state.unlisted_since_ms is not None
        ]
        n_excess = max(0, len(unlisted) - MAX_UNLISTED)
        for _, incarnation in sorted(unlisted)[:n_excess]:
            del self._states[incarnation]

    def _returns_at_ms(self, incarnation: Incarnation) -> float:
        state = self._states.get(incarnation)
        if state is None:
            return -math.inf
        return math.inf if state.is_leaving else state.quiet_until_ms


def granted_quiet_ms(notice: Notice) -> float:
    """Return for how long an upstream that asks for quiet gets no requests."""
    if notice.quiet_ms is None:
        return DEFAULT_QUIET_MS
    return min(notice.quiet_ms, MAX_QUIET_MS)
