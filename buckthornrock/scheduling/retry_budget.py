"""Limits how often requests are sent to a second upstream, fleet-wide.

Every instance holds an equal share of the fixed allowance and may add a share of the
requests that it serves itself; the sum over all instances keeps the fleet's bound.
"""

from collections import defaultdict, deque

#: Part of the allowance that is used; the rest covers views of the fleet that differ.
SAFETY_SHARE = 0.8


class RetryBudget:
    """Counts first and repeated sends of the last window, by service.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    allowance : float
        Repeats a window that the fleet may make besides.
    window_ms : float
        Length of the window.
    """

    def __init__(self, ratio: float, allowance: float, window_ms: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_ms = window_ms
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._repeats: dict[str, deque[float]] = defaultdict(deque)

    def on_request(self, service: str, now_ms: float) -> None:
        """Count a request that a client sent for ``service``."""
        self._requests[service].append(now_ms)
        self._trim(self._requests[service], now_ms)

    def take(self, service: str, n_instances: int, now_ms: float) -> bool:
        """Count a repeat if the budget allows it; return whether it does."""
        repeats, requests = self._repeats[service], self._requests[service]
        self._trim(repeats, now_ms)
        self._trim(requests, now_ms)
        allowed = self._ratio * len(requests) + self._allowance / max(1, n_instances)
        if len(repeats) + 1 > allowed * SAFETY_SHARE:
            return False
        repeats.append(now_ms)
        return True

    def _trim(self, times_ms: deque[float], now_ms: float) -> None:
        while times_ms and times_ms[0] <= now_ms - self._window_ms:
            times_ms.popleft()
