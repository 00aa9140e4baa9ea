"""When requests are refused or ended because the instance stops.

A request that is sent to an upstream must get a complete response before the process
is killed. Early in the shutdown, while load balancers still send requests here, all are
served and those that are still open shortly before the limit end then. Later ones are
only sent on if they end before that by themselves.
"""

import asyncio
import math
from collections.abc import Iterator
from contextlib import contextmanager

from .requests import Refusal

#: Requests that arrive this long after the shutdown began are served in any case.
SERVED_AFTER_STOP_MS = 3_000.0
#: Open requests get their last response this long before the shutdown limit.
CUT_MARGIN_MS = 500.0
#: Other instances can serve a refused request at once.
RETRY_AFTER_MS = 50.0
NOT_SENT = Refusal(503, "stopping", "the instance is stopping", RETRY_AFTER_MS)
NOT_FINISHED = Refusal(504, "stopping", "the instance stopped before the response")


class Stopping:
    """The times of a graceful shutdown; the caller passes the time.

    Attributes
    ----------
    cut_at_ms : float
        When open requests end; infinite until the shutdown begins.
    refuses_from_ms : float
        From when requests that may last longer than until then are refused.
    """

    def __init__(self) -> None:
        self.cut_at_ms = math.inf
        self.refuses_from_ms = math.inf
        self._limits: set[asyncio.Timeout] = set()

    def begin(self, now_ms: float, limit_ms: float) -> None:
        """Begin a shutdown after which the process is killed in ``limit_ms``."""
        left_ms = max(0.0, limit_ms - CUT_MARGIN_MS)
        self.cut_at_ms = now_ms + left_ms
        self.refuses_from_ms = min(now_ms + SERVED_AFTER_STOP_MS, self.cut_at_ms)
        cut_at_s = asyncio.get_running_loop().time() + left_ms / 1000.0
        for limit in self._limits:
            limit.reschedule(min(limit.when(), cut_at_s))

    def capped(self, ends_at_ms: float) -> float:
        """Return when a request ends that would end at ``ends_at_ms``."""
        return min(ends_at_ms, self.cut_at_ms)

    def ends_early(self, ends_at_ms: float) -> bool:
        """Return whether the shutdown ends a request before ``ends_at_ms``."""
        return ends_at_ms > self.cut_at_ms

    def must_refuse(self, ends_at_ms: float, now_ms: float) -> bool:
        """Return whether a request that isn't sent yet must not be sent any more."""
        return now_ms >= self.refuses_from_ms and self.ends_early(ends_at_ms)

    @contextmanager
    def limiting(self, limit: asyncio.Timeout) -> Iterator[None]:
        """End ``limit`` with the shutdown, if that begins meanwhile."""
        self._limits.add(limit)
        try:
            yield
        finally:
            self._limits.discard(limit)
