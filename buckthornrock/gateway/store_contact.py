"""Tracks when the store last confirmed the state that an instance knows.

An instance that watches the store is confirmed by it directly, all others by peers,
whose digests tell how old their own confirmation is.
"""

import math
from collections.abc import Callable

from ..events import gateway as events
from ..telemetry import Telemetry

#: A confirmation older than this counts as an outage of the store. Upstreams' entries
#: lapse only in longer ones.
LOST_AFTER_MS = 2_000.0


class StoreContact:
    """Age of the newest confirmation, and whether the store counts as lost."""

    def __init__(self, now_ms: Callable[[], float], telemetry: Telemetry) -> None:
        self._failed_at_ms: float | None = None
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._started_at_ms = now_ms()
        self._confirmed_at_ms = -math.inf
        self._lost_at_ms: float | None = None

    def age_ms(self) -> float:
        """Return the age of the newest confirmation, infinite before any."""
        return self._now_ms() - self._confirmed_at_ms

    def rounded_age_ms(self) -> int:
        """Return the age as a whole number for messages, -1 before any confirmation."""
        age_ms = self.age_ms()
        return round(age_ms) if math.isfinite(age_ms) else -1

    @property
    def is_lost(self) -> bool:
        """Whether the store confirmed nothing for a while, to nobody in reach."""
        return self._lost_at_ms is not None

    def on_confirmed(self, age_ms: float = 0.0) -> None:
        """Record that the store confirmed the known state ``age_ms`` ago."""
        confirmed_at_ms = self._now_ms() - age_ms
        self._confirmed_at_ms = max(self._confirmed_at_ms, confirmed_at_ms)
        if self._lost_at_ms is None or self.age_ms() > LOST_AFTER_MS:
            return
        outage_ms = round(self._now_ms() - self._lost_at_ms, 1)
        self._lost_at_ms = None
        self._telemetry.log(events.STORE_BACK, prefix="", outage_ms=outage_ms)

    def on_call_failed(self, reason: str) -> None:
        """Record that the store did not answer this instance."""
        self._failed_at_ms = self._now_ms()
        self.check(reason)

    def on_call_answered(self) -> None:
        """Record that the store answered this instance."""
        self._failed_at_ms = None
        self.on_confirmed()

    @property
    def is_failing(self) -> bool:
        """Whether this instance's own last call failed."""
        return self._failed_at_ms is not None

    def failure_age_ms(self) -> float:
        """Return the time since the last call failed, infinite if it was answered."""
        if self._failed_at_ms is None:
            return math.inf
        return self._now_ms() - self._failed_at_ms

    def check(self, reason: str = "no peer heard from the store") -> bool:
        """Return whether the store counts as lost; log it when it becomes so."""
        since_start_ms = self._now_ms() - self._started_at_ms
        silent_ms = min(self.age_ms(), since_start_ms)
        if self._lost_at_ms is None and silent_ms > LOST_AFTER_MS:
            self._lost_at_ms = self._now_ms()
            self._telemetry.log(events.STORE_LOST, prefix="", reason=reason)
        return self.is_lost
