"""Upstream health from requests and load polls: outlier ejection and slow start."""

import random
from typing import NamedTuple

#: Consecutive request failures that eject an upstream.
EJECT_AFTER_N_FAILURES = 3
EJECT_BASE_MS = 1_000.0
EJECT_MAX_MS = 30_000.0
#: Share of the upstreams that may be ejected at once. Outliers beyond it go on getting
#: the small share of traffic that a slow start begins with.
MAX_EJECTED_SHARE = 0.34
#: Share of its traffic that an upstream gets right after an ejection or a cold start.
#: It rises linearly to the whole within ``SLOW_START_MS``.
SLOW_START_SHARE = 0.1
SLOW_START_MS = 5_000.0
#: Consecutive polls without a response after which an upstream counts as down.
DOWN_AFTER_N_POLLS = 3


class _State(NamedTuple):
    incarnation: str = ""
    n_failures: int = 0
    n_ejections: int = 0
    ejected_until_ms: float = 0.0
    slow_start_at_ms: float | None = None
    n_failed_polls: int = 0


class HealthTracker:
    """Health of all upstreams of one kind.

    Parameters
    ----------
    upstream_ids : iterable of str
        All upstreams of the kind; the share that may be ejected refers to these.
    rng : random.Random
        Source of the jitter of ejection times.
    """

    def __init__(self, upstream_ids: tuple[str, ...], rng: random.Random) -> None:
        self._rng = rng
        self._states = {upstream_id: _State() for upstream_id in upstream_ids}

    def health(self, upstream_id: str, now_ms: float) -> float:
        """Return the share of its traffic that the upstream should get, 0 to 1."""
        state = self._states[upstream_id]
        if state.n_failed_polls >= DOWN_AFTER_N_POLLS:
            return 0.0
        if now_ms < state.ejected_until_ms:
            return 0.0
        if state.slow_start_at_ms is None:
            return 1.0
        ramped_share = (now_ms - state.slow_start_at_ms) / SLOW_START_MS
        return max(SLOW_START_SHARE, min(1.0, ramped_share))

    def note_success(self, upstream_id: str, now_ms: float) -> None:
        """Record a request that the upstream served."""
        state = self._states[upstream_id]
        is_steady = self.health(upstream_id, now_ms) >= 1.0
        n_ejections = 0 if is_steady else state.n_ejections
        returning = None if is_steady else state.slow_start_at_ms
        self._states[upstream_id] = state._replace(
            n_failures=0, n_ejections=n_ejections, slow_start_at_ms=returning
        )

    def note_failure(self, upstream_id: str, now_ms: float) -> bool:
        """Record a failed request; return whether it ejects the upstream."""
        state = self._states[upstream_id]
        state = state._replace(n_failures=state.n_failures + 1)
        self._states[upstream_id] = state
        if state.n_failures < EJECT_AFTER_N_FAILURES:
            return False
        if now_ms < state.ejected_until_ms:
            return False
        if not self._may_eject(now_ms):
            self._states[upstream_id] = state._replace(slow_start_at_ms=now_ms)
            return False
        duration_ms = min(EJECT_MAX_MS, EJECT_BASE_MS * 2.0**state.n_ejections)
        until_ms = now_ms + duration_ms * (0.5 + self._rng.random())
        self._states[upstream_id] = state._replace(
            n_failures=0,
            n_ejections=state.n_ejections + 1,
            ejected_until_ms=until_ms,
            slow_start_at_ms=until_ms,
        )
        return True

    def _may_eject(self, now_ms: float) -> bool:
        n_ejected = sum(now_ms < s.ejected_until_ms for s in self._states.values())
        return n_ejected + 1 <= MAX_EJECTED_SHARE * len(self._states)

    def note_poll(self, upstream_id: str, incarnation: str, now_ms: float) -> bool:
        """Record an answered poll; return whether the upstream has restarted.

        The first incarnation ever seen may have been running for long, so it does not
        count as a cold start and gets all its traffic at once.
        """
        state = self._states[upstream_id]
        is_cold = state.incarnation not in ("", incarnation)
        state = state._replace(incarnation=incarnation, n_failed_polls=0)
        if is_cold:
            state = state._replace(
                n_failures=0, ejected_until_ms=0.0, slow_start_at_ms=now_ms
            )
        self._states[upstream_id] = state
        return is_cold

    def note_failed_poll(self, upstream_id: str, is_refused: bool) -> bool:
        """Record a poll without a response; return whether the upstream just went down.

        A refused connection proves that nothing listens there, so one is enough.
        """
        state = self._states[upstream_id]
        was_down = state.n_failed_polls >= DOWN_AFTER_N_POLLS
        n_failed = DOWN_AFTER_N_POLLS if is_refused else state.n_failed_polls + 1
        self._states[upstream_id] = state._replace(n_failed_polls=n_failed)
        return n_failed >= DOWN_AFTER_N_POLLS and not was_down
